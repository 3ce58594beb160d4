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
