import {setImmediate as waitForTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	DaemonRole, HelloKind, InstanceStage, type DaemonRecord, type Hello, type InstanceRecord, type InstanceUpdate,
} from '@fescuestair/instances';
import {createLinkCommands, LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {DepartureNotSavedError} from '../../departure-persister.js';
import {createFleet} from '../../fleet.js';

const createCard = (name: string): DaemonRecord => ({
	name, role: DaemonRole.Coordinator, incarnation: 1, linkAddress: `${name}:7200`, serviceAddress: `${name}:8000`, availabilityZone: 'north', isReady: true, sequence: 0,
});

const createHello = (card: DaemonRecord): Hello => ({
	card, greeting: HelloKind.Peer, publishedRevision: 0, configVersion: 0, newsAfter: undefined, wantsFleet: false,
});

const record: InstanceRecord = {
	id: 'i-1', service: 'app', address: '10.0.0.9:8080', availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [], incarnation: 1, sequence: 1,
};

type Answer = {readonly resolve: () => void; readonly reject: () => void};

type FleetSettings = {
	/** Other coordinators, all of them voters. */
	readonly others: readonly string[];
	/** Voters that are not known as coordinators yet. */
	readonly unknownVoters?: readonly string[];
	readonly knownDepartures?: readonly InstanceUpdate[];
};

/** Opens the registry of a coordinator that knows the given others; the test gives their answers to reports of instances, and the end of writes to its own disk. */
function openFleet(t: ExecutionContext, {others, unknownVoters = [], knownDepartures = []}: FleetSettings) {
	const log = createLogger({instance: 'core-1', isTerminal: false, writeLine: () => true});
	const commands = createLinkCommands({onFault: () => undefined});
	const reports = new Map<string, Answer>();
	const writes: Answer[] = [];
	const fleet = createFleet({
		self: createCard('core-1'), clock: createManualClock(1000), log, metrics: createPrometheusMetrics(), commands,
		links: {
			send: () => undefined,
			async call(address, message) {
				return new Promise((resolve, reject) => {
					if ((message as LinkMessage).kind === LinkMessageKind.ReportInstances) {
						reports.set(address, {
							resolve() {
								resolve({kind: 'noted'});
							},
							reject() {
								reject(new Error('cut off'));
							},
						});
					}
				});
			},
			countBytes: () => 0, countOpen: () => 0, close: () => undefined,
		},
		listTargetAges: () => undefined,
		departures: {
			save: async () => new Promise((resolve, reject) => {
				writes.push({
					resolve,
					reject() {
						reject(new Error('the disk is full'));
					},
				});
			}),
			retain: () => undefined,
		},
		knownDepartures, listVoterAddresses: () => ['core-1', ...others, ...unknownVoters].map(name => `${name}:7200`),
		listCoordinatorAddresses: () => [], describePublishedSince: () => undefined, getConfigVersion: () => 0, getStateAgeMs: () => undefined,
		isCurrent: () => true, getLeaderAddress: () => undefined,
		isLeader: () => false, findLeaderAddress: () => undefined, onLeaderReported: () => undefined, onRound: () => undefined,
	});
	t.teardown(() => {
		fleet.stop();
	});

	for (const name of others) {
		commands.dispatch({kind: LinkMessageKind.Hello, hello: createHello(createCard(name))}, () => undefined);
	}

	const announce = (stage: InstanceStage, sequence: number) => {
		const state = {isAcknowledged: false, isRefused: false};
		void (async () => {
			try {
				await fleet.announce({...record, stage, sequence});
				state.isAcknowledged = true;
			} catch (error) {
				state.isRefused = error instanceof DepartureNotSavedError;
			}
		})();

		return state;
	};

	return {
		fleet, reports, writes, announce, commands,
	};
}

// Guards against an acknowledged departure that is in memory only, and lost with all processes.
for (const stage of [InstanceStage.Draining, InstanceStage.Gone]) {
	test(`that an instance is ${stage} is acknowledged once a majority has it on its disks`, async t => {
		const {announce, reports, writes} = openFleet(t, {others: ['core-2', 'core-3', 'core-4'], unknownVoters: ['core-5']});
		const ready = announce(InstanceStage.Ready, 1);
		await waitForTurn();
		t.true(ready.isAcknowledged);
		const leaving = announce(stage, 2);
		await waitForTurn();
		t.deepEqual([...reports.keys()], ['core-2:7200', 'core-3:7200', 'core-4:7200']);
		reports.get('core-2:7200')!.reject();
		reports.get('core-3:7200')!.resolve();
		writes[0]!.resolve();
		await waitForTurn();
		t.false(leaving.isAcknowledged);
		reports.get('core-4:7200')!.resolve();
		await waitForTurn();
		t.true(leaving.isAcknowledged);
	});

	test(`that an instance is ${stage} is not acknowledged while no majority is reached, however often it says so, and it takes no requests all the same`, async t => {
		const {announce, reports, writes, fleet} = openFleet(t, {others: ['core-2', 'core-3']});

		for (const sequence of [2, 3, 3]) {
			const leaving = announce(stage, sequence);
			await waitForTurn();
			reports.get('core-2:7200')!.reject();
			writes.at(-1)!.reject();
			await waitForTurn();
			t.false(leaving.isAcknowledged);
			t.true(leaving.isRefused);
			t.is(fleet.findInstance('i-1')?.stage, stage);
		}

		const leaving = announce(stage, 4);
		await waitForTurn();
		reports.get('core-2:7200')!.resolve();
		writes.at(-1)!.resolve();
		await waitForTurn();
		t.true(leaving.isAcknowledged);
		const {length} = writes;
		const repeated = announce(stage, 5);
		await waitForTurn();
		t.true(repeated.isAcknowledged);
		t.is(writes.length, length);
	});
}

test('a coordinator that is the whole group acknowledges a departure once it is on its own disk', async t => {
	const {announce, writes} = openFleet(t, {others: []});
	const leaving = announce(InstanceStage.Draining, 2);
	await waitForTurn();
	t.false(leaving.isAcknowledged);
	writes[0]!.resolve();
	await waitForTurn();
	t.true(leaving.isAcknowledged);
});

test('a coordinator answers the report of a departure once it is on its disk', async t => {
	const {commands, writes} = openFleet(t, {others: ['core-2']});
	const replies: unknown[] = [];
	const report = {kind: LinkMessageKind.ReportInstances, notes: [{record: {...record, stage: InstanceStage.Gone}, ageMs: 0, loadingLeftMs: 0}]} as const;
	const reply = (answer: unknown) => {
		replies.push(answer);
	};

	commands.dispatch(report, reply);
	await waitForTurn();
	t.deepEqual(replies, []);
	writes[0]!.resolve();
	await waitForTurn();
	t.deepEqual(replies, [{kind: 'noted'}]);
	commands.dispatch(report, reply);
	writes[1]!.reject();
	await waitForTurn();
	t.like(replies[1], {kind: 'error'});
});

test('the report of an earlier start that left is not taken for the departure of the one that serves now', async t => {
	const {commands, writes, fleet} = openFleet(t, {others: []});
	await fleet.announce({...record, incarnation: 2});
	const replies: unknown[] = [];
	commands.dispatch({kind: LinkMessageKind.ReportInstances, notes: [{record: {...record, stage: InstanceStage.Gone}, ageMs: 0, loadingLeftMs: 0}]}, answer => {
		replies.push(answer);
	});
	await waitForTurn();
	t.deepEqual(replies, [{kind: 'noted'}]);
	t.is(writes.length, 0);
	t.is(fleet.findInstance('i-1')?.stage, InstanceStage.Ready);
});

test('a late announcement of an instance that had left when the process before ended does not bring it back, and a restart under its id does', async t => {
	for (const stage of [InstanceStage.Draining, InstanceStage.Gone]) {
		const {announce, fleet} = openFleet(t, {others: ['core-2'], knownDepartures: [{record: {...record, stage, sequence: 7}, ageMs: 0, loadingLeftMs: 0}]});
		announce(InstanceStage.Ready, 6);
		await waitForTurn();
		t.is(fleet.findInstance('i-1')?.stage, stage);
		await fleet.announce({...record, incarnation: 2, sequence: 0});
		t.is(fleet.findInstance('i-1')?.stage, InstanceStage.Ready);
	}
});
