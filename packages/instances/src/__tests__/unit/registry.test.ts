import test from 'ava';
import {
	createInstanceRegistry, createNote, InstanceStage, listNews, listRenewals, setLeaving, NewsKind, takeRecord, takeRenewals, type InstanceRecord,
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
	const news: NewsKind[] = [];

	for (const record of records) {
		const merged = takeRecord(registry, createRecord(record), {nowMs: 0});
		registry = merged.registry;
		news.push(merged.news);
	}

	return {registry, news};
};

test('a late announcement does not make a draining instance ready again', t => {
	const {registry, news} = mergeAll([{}, {sequence: 3, stage: InstanceStage.Draining}, {sequence: 2}]);
	t.deepEqual(news, [NewsKind.Changed, NewsKind.Changed, NewsKind.Stale]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Draining);
});

test('a draining instance stays draining until it restarts, whatever order announcements arrive in', t => {
	const ready = mergeAll([{sequence: 4}]).registry;
	const marked = setLeaving(ready, {id: 'i-1', incarnation: 1000});
	t.is(marked.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(marked.revision, ready.revision + 1);
	t.is(setLeaving(ready, {id: 'i-1', incarnation: 2000}), ready);

	const heartbeat = takeRecord(marked, createRecord({sequence: 9}), {nowMs: 0}).registry;
	t.is(heartbeat.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(heartbeat.held.get('i-1')?.record.sequence, 9);

	// Another daemon has a later heartbeat. It still takes over the stage from the earlier update, and forwards it only once.
	const note = createNote(marked.held.get('i-1')!, 0);
	const other = takeRecord(mergeAll([{sequence: 12}]).registry, note.record, {nowMs: 0});
	t.is(other.news, NewsKind.Changed);
	t.deepEqual([other.registry.held.get('i-1')?.record.stage, other.registry.held.get('i-1')?.record.sequence], [InstanceStage.Draining, 12]);
	t.is(takeRecord(other.registry, note.record, {nowMs: 0}).news, NewsKind.Stale);

	t.is(takeRecord(other.registry, createRecord({incarnation: 2000}), {nowMs: 0}).registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('a deregistered instance stays gone within its incarnation, and is ready again with the next', t => {
	const {registry, news} = mergeAll([{sequence: 5}, {stage: InstanceStage.Gone, sequence: 0}, {sequence: 9}, {incarnation: 2000, sequence: 1}]);
	t.deepEqual(news, [NewsKind.Changed, NewsKind.Changed, NewsKind.Stale, NewsKind.Changed]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('an address belongs to the instance that started there last', t => {
	const {registry} = mergeAll([{}, {id: 'i-2', service: 'other', incarnation: 2000}, {sequence: 2}]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Gone);
	t.is(registry.held.get('i-2')?.record.stage, InstanceStage.Ready);
});

test('the updates after a revision are listed', t => {
	const {registry} = mergeAll([{}, {id: 'i-2', address: '10.0.0.8:8080'}, {sequence: 2, slots: 7}]);
	t.deepEqual(listNews(registry, {afterRevision: 2, nowMs: 0}).map(note => note.record.id), ['i-1']);
	t.is(listNews(registry, {afterRevision: 0, nowMs: 0}).length, 2);
});

test('an unchanged announcement creates no update, and its age is sent as a renewal', t => {
	const initial = takeRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const {registry: renewed, news} = takeRecord(initial, createRecord({sequence: 5}), {nowMs: 4000});
	t.is(news, NewsKind.Renewed);
	t.deepEqual(listNews(renewed, {afterRevision: initial.revision, nowMs: 4000}), []);
	const other = takeRenewals(initial, listRenewals(renewed, 4100), 7000);
	t.is(other.held.get('i-1')?.heardAtMs, 6900);

	// Announcements older than the renewal are stale.
	t.is(takeRecord(other, createRecord({sequence: 4, slots: 9}), {nowMs: 7000}).news, NewsKind.Stale);
	t.is(takeRecord(other, createRecord({sequence: 6, slots: 9}), {nowMs: 7000}).news, NewsKind.Changed);
	t.is(takeRecord(other, createRecord({sequence: 6, stage: InstanceStage.Draining}), {nowMs: 7000}).news, NewsKind.Changed);
});

test('a renewal revives neither an instance that is gone nor an earlier incarnation, and adds no unknown instance', t => {
	const alive = takeRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const renewals = listRenewals(alive, 0);
	const {registry: gone} = mergeAll([{}, {stage: InstanceStage.Gone}]);
	t.is(takeRenewals(gone, renewals, 10).held.get('i-1')?.record.stage, InstanceStage.Gone);
	const {registry: restarted} = mergeAll([{incarnation: 2000}]);
	t.is(takeRenewals(restarted, renewals, 10).held.get('i-1')?.heardAtMs, 0);
	t.is(takeRenewals(createInstanceRegistry(), renewals, 10).held.size, 0);
});

test('an update that daemons forward to each other does not circulate', t => {
	const nowMs = 100;
	let first = takeRecord(createInstanceRegistry(), createRecord({models: [{name: 'guide', version: 1}]}), {nowMs}).registry;
	let second = createInstanceRegistry();

	// Both send each other all their records in every round.
	for (let round = 0; round < 5; round++) {
		for (const {record, ageMs, loadingLeftMs} of listNews(first, {afterRevision: 0, nowMs})) {
			second = takeRecord(second, record, {nowMs, ageMs, loadingLeftMs}).registry;
		}

		for (const {record, ageMs, loadingLeftMs} of listNews(second, {afterRevision: 0, nowMs})) {
			first = takeRecord(first, record, {nowMs, ageMs, loadingLeftMs}).registry;
		}
	}

	t.deepEqual([first.revision, second.revision], [1, 1]);
});

test('the start and end of a loading order, and the loaded version, are changes without a new announcement', t => {
	const nowMs = 100;
	const record = createRecord({models: [{name: 'guide', version: 1}]});
	const initial = takeRecord(createInstanceRegistry(), record, {nowMs}).registry;
	const loading = takeRecord(initial, record, {nowMs, loadingLeftMs: 900});
	t.is(loading.news, NewsKind.Changed);
	t.is(takeRecord(loading.registry, record, {nowMs, loadingLeftMs: 890}).news, NewsKind.Stale);
	const longer = takeRecord(loading.registry, record, {nowMs, loadingLeftMs: 2000}).registry;
	t.is(longer.held.get('i-1')?.loadingDeadlineMs, 2100);
	const ended = takeRecord(longer, record, {nowMs, loadingLeftMs: 0});
	t.is(ended.news, NewsKind.Changed);
	const loaded = takeRecord(ended.registry, createRecord({models: [{name: 'guide', version: 2}]}), {nowMs, loadingLeftMs: 0});
	t.is(loaded.news, NewsKind.Changed);
	t.is(takeRecord(loaded.registry, record, {nowMs, loadingLeftMs: 0}).news, NewsKind.Stale, 'an update from before the order');
});
