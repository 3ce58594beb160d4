import test from 'ava';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {
	addOrderFailure, computeMaxConcurrentLoads, listOutdatedInstances, OrderObstacle, planWeightOrders,
} from '../../index.js';

const createHeld = (id: string, version: number, overrides: {readonly stage?: InstanceStage; readonly heardAtMs?: number} = {}): RegisteredInstance => ({
	record: {
		id,
		service: 'guides',
		address: `${id}:1`,
		availabilityZone: 'north',
		slots: 64,
		stage: overrides.stage ?? InstanceStage.Ready,
		coldLeftMs: 0,
		models: [{name: 'guide', version}],
		incarnation: 1,
		sequence: 1,
	},
	heardAtMs: overrides.heardAtMs ?? 900,
	revision: 1,
	loadingDeadlineMs: 0,
});
const base = {
	weights: new Map([['guide', 3]]), busyInstanceIds: new Set<string>(), maxConcurrentLoads: 2, nowMs: 1000, silenceTimeoutMs: 500,
};

test('only a few instances get an order at the same time, those furthest behind first', t => {
	const instances = [createHeld('a', 2), createHeld('b', 1), createHeld('c', 2), createHeld('d', 3)];
	t.deepEqual(planWeightOrders({...base, instances}).map(order => order.instanceId), ['b', 'a']);
	t.deepEqual(planWeightOrders({...base, instances, busyInstanceIds: new Set(['b', 'a'])}), []);
	t.deepEqual(planWeightOrders({...base, instances, busyInstanceIds: new Set(['b'])}).map(order => order.instanceId), ['a']);
});

test('draining and silent instances get no order', t => {
	const instances = [createHeld('a', 1, {stage: InstanceStage.Draining}), createHeld('b', 1, {heardAtMs: 400})];
	t.deepEqual(planWeightOrders({...base, instances}), []);
});

test('new weights for 63 instances: all are ordered within five rounds, and at most a quarter at a time', t => {
	t.is(computeMaxConcurrentLoads(6), 2);
	let instances = Array.from({length: 63}, (_, index) => createHeld(`i-${index}`, 2));
	let rounds = 0;

	while (instances.some(({record}) => record.models[0]!.version < 3)) {
		const ordered = new Set(planWeightOrders({...base, instances, maxConcurrentLoads: computeMaxConcurrentLoads(instances.length)}).map(order => order.instanceId));
		t.true(ordered.size <= 63 / 4);
		instances = instances.map(held => ordered.has(held.record.id) ? createHeld(held.record.id, 3) : held);
		rounds++;
	}

	t.true(rounds <= 5, `${rounds}`);
});

test('an instance whose order failed waits longer after each failure, and takes no place meanwhile', t => {
	const instances = ['a', 'b', 'c'].map(id => createHeld(id, 1));
	const once = addOrderFailure(undefined, 1000);
	t.true(once.retryAtMs > 1000);
	const failures = new Map([['a', once], ['b', addOrderFailure(once, 1000)]]);
	t.deepEqual(planWeightOrders({...base, instances, failures}).map(order => order.instanceId), ['c']);
	t.deepEqual(planWeightOrders({
		...base, instances, failures, nowMs: once.retryAtMs, silenceTimeoutMs: 9000,
	}).map(order => order.instanceId), ['c', 'a']);
	let many = once;

	for (let index = 0; index < 20; index++) {
		many = addOrderFailure(many, 1000);
	}

	t.is(many.retryAtMs, 3000);
});

test('each instance on older weights is listed with what keeps it from an order', t => {
	const instances = [
		createHeld('a', 1, {stage: InstanceStage.Draining}),
		createHeld('b', 1, {heardAtMs: 400}),
		createHeld('c', 1),
		createHeld('d', 1),
		createHeld('e', 2),
		createHeld('f', 3),
		createHeld('g', 2),
		createHeld('h', 1, {stage: InstanceStage.Gone}),
	];
	const outdated = listOutdatedInstances({
		...base, instances, busyInstanceIds: new Set(['c']), failures: new Map([['d', {count: 1, retryAtMs: 2000}]]),
	});
	t.deepEqual(outdated.map(({instanceId, obstacle}) => [instanceId, obstacle]), [
		['a', OrderObstacle.Leaving],
		['b', OrderObstacle.Silent],
		['c', OrderObstacle.InProgress],
		['d', OrderObstacle.BackingOff],
		['e', undefined],
		['g', OrderObstacle.NoTurn],
	]);
});
