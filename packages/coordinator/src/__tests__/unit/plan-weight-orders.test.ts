import test from 'ava';
import {InstanceStage, type HeldInstance} from '@fescuestair/instances';
import {planWeightOrders} from '../../index.js';

const createHeld = (id: string, version: number, overrides: {readonly stage?: InstanceStage; readonly heardAtMs?: number} = {}): HeldInstance => ({
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
	weights: new Map([['guide', 3]]), busyIds: new Set<string>(), maxAtOnce: 2, nowMs: 1000, silentMs: 500,
};

test('while all instances are in use, only a few are ordered over at once, the longest outdated first', t => {
	const instances = [createHeld('a', 2), createHeld('b', 1), createHeld('c', 2), createHeld('d', 3)];
	t.deepEqual(planWeightOrders({...base, instances}).map(order => order.instanceId), ['b', 'a']);
	t.deepEqual(planWeightOrders({...base, instances, busyIds: new Set(['b', 'a'])}), []);
	t.deepEqual(planWeightOrders({...base, instances, busyIds: new Set(['b'])}).map(order => order.instanceId), ['a']);
});

test('instances that leave or are silent get no order', t => {
	const instances = [createHeld('a', 1, {stage: InstanceStage.Draining}), createHeld('b', 1, {heardAtMs: 400})];
	t.deepEqual(planWeightOrders({...base, instances}), []);
});
