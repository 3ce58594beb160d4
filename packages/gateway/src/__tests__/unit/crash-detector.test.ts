import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import test from 'ava';
import {
	explainCrashes, createQuarantine, createTrialReport, decideTrial, decodeCrashReport, encodeQuarantine, mergeCrashReport, noCrashEvidence, type CrashReportMessage,
} from '@fescuestair/crashes';
import {InstanceStage, type RegisteredInstance} from '@fescuestair/instances';
import {createLogger} from '@fescuestair/runtime';
import {createCrashDetector, type BrokenAnswer, type CrashDetector} from '../../crash-detector.js';
import {type Exchange} from '../../exchange.js';
import {type PooledInstance} from '../../pooled-instance.js';

/** Longer than answers to sound traits take to become known. */
const settledMs = 600;

// Two gateways with a common home, which collects their reports and tells both what they are to hold back.
const openGateways = () => {
	const time = {nowMs: 0};
	const detectors: CrashDetector[] = [];
	let evidence = noCrashEvidence;
	let endedRuns: readonly string[] = [];
	let startedAtMs = -60_000;

	const decide = () => ({evidence, explanation: explainCrashes(evidence, time.nowMs)});

	const links = {
		send(_home: string, message: unknown) {
			const {report} = message as {readonly report: CrashReportMessage};
			evidence = mergeCrashReport(evidence, decodeCrashReport(report, time.nowMs), time.nowMs);
			endedRuns = [...endedRuns, ...report.endedRuns];
		},
		async call(_home: string, message: unknown) {
			const query = {traits: (message as {readonly traits: readonly string[]}).traits, ...decide()};
			const {isGranted, retryAtMs} = decideTrial(query, time.nowMs);

			if (isGranted) {
				evidence = mergeCrashReport(evidence, {trials: createTrialReport(query, time.nowMs)}, time.nowMs);
			}

			return {kind: 'trial', trial: {isGranted, retryInMs: Math.max(0, retryAtMs - time.nowMs)}};
		},
	};
	const open = () => {
		const detector = createCrashDetector({
			linkAddress: `gateway-${detectors.length}`, links, getHome: () => 'home',
			clock: {readMonotonicMs: () => time.nowMs, readWallMs: () => time.nowMs},
			log: createLogger({instance: 'gateway', isTerminal: false, writeLine: () => true}),
			metrics: {count: () => undefined},
		});
		detectors.push(detector);

		return detector;
	};

	return {
		time,
		open,
		first: open(),
		second: open(),
		// Gateways report on the first message what they lost at instances that others found ended, and on the second what was answered since.
		restartHome() {
			evidence = noCrashEvidence;
			endedRuns = [];
			startedAtMs = time.nowMs;
		},
		publish(afterMs = settledMs) {
			for (let round = 0; round < 3; round++) {
				time.nowMs += afterMs / 3;
				const message = encodeQuarantine(createQuarantine(evidence, decide().explanation), {nowMs: time.nowMs, endedRuns, collectedForMs: time.nowMs - startedAtMs});

				for (const detector of detectors) {
					detector.applyQuarantine('home', message);
				}
			}
		},
	};
};

const createHeld = (id: string, incarnation: number): RegisteredInstance => ({
	heardAtMs: 0, revision: 1, loadingDeadlineMs: 0,
	record: {
		id, service: 'app', address: '10.0.0.1:1', availabilityZone: 'north', slots: 1, stage: InstanceStage.Ready, coldLeftMs: 0, models: [], incarnation, sequence: 1,
	},
});
const createInstance = (id: string, incarnation: number): PooledInstance => ({held: createHeld(id, incarnation)}) as unknown as PooledInstance;
const createExchange = (url: string, requestId: string, partIds: readonly string[] = []): Exchange => ({
	requestId, body: Buffer.from(partIds.length === 0 ? 'question' : requestId), organisation: undefined, startedAtMs: 0, deadlineMs: 1000,
	request: {method: 'POST', url} as unknown as IncomingMessage, response: undefined as unknown as ServerResponse,
	route: undefined as unknown as Exchange['route'],
	caller: {prompt: partIds.length === 0 ? undefined : {model: 'm', parts: partIds.map(id => ({id, tokens: 1}))}} as unknown as Exchange['caller'],
});
const unanswered = (sentAtMs: number): BrokenAnswer => ({sentAtMs, pieces: 0, firstPieceAtMs: undefined});

test('a request that crashed three instances, at whichever gateways, is held back at all gateways', t => {
	const {time, first, second, publish} = openGateways();

	for (const [detector, id] of [[first, 'i-1'], [second, 'i-2'], [first, 'i-3']] as const) {
		t.is(second.findHeldBack(createExchange('/poison', 'r')), undefined);
		detector.recordBrokenConnection(createExchange('/poison', `r-${id}`), createInstance(id, 1), unanswered(time.nowMs));
		time.nowMs += 300;
		detector.recordUnreachable(createInstance(id, 1), {isEnded: true});
		publish();
	}

	t.true(first.findHeldBack(createExchange('/poison', 'r'))!.trialAtMs > time.nowMs + 60_000);
	t.true(second.findHeldBack(createExchange('/poison', 'r'))!.trialAtMs > time.nowMs + 60_000);
	t.is(second.findHeldBack(createExchange('/other', 'r')), undefined);
});

test('connections reset by instances that keep running do not make a request a suspect', t => {
	const {time, first, publish} = openGateways();

	for (let round = 0; round < 20; round++) {
		const instance = createInstance(`i-${round % 4}`, 1);
		first.recordBrokenConnection(createExchange('/lookup', `r-${round}`), instance, unanswered(time.nowMs));
		time.nowMs += 10;
		first.recordCompletion(instance, time.nowMs - 5);
		time.nowMs += 10;
		first.recordUnreachable(instance, {isEnded: true});
		publish(10);
	}

	publish();
	t.is(first.findHeldBack(createExchange('/lookup', 'r')), undefined);
});

test('an instance that has restarted counts as crashed, and a request that finishes anywhere is cleared of earlier crashes', t => {
	const {time, first, second, publish} = openGateways();
	const crash = (id: string) => {
		first.recordBrokenConnection(createExchange('/lookup', 'r'), createInstance(id, 1), unanswered(time.nowMs));
		first.applyRegistry({held: new Map([[id, createHeld(id, 2)]]), revision: 2});
		publish();
	};

	crash('i-1');
	crash('i-2');
	second.recordAnswer(createExchange('/lookup', 's'), time.nowMs);
	crash('i-3');
	t.is(first.findHeldBack(createExchange('/lookup', 'r')), undefined);
	crash('i-4');
	crash('i-5');
	t.not(first.findHeldBack(createExchange('/lookup', 'r')), undefined);
});

test('a deadly part is held back at all gateways, also at one that starts later, and the part that others share with it is not', t => {
	const {time, first, second, open, publish} = openGateways();

	for (let index = 0; index < 3; index++) {
		const detector = index % 2 === 0 ? first : second;
		const instance = createInstance(`i-${index}`, 1);
		detector.recordBrokenConnection(createExchange('/guide', `d-${index}`, ['first', 'deadly', `own${index}`]), instance, unanswered(time.nowMs));
		first.recordBrokenConnection(createExchange('/guide', `s-${index}`, ['first', `document${index}`, `own-s${index}`]), instance, unanswered(time.nowMs));
		// An answer that has gone on exonerates its request, whatever gateway it is at.
		second.recordBrokenConnection(createExchange('/guide', `a-${index}`, ['first', 'popular', `own-a${index}`]), instance, {
			sentAtMs: time.nowMs, pieces: 9, firstPieceAtMs: time.nowMs - 5000,
		});
		// Only the other gateway finds that the instance is gone.
		second.recordUnreachable(instance, {isEnded: true});
		time.nowMs += 100;
		second.recordAnswer(createExchange('/guide', `o-${index}`, ['first', 'other', `own-o${index}`]), time.nowMs);
		publish();
	}

	for (const detector of [first, second]) {
		t.is(detector.findHeldBack(createExchange('/guide', 'r', ['first', 'deadly', 'own']))!.trait, 'part m deadly');
		t.is(detector.findHeldBack(createExchange('/guide', 'r', ['first', 'popular', 'own'])), undefined);
		t.is(detector.findHeldBack(createExchange('/guide', 'r', ['first', 'document1', 'own'])), undefined);
	}

	const late = open();
	publish();
	t.not(late.findHeldBack(createExchange('/guide', 'r', ['first', 'deadly', 'own'])), undefined);
});

test('coordinators that all restart learn from the gateways what was held back, and nothing is let through meanwhile', t => {
	const {time, first, second, publish, restartHome} = openGateways();

	for (let index = 0; index < 3; index++) {
		const detector = index % 2 === 0 ? first : second;
		detector.recordBrokenConnection(createExchange('/guide', `d-${index}`, ['first', 'deadly', `own${index}`]), createInstance(`i-${index}`, 1), unanswered(time.nowMs));
		detector.recordUnreachable(createInstance(`i-${index}`, 1), {isEnded: true});
		time.nowMs += 100;
		second.recordAnswer(createExchange('/guide', `o-${index}`, ['first', 'other', `own-o${index}`]), time.nowMs);
		publish();
	}

	const exchange = createExchange('/guide', 'r', ['first', 'deadly', 'own']);
	t.not(first.findHeldBack(exchange), undefined);
	time.nowMs += 60_000;
	restartHome();

	for (let round = 0; round < 12; round++) {
		publish(500);
		t.is(first.findHeldBack(exchange)?.trait, 'part m deadly');
		t.is(second.findHeldBack(exchange)?.trait, 'part m deadly');
		t.is(first.findHeldBack(createExchange('/guide', 'r', ['first', 'document', 'own'])), undefined);
	}
});

test('of all gateways one sends a trial, and its answer ends the quarantine everywhere', async t => {
	const {time, first, second, publish} = openGateways();

	for (let index = 0; index < 3; index++) {
		first.recordBrokenConnection(createExchange('/guide', `d-${index}`, ['deadly', `own${index}`]), createInstance(`i-${index}`, 1), unanswered(time.nowMs));
		first.recordUnreachable(createInstance(`i-${index}`, 1), {isEnded: true});
		second.recordAnswer(createExchange('/guide', `o-${index}`, ['other', 'own']), time.nowMs + 10);
		publish();
	}

	const exchange = createExchange('/guide', 'trial', ['deadly', 'own']);
	t.false(await first.requestTrial(exchange, first.findHeldBack(exchange)!));
	time.nowMs += 60_000;
	const grants = await Promise.all([first, second, first, second].map(async detector => detector.requestTrial(exchange, detector.findHeldBack(exchange)!)));
	t.is(grants.filter(Boolean).length, 1);
	first.recordAnswer(exchange, time.nowMs);
	publish();
	t.is(first.findHeldBack(exchange), undefined);
	t.is(second.findHeldBack(exchange), undefined);
});
