import http, {Agent, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord,
} from '@fescuestair/membership';
import {
	AttemptOutcome, RefusalCode, RequestEventKind, UpstreamKind, type Refusal, type RefusalError, type RequestEvent,
} from '@fescuestair/protocol';
import {createLogger, PermitOutcome} from '@fescuestair/runtime';
import {createPublicState, ItemKind, type ServiceItem} from '@fescuestair/state';
import {openHttpListener} from '@fescuestair/transport';
import {callRepeatably} from '../../repeatable-call.js';
import {type EntryServices} from '../../request-context.js';
import {createUpstreamLoadTracker} from '../../upstream-load-tracker.js';

const timeoutMs = 30_000;
const silenceMs = 10_000;

/** Answers a call, with the number of calls that the instance got before. */
type Answer = (response: ServerResponse, earlierCalls: number) => void;

/** An instance that keeps its calls until it is told to go on. */
const createSilent = () => {
	let responses: ServerResponse[] = [];

	return {
		answer(response: ServerResponse) {
			responses.push(response);
		},
		goOn(text: string) {
			for (const response of responses) {
				response.end(text);
			}

			responses = [];
		},
	};
};

type Scene = {
	readonly clock: ReturnType<typeof createManualClock>;
	readonly waitForCalls: (count: number) => Promise<void>;
	readonly waitForEvent: (check: (event: RequestEvent) => boolean) => Promise<void>;
};

/** Makes a call at stub instances while a test plays its scene; resolves to what came of it. */
async function callAt(answers: readonly Answer[], play: (scene: Scene) => Promise<void>) {
	const clock = createManualClock(1000);
	const agent = new Agent({keepAlive: true});
	const calls: string[] = [];
	const requestEvents: RequestEvent[] = [];
	const state = {isEnded: false};
	const listeners = await Promise.all(answers.map(async (answer, index) => openHttpListener(http.createServer((request, response) => {
		request.resume();
		const id = `service-${index + 1}`;
		const earlierCalls = calls.filter(call => call === id).length;
		calls.push(id);
		answer(response, earlierCalls);
	}), {host: '127.0.0.1', port: 0})));
	const records = listeners.map(({port}, index): MemberRecord => ({
		id: `service-${index + 1}`,
		kind: RecordKind.Upstream,
		incarnation: 1,
		version: 1,
		status: MemberStatus.Alive,
		address: `127.0.0.1:${port}`,
		availabilityZone: 'z',
		details: {kind: UpstreamKind.Service, service: 'work-orders'},
	}));
	let membership = createMembership({self: {...records[0]!, id: 'entry-1', kind: RecordKind.Entry}, nowMs: 0});

	for (const record of records) {
		membership = stepMembership(membership, {kind: InputKind.Publish, record}, 0).state;
	}

	const services = {
		serviceAgent: agent,
		availabilityZone: 'z',
		clock,
		follower: {getState: createPublicState},
		gossip: {getMembership: () => membership},
		loadTracker: createUpstreamLoadTracker(clock),
		log: createLogger({instance: 'entry-1', level: 0}),
		metrics: {count: () => undefined},
		permits: {reserve: async () => ({outcome: PermitOutcome.Unlimited}), getClosedUntilMs: () => 0},
		standings: {isAvailable: () => true, recordResponse: () => undefined},
		recordRequestEvent(event: RequestEvent) {
			requestEvents.push(event);
		},
	} as unknown as EntryServices;
	let result: string | undefined;
	let refusal: Refusal | undefined;

	const waitFor = async (check: () => boolean) => {
		while (!check() && !state.isEnded) {
			await sleep(5);
		}
	};

	const service: ServiceItem = {
		kind: ItemKind.Service, name: 'work-orders', timeoutMs, repeatableMethods: ['GET'], keyRetentionHours: 24,
	};

	const call = async () => {
		try {
			const {status, body} = await callRepeatably(services, 'r-1', {
				service,
				call: {
					method: 'GET', path: '/', headers: {}, body: new Uint8Array(),
				},
				deadlineMs: 1000 + timeoutMs,
			});
			result = `${status} ${new TextDecoder().decode(body)}`;
		} catch (error) {
			refusal = (error as RefusalError).refusal;
		} finally {
			state.isEnded = true;
		}
	};

	const countEnds = () => requestEvents.filter(event => event.kind === RequestEventKind.AttemptEnded).length;
	await Promise.all([call(), play({
		clock,
		async waitForCalls(count) {
			await waitFor(() => calls.length >= count);
		},
		async waitForEvent(check) {
			await waitFor(() => requestEvents.some(event => check(event)));
		},
	})]);

	// An attempt that is cancelled ends a little later.
	while (countEnds() < requestEvents.filter(event => event.kind === RequestEventKind.Dispatched).length) {
		await sleep(5);
	}

	agent.destroy();
	await Promise.all(listeners.map(async listener => listener.close()));

	return {
		result,
		refusal,
		calls,
		ends: requestEvents.flatMap(event => event.kind === RequestEventKind.AttemptEnded ? [`${event.attempt} ${event.end}`] : []),
		decisions: requestEvents.flatMap(event => event.kind === RequestEventKind.RunDecided
			? [`${event.upstreamId} ${event.evidence} ${event.action} ${event.successorId ?? event.obstacle ?? ''}`.trim()]
			: []),
	};
}

const answerSound: Answer = response => response.end('sound');

test('a call at a silent instance is kept while another instance is asked, and whichever answers first counts', async t => {
	const first = createSilent();
	const second = createSilent();
	const result = await callAt([first.answer, second.answer], async ({clock, waitForCalls}) => {
		await waitForCalls(1);
		clock.advance(silenceMs);
		await waitForCalls(2);
		first.goOn('first');
	});
	t.is(result.result, '200 first');
	t.deepEqual(result.calls, ['service-1', 'service-2']);
	t.deepEqual(result.decisions, ['service-1 silent add_run service-2', 'service-2 superseded cancel']);
	t.deepEqual(result.ends.toSorted(), ['1 complete', '2 cancelled']);
	const taken = await callAt([createSilent().answer, answerSound], async ({clock, waitForCalls}) => {
		await waitForCalls(1);
		clock.advance(silenceMs);
	});
	t.is(taken.result, '200 sound');
	t.deepEqual(taken.decisions, ['service-1 silent add_run service-2', 'service-1 superseded cancel']);
	t.deepEqual(taken.ends.toSorted(), ['1 silent', '2 complete']);
});

test('a call at the only instance is kept while it is silent, and made again beside', async t => {
	const only = createSilent();
	const result = await callAt([only.answer], async ({clock, waitForCalls}) => {
		await waitForCalls(1);
		clock.advance(silenceMs);
		await waitForCalls(2);
		only.goOn('only');
	});
	t.is(result.result, '200 only');
	t.deepEqual(result.calls, ['service-1', 'service-1']);
	t.is(result.decisions[0], 'service-1 silent add_run service-1');
});

test('a call at a silent instance is kept after all others have failed', async t => {
	const first = createSilent();
	const result = await callAt([first.answer, response => response.socket!.resetAndDestroy()], async ({clock, waitForCalls, waitForEvent}) => {
		await waitForCalls(1);
		clock.advance(silenceMs);
		await waitForEvent(event => event.kind === RequestEventKind.AttemptEnded && event.end === AttemptOutcome.ConnectionLost);
		first.goOn('first');
	});
	t.is(result.result, '200 first');
});

test('calls at silent instances are ended by the deadline, and told so', async t => {
	const result = await callAt([createSilent().answer], async ({clock, waitForCalls, waitForEvent}) => {
		await waitForCalls(1);
		clock.advance(silenceMs);
		await waitForCalls(2);
		clock.advance(timeoutMs);
		await waitForEvent(() => false);
	});
	t.is(result.refusal?.code, RefusalCode.DeadlinePassed);
	t.is(result.decisions.filter(decision => decision.startsWith('service-1 deadline_passed cancel')).length, 2);
});
