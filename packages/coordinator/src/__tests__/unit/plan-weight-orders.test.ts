import test from 'ava';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {computeMaxConcurrentLoads, planWeightOrders} from '../../index.js';

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
