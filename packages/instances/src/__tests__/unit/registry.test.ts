import test from 'ava';
import {
	createInstanceRegistry, createInstanceUpdate, InstanceStage, listUpdates, listRenewals, setDraining, MergeOutcome, mergeInstanceRecord, applyRenewals, type InstanceRecord,
} from '../../index.js';

const createRecord = (overrides: Partial<InstanceRecord>): InstanceRecord => ({
	id: 'i-1',
	service: 'app',
	address: '10.0.0.9:8080',
	availabilityZone: 'north',
	slots: 6,
	stage: InstanceStage.Ready,
	coldLeftMs: 0,
	models: [],
	incarnation: 1000,
	sequence: 1,
	...overrides,
});

const mergeAll = (records: ReadonlyArray<Partial<InstanceRecord>>) => {
	let registry = createInstanceRegistry();
	const news: MergeOutcome[] = [];

	for (const record of records) {
		const merged = mergeInstanceRecord(registry, createRecord(record), {nowMs: 0});
		registry = merged.registry;
		news.push(merged.news);
	}

	return {registry, news};
};

test('a late announcement does not make a draining instance ready again', t => {
	const {registry, news} = mergeAll([{}, {sequence: 3, stage: InstanceStage.Draining}, {sequence: 2}]);
	t.deepEqual(news, [MergeOutcome.Changed, MergeOutcome.Changed, MergeOutcome.Stale]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Draining);
});

test('a draining instance stays draining until it restarts, whatever order announcements arrive in', t => {
	const ready = mergeAll([{sequence: 4}]).registry;
	const marked = setDraining(ready, {id: 'i-1', incarnation: 1000});
	t.is(marked.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(marked.revision, ready.revision + 1);
	t.is(setDraining(ready, {id: 'i-1', incarnation: 2000}), ready);

	const heartbeat = mergeInstanceRecord(marked, createRecord({sequence: 9}), {nowMs: 0}).registry;
	t.is(heartbeat.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(heartbeat.held.get('i-1')?.record.sequence, 9);

	// Another daemon has a later heartbeat. It still adopts the stage of the earlier update, and forwards it only once.
	const note = createInstanceUpdate(marked.held.get('i-1')!, 0);
	const other = mergeInstanceRecord(mergeAll([{sequence: 12}]).registry, note.record, {nowMs: 0});
	t.is(other.news, MergeOutcome.Changed);
	t.deepEqual([other.registry.held.get('i-1')?.record.stage, other.registry.held.get('i-1')?.record.sequence], [InstanceStage.Draining, 12]);
	t.is(mergeInstanceRecord(other.registry, note.record, {nowMs: 0}).news, MergeOutcome.Stale);

	t.is(mergeInstanceRecord(other.registry, createRecord({incarnation: 2000}), {nowMs: 0}).registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('a deregistered instance stays gone within its incarnation, and is ready again with the next', t => {
	const {registry, news} = mergeAll([{sequence: 5}, {stage: InstanceStage.Gone, sequence: 0}, {sequence: 9}, {incarnation: 2000, sequence: 1}]);
	t.deepEqual(news, [MergeOutcome.Changed, MergeOutcome.Changed, MergeOutcome.Stale, MergeOutcome.Changed]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('an address belongs to the instance that started there last', t => {
	const {registry} = mergeAll([{}, {id: 'i-2', service: 'other', incarnation: 2000}, {sequence: 2}]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Gone);
	t.is(registry.held.get('i-2')?.record.stage, InstanceStage.Ready);
});

test('the updates after a revision are listed', t => {
	const {registry} = mergeAll([{}, {id: 'i-2', address: '10.0.0.8:8080'}, {sequence: 2, slots: 7}]);
	t.deepEqual(listUpdates(registry, {afterRevision: 2, nowMs: 0}).map(note => note.record.id), ['i-1']);
	t.is(listUpdates(registry, {afterRevision: 0, nowMs: 0}).length, 2);
});

test('an unchanged announcement creates no update, and its age is sent as a renewal', t => {
	const initial = mergeInstanceRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const {registry: renewed, news} = mergeInstanceRecord(initial, createRecord({sequence: 5}), {nowMs: 4000});
	t.is(news, MergeOutcome.Renewed);
	t.deepEqual(listUpdates(renewed, {afterRevision: initial.revision, nowMs: 4000}), []);
	const other = applyRenewals(initial, listRenewals(renewed, 4100), 7000);
	t.is(other.held.get('i-1')?.heardAtMs, 6900);

	// Announcements older than the renewal are stale.
	t.is(mergeInstanceRecord(other, createRecord({sequence: 4, slots: 9}), {nowMs: 7000}).news, MergeOutcome.Stale);
	t.is(mergeInstanceRecord(other, createRecord({sequence: 6, slots: 9}), {nowMs: 7000}).news, MergeOutcome.Changed);
	t.is(mergeInstanceRecord(other, createRecord({sequence: 6, stage: InstanceStage.Draining}), {nowMs: 7000}).news, MergeOutcome.Changed);
});

test('an instance that says to be cold for longer than was known is news, and the time passes with renewals', t => {
	const initial = mergeInstanceRecord(createInstanceRegistry(), createRecord({coldLeftMs: 3000}), {nowMs: 0}).registry;
	// It says what was known.
	const later = mergeInstanceRecord(initial, createRecord({coldLeftMs: 2100, sequence: 5}), {nowMs: 1000});
	t.is(later.news, MergeOutcome.Renewed);
	// The gateways do not get that announcement, but its renewal.
	const renewed = applyRenewals(initial, listRenewals(later.registry, 1000), 1000);
	t.is(renewed.held.get('i-1')?.record.coldLeftMs, 2000);
	const warm = mergeInstanceRecord(later.registry, createRecord({coldLeftMs: 0, sequence: 6}), {nowMs: 4000});
	t.is(warm.news, MergeOutcome.Renewed);
	t.is(mergeInstanceRecord(warm.registry, createRecord({coldLeftMs: 2000, sequence: 7}), {nowMs: 5000}).news, MergeOutcome.Changed);
	t.is(applyRenewals(renewed, listRenewals(warm.registry, 4000), 4000).held.get('i-1')?.record.coldLeftMs, 0);
});

test('the restart of a known instance is kept until its next one, and a first start is none', t => {
	const first = mergeInstanceRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	t.is(first.held.get('i-1')?.restartedAtMs, undefined);
	const restarted = mergeInstanceRecord(first, createRecord({incarnation: 2000}), {nowMs: 500, ageMs: 100}).registry;
	const renewed = mergeInstanceRecord(restarted, createRecord({incarnation: 2000, sequence: 9}), {nowMs: 900}).registry;
	t.is(renewed.held.get('i-1')?.restartedAtMs, 400);
	t.is(applyRenewals(renewed, listRenewals(renewed, 950), 1000).held.get('i-1')?.restartedAtMs, 400);
});

test('a renewal revives neither an instance that is gone nor an earlier incarnation, and adds no unknown instance', t => {
	const alive = mergeInstanceRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const renewals = listRenewals(alive, 0);
	const {registry: gone} = mergeAll([{}, {stage: InstanceStage.Gone}]);
	t.is(applyRenewals(gone, renewals, 10).held.get('i-1')?.record.stage, InstanceStage.Gone);
	const {registry: restarted} = mergeAll([{incarnation: 2000}]);
	t.is(applyRenewals(restarted, renewals, 10).held.get('i-1')?.heardAtMs, 0);
	t.is(applyRenewals(createInstanceRegistry(), renewals, 10).held.size, 0);
});

test('an update that daemons forward to each other does not circulate', t => {
	const nowMs = 100;
	let first = mergeInstanceRecord(createInstanceRegistry(), createRecord({models: [{name: 'guide', version: 1}]}), {nowMs}).registry;
	let second = createInstanceRegistry();

	// Both send each other all their records in every round.
	for (let round = 0; round < 5; round++) {
		for (const {record, ageMs, loadingLeftMs} of listUpdates(first, {afterRevision: 0, nowMs})) {
			second = mergeInstanceRecord(second, record, {nowMs, ageMs, loadingLeftMs}).registry;
		}

		for (const {record, ageMs, loadingLeftMs} of listUpdates(second, {afterRevision: 0, nowMs})) {
			first = mergeInstanceRecord(first, record, {nowMs, ageMs, loadingLeftMs}).registry;
		}
	}

	t.deepEqual([first.revision, second.revision], [1, 1]);
});

test('the start and end of a loading order, and the loaded version, are changes without a new announcement', t => {
	const nowMs = 100;
	const record = createRecord({models: [{name: 'guide', version: 1}]});
	const initial = mergeInstanceRecord(createInstanceRegistry(), record, {nowMs}).registry;
	const loading = mergeInstanceRecord(initial, record, {nowMs, loadingLeftMs: 900});
	t.is(loading.news, MergeOutcome.Changed);
	t.is(mergeInstanceRecord(loading.registry, record, {nowMs, loadingLeftMs: 890}).news, MergeOutcome.Stale);
	const longer = mergeInstanceRecord(loading.registry, record, {nowMs, loadingLeftMs: 2000}).registry;
	t.is(longer.held.get('i-1')?.loadingDeadlineMs, 2100);
	const ended = mergeInstanceRecord(longer, record, {nowMs, loadingLeftMs: 0});
	t.is(ended.news, MergeOutcome.Changed);
	const loaded = mergeInstanceRecord(ended.registry, createRecord({models: [{name: 'guide', version: 2}]}), {nowMs, loadingLeftMs: 0});
	t.is(loaded.news, MergeOutcome.Changed);
	t.is(mergeInstanceRecord(loaded.registry, record, {nowMs, loadingLeftMs: 0}).news, MergeOutcome.Stale, 'an update from before the order');
});

// Review case 3: an announcement without models took those of a sound instance away, and with them the salt of its prompts.
test('an announcement that names no models leaves those that are known, also after a restart', t => {
	const models = [{name: 'guide', version: 3}];
	const {registry} = mergeAll([{models}, {sequence: 2}, {incarnation: 2000}]);
	t.deepEqual(registry.held.get('i-1')?.record.models, models);
	t.is(registry.held.get('i-1')?.record.incarnation, 2000);
	t.deepEqual(mergeAll([{models}, {incarnation: 2000, service: 'other'}]).registry.held.get('i-1')?.record.models, []);
	t.deepEqual(mergeAll([{models}, {sequence: 2, models: [{name: 'guide', version: 4}]}]).registry.held.get('i-1')?.record.models, [{name: 'guide', version: 4}]);
});
