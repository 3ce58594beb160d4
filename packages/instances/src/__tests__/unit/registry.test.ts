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

const takeAll = (records: ReadonlyArray<Partial<InstanceRecord>>) => {
	let registry = createInstanceRegistry();
	const news: NewsKind[] = [];

	for (const record of records) {
		const taken = takeRecord(registry, createRecord(record), {nowMs: 0});
		registry = taken.registry;
		news.push(taken.news);
	}

	return {registry, news};
};

test('a late announcement brings no draining instance back', t => {
	const {registry, news} = takeAll([{}, {sequence: 3, stage: InstanceStage.Draining}, {sequence: 2}]);
	t.deepEqual(news, [NewsKind.Changed, NewsKind.Changed, NewsKind.Stale]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Draining);
});

test('an instance that leaves does not come back by announcements, in whichever order they come, until it starts anew', t => {
	const ready = takeAll([{sequence: 4}]).registry;
	const marked = setLeaving(ready, {id: 'i-1', incarnation: 1000});
	t.is(marked.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(marked.revision, ready.revision + 1);
	t.is(setLeaving(ready, {id: 'i-1', incarnation: 2000}), ready);

	const heartbeat = takeRecord(marked, createRecord({sequence: 9}), {nowMs: 0}).registry;
	t.is(heartbeat.held.get('i-1')?.record.stage, InstanceStage.Draining);
	t.is(heartbeat.held.get('i-1')?.record.sequence, 9);

	// Another daemon has heard a later heartbeat; what it is told of an earlier one binds all the same, and it goes round once.
	const note = createNote(marked.held.get('i-1')!, 0);
	const other = takeRecord(takeAll([{sequence: 12}]).registry, note.record, {nowMs: 0});
	t.is(other.news, NewsKind.Changed);
	t.deepEqual([other.registry.held.get('i-1')?.record.stage, other.registry.held.get('i-1')?.record.sequence], [InstanceStage.Draining, 12]);
	t.is(takeRecord(other.registry, note.record, {nowMs: 0}).news, NewsKind.Stale);

	t.is(takeRecord(other.registry, createRecord({incarnation: 2000}), {nowMs: 0}).registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('a deregistered instance stays gone within its incarnation and comes back with the next', t => {
	const {registry, news} = takeAll([{sequence: 5}, {stage: InstanceStage.Gone, sequence: 0}, {sequence: 9}, {incarnation: 2000, sequence: 1}]);
	t.deepEqual(news, [NewsKind.Changed, NewsKind.Changed, NewsKind.Stale, NewsKind.Changed]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Ready);
});

test('an address belongs to the instance that started there last', t => {
	const {registry} = takeAll([{}, {id: 'i-2', service: 'other', incarnation: 2000}, {sequence: 2}]);
	t.is(registry.held.get('i-1')?.record.stage, InstanceStage.Gone);
	t.is(registry.held.get('i-2')?.record.stage, InstanceStage.Ready);
});

test('news are what came after a revision', t => {
	const {registry} = takeAll([{}, {id: 'i-2', address: '10.0.0.8:8080'}, {sequence: 2, slots: 7}]);
	t.deepEqual(listNews(registry, {afterRevision: 2, nowMs: 0}).map(note => note.record.id), ['i-1']);
	t.is(listNews(registry, {afterRevision: 0, nowMs: 0}).length, 2);
});

test('an announcement that says the same again is no news, and its age is told by a renewal', t => {
	const told = takeRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const {registry: renewed, news} = takeRecord(told, createRecord({sequence: 5}), {nowMs: 4000});
	t.is(news, NewsKind.Renewed);
	t.deepEqual(listNews(renewed, {afterRevision: told.revision, nowMs: 4000}), []);
	const other = takeRenewals(told, listRenewals(renewed, 4100), 7000);
	t.is(other.held.get('i-1')?.heardAtMs, 6900);

	// What was announced before the renewal does not count any more.
	t.is(takeRecord(other, createRecord({sequence: 4, slots: 9}), {nowMs: 7000}).news, NewsKind.Stale);
	t.is(takeRecord(other, createRecord({sequence: 6, slots: 9}), {nowMs: 7000}).news, NewsKind.Changed);
	t.is(takeRecord(other, createRecord({sequence: 6, stage: InstanceStage.Draining}), {nowMs: 7000}).news, NewsKind.Changed);
});

test('a renewal revives nothing: neither what has ended, nor an earlier start', t => {
	const alive = takeRecord(createInstanceRegistry(), createRecord({}), {nowMs: 0}).registry;
	const renewals = listRenewals(alive, 0);
	const {registry: ended} = takeAll([{}, {stage: InstanceStage.Gone}]);
	t.is(takeRenewals(ended, renewals, 10).held.get('i-1')?.record.stage, InstanceStage.Gone);
	const {registry: restarted} = takeAll([{incarnation: 2000}]);
	t.is(takeRenewals(restarted, renewals, 10).held.get('i-1')?.heardAtMs, 0);
	t.is(takeRenewals(createInstanceRegistry(), renewals, 10).held.size, 0);
});

test('what daemons were told by each other goes round once', t => {
	const nowMs = 100;
	let first = takeRecord(createInstanceRegistry(), createRecord({models: [{name: 'guide', version: 1}]}), {nowMs}).registry;
	let second = createInstanceRegistry();

	// Each tells the other all that is new to it, again and again.
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

test('an order under way, its end and what it loaded are news under the same announcement', t => {
	const nowMs = 100;
	const record = createRecord({models: [{name: 'guide', version: 1}]});
	const told = takeRecord(createInstanceRegistry(), record, {nowMs}).registry;
	const loading = takeRecord(told, record, {nowMs, loadingLeftMs: 900});
	t.is(loading.news, NewsKind.Changed);
	t.is(takeRecord(loading.registry, record, {nowMs, loadingLeftMs: 890}).news, NewsKind.Stale);
	const longer = takeRecord(loading.registry, record, {nowMs, loadingLeftMs: 2000}).registry;
	t.is(longer.held.get('i-1')?.loadingDeadlineMs, 2100);
	const ended = takeRecord(longer, record, {nowMs, loadingLeftMs: 0});
	t.is(ended.news, NewsKind.Changed);
	const loaded = takeRecord(ended.registry, createRecord({models: [{name: 'guide', version: 2}]}), {nowMs, loadingLeftMs: 0});
	t.is(loaded.news, NewsKind.Changed);
	t.is(takeRecord(loaded.registry, record, {nowMs, loadingLeftMs: 0}).news, NewsKind.Stale, 'an echo of before');
});
