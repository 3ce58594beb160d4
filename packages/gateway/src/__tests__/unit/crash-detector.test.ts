import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {type SuspectUpdate} from '@fescuestair/limits';
import {createLogger} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';
import {createCrashDetector} from '../../crash-detector.js';
import {type Exchange} from '../../exchange.js';
import {type PooledInstance} from '../../pooled-instance.js';

// Two gateways with a common home, which relays the updates of each to the other.
const openGateways = (t: ExecutionContext) => {
	const time = {nowMs: 0};
	const detectors = new Map<string, ReturnType<typeof createCrashDetector>>();
	const links = {
		send(_home: string, {from, notes}: {readonly from: string; readonly notes: readonly SuspectUpdate[]}) {
			detectors.get(from === 'a' ? 'b' : 'a')!.applySuspectNotes(notes);
		},
	} as unknown as Links;

	for (const linkAddress of ['a', 'b']) {
		detectors.set(linkAddress, createCrashDetector({
			linkAddress, links, getHome: () => 'home',
			clock: {readMonotonicMs: () => time.nowMs, readWallMs: () => time.nowMs},
			log: createLogger({instance: linkAddress, isTerminal: false, writeLine: () => true}),
		}));
	}

	t.teardown(() => {
		for (const detector of detectors.values()) {
			detector.stop();
		}
	});

	return {time, first: detectors.get('a')!, second: detectors.get('b')!};
};

const createInstance = (id: string, incarnation: number): PooledInstance => ({held: createHeld(id, incarnation)}) as unknown as PooledInstance;
const createHeld = (id: string, incarnation: number): RegisteredInstance => ({
	heardAtMs: 0, revision: 1, loadingDeadlineMs: 0,
	record: {
		id, service: 'app', address: '10.0.0.1:1', availabilityZone: 'north', slots: 1, stage: InstanceStage.Ready, coldLeftMs: 0, models: [], incarnation, sequence: 1,
	},
});
const createExchange = (url: string, requestId: string): Exchange => ({
	requestId, body: Buffer.from('question'), organisation: undefined, startedAtMs: 0, deadlineMs: 1000,
	request: {method: 'POST', url} as unknown as IncomingMessage, response: undefined as unknown as ServerResponse,
	route: undefined as unknown as Exchange['route'], caller: {prompt: undefined} as Exchange['caller'],
});

test('a request that crashed three instances, at whichever gateways, is quarantined at all gateways', t => {
	const {time, first, second} = openGateways(t);

	for (const [detector, id] of [[first, 'i-1'], [second, 'i-2'], [first, 'i-3']] as const) {
		t.is(second.getQuarantineDeadline(createExchange('/poison', 'r')), undefined);
		detector.recordBrokenConnection(createExchange('/poison', `r-${id}`), createInstance(id, 1), 0);
		time.nowMs += 300;
		detector.recordUnreachable(createInstance(id, 1));
	}

	t.true(first.getQuarantineDeadline(createExchange('/poison', 'r'))! > time.nowMs);
	t.true(second.getQuarantineDeadline(createExchange('/poison', 'r'))! > time.nowMs);
	t.is(second.getQuarantineDeadline(createExchange('/other', 'r')), undefined);
});

test('connections reset by instances that keep running do not make a request a suspect', t => {
	const {time, first} = openGateways(t);

	for (let round = 0; round < 20; round++) {
		const instance = createInstance(`i-${round % 4}`, 1);
		first.recordBrokenConnection(createExchange('/lookup', `r-${round}`), instance, 0);
		time.nowMs += 10;
		first.recordCompletion(createExchange('/other', `s-${round}`), instance, time.nowMs - 5);
		time.nowMs += 10;
		first.recordUnreachable(instance);
	}

	t.is(first.getQuarantineDeadline(createExchange('/lookup', 'r')), undefined);
});

test('an instance that has restarted counts as crashed, and a request that finishes anywhere is cleared of earlier crashes', t => {
	const {first, second} = openGateways(t);
	const crash = (id: string) => {
		first.recordBrokenConnection(createExchange('/lookup', 'r'), createInstance(id, 1), 0);
		first.applyRegistry({held: new Map([[id, createHeld(id, 2)]]), revision: 2});
	};

	crash('i-1');
	crash('i-2');
	second.recordCompletion(createExchange('/lookup', 's'), createInstance('i-9', 1), 0);
	crash('i-3');
	t.is(first.getQuarantineDeadline(createExchange('/lookup', 'r')), undefined);
	crash('i-4');
	crash('i-5');
	t.not(first.getQuarantineDeadline(createExchange('/lookup', 'r')), undefined);
});
