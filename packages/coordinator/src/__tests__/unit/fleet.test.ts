import {setImmediate as waitForTurn} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	DaemonRole, HelloKind, InstanceStage, type DaemonRecord, type Hello, type InstanceRecord,
} from '@fescuestair/instances';
import {createLinkCommands, LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
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

/** Opens the registry of a coordinator that knows the given others; their answers to reports of instances are given by the test. */
function openFleet(t: ExecutionContext, others: readonly string[]) {
	const log = createLogger({instance: 'core-1', isTerminal: false, writeLine: () => true});
	const commands = createLinkCommands({onFault: () => undefined});
	const reports = new Map<string, Answer>();
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
		listCoordinatorAddresses: () => [], describePublishedSince: () => undefined, getConfigVersion: () => 0, isCurrent: () => true, getLeaderAddress: () => undefined,
		isLeader: () => false, findLeaderAddress: () => undefined, onLeaderReported: () => undefined, onRound: () => undefined,
	});
	t.teardown(() => {
		fleet.stop();
	});

	for (const name of others) {
		commands.dispatch({kind: LinkMessageKind.Hello, hello: createHello(createCard(name))}, () => undefined);
	}

	const announce = (stage: InstanceStage, sequence: number) => {
		const state = {isAcknowledged: false};
		void (async () => {
			await fleet.announce({...record, stage, sequence});
			state.isAcknowledged = true;
		})();

		return state;
	};

	return {fleet, reports, announce};
}

for (const stage of [InstanceStage.Draining, InstanceStage.Gone]) {
	test(`that an instance is ${stage} is acknowledged once another coordinator knows it`, async t => {
		const {announce, reports} = openFleet(t, ['core-2', 'core-3']);
		const ready = announce(InstanceStage.Ready, 1);
		await waitForTurn();
		t.true(ready.isAcknowledged);
		const leaving = announce(stage, 2);
		await waitForTurn();
		t.false(leaving.isAcknowledged);
		t.deepEqual([...reports.keys()], ['core-2:7200', 'core-3:7200']);
		reports.get('core-2:7200')!.reject();
		await waitForTurn();
		t.false(leaving.isAcknowledged);
		reports.get('core-3:7200')!.resolve();
		await waitForTurn();
		t.true(leaving.isAcknowledged);
	});
}

test('that an instance leaves is acknowledged where no other coordinator is known, or none is reached', async t => {
	const alone = openFleet(t, []);
	const leaving = alone.announce(InstanceStage.Draining, 2);
	await waitForTurn();
	t.true(leaving.isAcknowledged);
	const cutOff = openFleet(t, ['core-2']);
	const unheard = cutOff.announce(InstanceStage.Draining, 2);
	cutOff.reports.get('core-2:7200')!.reject();
	await waitForTurn();
	t.true(unheard.isAcknowledged);
});
