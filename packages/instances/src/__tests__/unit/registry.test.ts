import test from 'ava';
import {
	createInstanceRegistry, InstanceStage, listNews, NewsKind, takeRecord, type InstanceRecord,
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
	const {registry} = takeAll([{}, {id: 'i-2', address: '10.0.0.8:8080'}, {sequence: 2}]);
	t.deepEqual(listNews(registry, {afterRevision: 2, nowMs: 0}).map(note => note.record.id), ['i-1']);
	t.is(listNews(registry, {afterRevision: 0, nowMs: 0}).length, 2);
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
