import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {createLogger} from '@fescuestair/runtime';
import {createWeightOrders, OrderAnswer, type WeightReport} from '../../index.js';

test('an instance that does not report for a while is still taken for loading, and no other is ordered in its place', async t => {
	const clock = createSystemClock();
	const instances = ['a', 'b', 'c'].map((id): RegisteredInstance => ({
		record: {
			id, service: 's', address: `${id}:1`, availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [{name: 'm', version: 1}], incarnation: 1, sequence: 1,
		},
		heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
	}));
	const loaded: string[] = [];
	const marks: string[] = [];
	const ordered: string[] = [];
	const reports: Record<string, number> = {};
	const orders = createWeightOrders({
		holder: 'core-1', clock, log: createLogger({instance: 'core-1', isTerminal: false, writeLine: () => undefined}),
		listInstances: () => instances.filter(({record: {id}}) => !loaded.includes(id)),
		getTargetVersions: () => new Map([['m', 2]]),
		getLeadingTerm: () => 1,
		confirmLeading: async () => undefined,
		async sendOrder({instanceId}) {
			ordered.push(instanceId);

			return OrderAnswer.Accepted;
		},
		// Each instance is silent for the second to the fourth report, and has loaded with the sixth.
		async fetchReport({id}): Promise<WeightReport> {
			reports[id] = (reports[id] ?? 0) + 1;
			const count = reports[id];

			if (count > 1 && count < 5) {
				throw new Error('no report');
			}

			return {models: [{name: 'm', version: count < 6 ? 1 : 2}], isBusy: count > 1, orderCount: count > 1 ? 1 : 0};
		},
		onLoading(id, deadlineMs) {
			marks.push(`${id} ${deadlineMs > 0 ? 'loads' : 'ends'}`);
		},
		onLoaded(id) {
			loaded.push(id);
		},
		handoverMs: 0,
	});
	t.teardown(orders.stop);

	while (loaded.length < 3 || marks.length < 6) {
		await sleep(20);
	}

	t.deepEqual(marks.toSorted(), ['a ends', 'a loads', 'b ends', 'b loads', 'c ends', 'c loads']);
	t.true(marks.indexOf('c loads') > Math.min(marks.indexOf('a ends'), marks.indexOf('b ends')));
	t.deepEqual(ordered, ['a', 'b', 'c']);
});

// Issue 57: two instances that answered each order with a conflict took both places, and the others stayed on older weights.
test('instances whose orders fail do not keep the others from theirs', async t => {
	const clock = createSystemClock();
	const ordered: string[] = [];
	const loaded: string[] = [];
	const orders = createWeightOrders({
		holder: 'core-1', clock, log: createLogger({instance: 'core-1', isTerminal: false, writeLine: () => undefined}),
		listInstances: () => ['a', 'b', 'c', 'd'].filter(id => !loaded.includes(id)).map(id => ({
			record: {
				id, service: 's', address: `${id}:1`, availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [{name: 'm', version: 1}], incarnation: 1, sequence: 1,
			},
			heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
		})),
		getTargetVersions: () => new Map([['m', 2]]),
		getLeadingTerm: () => 1,
		confirmLeading: async () => undefined,
		async sendOrder({instanceId}) {
			ordered.push(instanceId);

			return instanceId < 'c' ? OrderAnswer.Conflict : OrderAnswer.Accepted;
		},
		fetchReport: async ({id}) => ({models: [{name: 'm', version: ordered.includes(id) && id >= 'c' ? 2 : 1}], isBusy: false, orderCount: 0}),
		onLoading: () => undefined,
		onLoaded(id) {
			loaded.push(id);
		},
		handoverMs: 0,
	});
	t.teardown(orders.stop);

	while (loaded.length < 2 && ordered.filter(id => id === 'a').length < 10) {
		await sleep(20);
	}

	t.deepEqual(loaded.toSorted(), ['c', 'd']);
});
