import http, {type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {Agent} from 'undici';
import {createManualClock} from '@fescuestair/core';
import {MemberStatus, RecordKind, type MemberRecord} from '@fescuestair/membership';
import {
	AttemptOutcome, ExecutionStatus, RefusalCode, RefusalError, RequestEventKind, UpstreamKind, type RequestEvent,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {createLogger} from '@fescuestair/runtime';
import {RunAction} from '@fescuestair/streams';
import {openHttpListener} from '@fescuestair/transport';
import {runPrompt, type PromptEvent, type PromptRunOptions} from '../../prompt-run.js';
import {reportRunDecision} from '../../report-run-decision.js';
import {createUpstreamLoadTracker} from '../../upstream-load-tracker.js';

const words = ['a', 'b', 'c', 'd'];
const silenceMs = 2500;
const deadlineMs = 100_000;

/** The events of an answer of four tokens from one offset to another. */
const formatEvents = (fromOffset: number, toOffset = words.length) => words.slice(fromOffset, toOffset)
	.map((text, index) => ({text, offset: fromOffset + index + 1}))
	.map(({text, offset}) => `id: ${offset}\ndata: ${JSON.stringify({text, finishReason: offset === words.length ? 'length' : undefined})}\n\n`)
	.join('');

const sendHead = (response: ServerResponse) => {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.flushHeaders();
};

/** An engine whose run goes on without its reader. */
type Engine = {
	/** Answers a request for a run, or to resume one. */
	readonly answer: (input: {readonly response: ServerResponse; readonly fromOffset: number; readonly isResumed: boolean}) => void;
	/** Ends its silence, if it has one. */
	readonly goOn: () => void;
};

const createEngine = (answer: Engine['answer']): Engine => ({answer, goOn: () => undefined});

const createSound = () => createEngine(({response, fromOffset}) => {
	sendHead(response);
	response.end(formatEvents(fromOffset));
});

const createFailing = (status: number) => createEngine(({response}) => response.writeHead(status).end('{"code":"stub"}'));

type SilentOptions = {
	/** Tokens that it sends before it falls silent; without any, it sends no head either. */
	readonly tokens: number;
	/** Whether connections on which it fell silent stay so, and only new ones hear more of it. */
	readonly needsNewConnection?: boolean;
};

/** An engine that falls silent and goes on when it is told to. */
const createSilent = ({tokens, needsNewConnection = false}: SilentOptions): Engine => {
	let isSilent = true;
	const waiting: Array<() => void> = [];

	return {
		answer({response, fromOffset, isResumed}) {
			const begun = isResumed ? fromOffset : fromOffset + tokens;

			if (begun > fromOffset) {
				sendHead(response);
				response.write(formatEvents(fromOffset, begun));
			}

			const end = () => {
				if (!response.headersSent) {
					sendHead(response);
				}

				response.end(formatEvents(begun));
			};

			if (!isSilent || (needsNewConnection && isResumed)) {
				end();
			} else if (!needsNewConnection) {
				waiting.push(end);
			}
		},
		goOn() {
			isSilent = false;

			for (const end of waiting) {
				end();
			}
		},
	};
};

/** The engines whose runs were cancelled, in order. */
const listCancelled = (requestEvents: readonly RequestEvent[]) => requestEvents.flatMap(event => (
	event.kind === RequestEventKind.RunDecided && event.action === String(RunAction.Cancel) ? [event.upstreamId] : []
));

/** What a test sees and does while a prompt runs. */
type Scene = {
	readonly clock: ReturnType<typeof createManualClock>;
	/** Requests to the engines, such as `POST engine-1`, in the order of their arrival. */
	readonly calls: readonly string[];
	readonly events: readonly PromptEvent[];
	readonly requestEvents: readonly RequestEvent[];
	/** Resolves once the condition holds or the prompt has ended. */
	readonly waitFor: (condition: () => boolean) => Promise<void>;
	/** Waits until the answer has so many tokens, and then for longer than an upstream may be silent. */
	readonly waitForSilence: (tokens: number) => Promise<void>;
	readonly leave: () => void;
};

type RunInput = {
	readonly engines: readonly Engine[];
	readonly changes?: Partial<PromptRunOptions>;
	/** Changes how attempts are planned; gets the number of plans so far. */
	readonly planLate?: (plans: number) => Promise<void>;
	readonly play: (scene: Scene) => Promise<void>;
	/** Waited for by each event. */
	readonly drained?: Promise<void>;
};

/** Runs a prompt of four tokens at stub engines, in their order, while a test plays its scene; resolves to what the caller got and how it ended. */
async function runAt({engines, changes, planLate, play, drained}: RunInput) {
	let plans = 0;
	let keptCount = 0;
	const clock = createManualClock(1000);
	// Such an agent gives up a connection that is silent, unless it is told otherwise.
	const agent = new Agent({headersTimeout: 100, bodyTimeout: 100});
	const abortController = new AbortController();
	const events: PromptEvent[] = [];
	const requestEvents: RequestEvent[] = [];
	const calls: string[] = [];
	const state = {isEnded: false};
	const listeners = await Promise.all(engines.map(async (engine, index) => openHttpListener(http.createServer(async (request, response) => {
		let body = '';

		for await (const chunk of request) {
			body += String(chunk);
		}

		calls.push(`${request.method} engine-${index + 1}`);

		if (request.method === 'DELETE') {
			response.end('{}');
		} else {
			const isResumed = request.method === 'GET';
			const fromOffset = isResumed
				? Number(new URL(request.url!, 'http://engine').searchParams.get('from'))
				: (JSON.parse(body) as {readonly fromOffset: number}).fromOffset;
			engine.answer({response, fromOffset, isResumed});
		}
	}), {host: '127.0.0.1', port: 0})));
	const records = listeners.map(({port}, index): MemberRecord => ({
		id: `engine-${index + 1}`,
		kind: RecordKind.Upstream,
		incarnation: 1,
		version: 1,
		status: MemberStatus.Alive,
		address: `127.0.0.1:${port}`,
		availabilityZone: 'z',
		details: {kind: UpstreamKind.Engine},
	}));
	const options: PromptRunOptions = {
		agent,
		clock,
		loadTracker: createUpstreamLoadTracker(clock),
		standings: {recordResponse: () => undefined},
		async planAttempt(_job, excludedIds) {
			plans++;
			await planLate?.(plans);
			const record = records.find(({id}) => !excludedIds.has(id));

			if (record === undefined) {
				throw new RefusalError({code: RefusalCode.NoUpstream, message: 'no engine', ran: ExecutionStatus.NotRun});
			}

			return {
				record, candidates: [], prefillTokens: 1, fetchPlan: undefined,
			};
		},
		reserveEngine: async () => true,
		reserveReading: async () => true,
		fetchPieces: async () => undefined,
		hasRetry: () => true,
		withdrawRetry: () => true,
		reportCrash: async () => true,
		recordRequestEvent(event) {
			requestEvents.push(event);
		},
		reportRunDecision(report) {
			reportRunDecision({
				clock, log: createLogger({instance: 'entry-1', level: 0}), metrics: {count: () => undefined}, recordRequestEvent: options.recordRequestEvent,
			}, report);
		},
		keepsRuns: () => false,
		...changes,
		keepLeftRun(job, record) {
			const isKept = changes?.keepLeftRun?.(job, record) ?? false;
			keptCount += isKept ? 1 : 0;

			return isKept;
		},
	};
	const waitFor = async (condition: () => boolean) => {
		while (!condition() && !state.isEnded) {
			await sleep(5);
		}
	};

	const scene: Scene = {
		clock,
		calls,
		events,
		requestEvents,
		waitFor,
		async waitForSilence(tokens) {
			await waitFor(() => calls.length > 0 && events.length >= tokens);
			clock.advance(silenceMs);
			await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.RunDecided));
		},
		leave() {
			abortController.abort();
		},
	};
	let error: unknown;

	const run = async () => {
		try {
			await runPrompt(options, {
				requestId: 'r-1', organisation: 'okahandja', model: 'assistant', weightVersion: '1', prompt: 'x', promptTokens: 1, maxTokens: words.length,
				priority: Priority.Short, deadlineMs, signal: abortController.signal,
			}, {
				write(event) {
					events.push(event);

					return drained === undefined;
				},
				waitForDrain: async () => drained,
			});
		} catch (caughtError) {
			error = caughtError;
		} finally {
			state.isEnded = true;
		}
	};

	try {
		await Promise.all([run(), play(scene)]);

		// Cancellations are sent and not waited for.
		while (calls.filter(call => call.startsWith('DELETE')).length < listCancelled(requestEvents).length - keptCount) {
			await sleep(5);
		}
	} finally {
		await agent.destroy();
		await Promise.all(listeners.map(async listener => listener.close()));
	}

	return {
		error,
		refusal: error instanceof RefusalError ? error.refusal : undefined,
		text: events.map(event => event.text).join(''),
		offsets: events.map(event => event.offset),
		calls,
		requestEvents,
		cancelled: listCancelled(requestEvents),
		obstacles: requestEvents.flatMap(event => event.kind === RequestEventKind.RunDecided && event.obstacle !== undefined ? [`${event.upstreamId} ${event.obstacle}`] : []),
		countCalls: (call: string) => calls.filter(other => other === call).length,
	};
}

const whole = {error: undefined, text: 'abcd', offsets: [1, 2, 3, 4]};

for (const tokens of [0, 2]) {
	const place = `behind ${tokens} tokens`;

	test(`the run of the only engine is kept while it is silent ${place}, and ends well`, async t => {
		const engine = createSilent({tokens});
		const result = await runAt({
			engines: [engine],
			async play({waitForSilence, clock, waitFor, calls}) {
				await waitForSilence(tokens);
				clock.advance(silenceMs);
				await waitFor(() => calls.filter(call => call === 'GET engine-1').length > 1);
				engine.goOn();
			},
		});
		t.like(result, whole);
		t.deepEqual(result.obstacles, ['engine-1 no_upstream']);
		t.is(result.countCalls('POST engine-1'), 1);
		t.deepEqual(result.cancelled, []);
		t.is(result.countCalls('DELETE engine-1'), 0);
	});

	// The last retry may be taken by another request while a successor is planned.
	for (const hasRetry of [false, true]) {
		test(`a run that is silent ${place} is kept while the budget for retries is spent, ${hasRetry ? 'since the successor was planned' : 'before'}`, async t => {
			const engine = createSilent({tokens});
			const result = await runAt({
				engines: [engine, createSound()],
				changes: {hasRetry: () => hasRetry, withdrawRetry: () => false},
				async play({waitForSilence}) {
					await waitForSilence(tokens);
					engine.goOn();
				},
			});
			t.like(result, whole);
			t.deepEqual(result.obstacles, ['engine-1 no_budget']);
			t.is(result.countCalls('POST engine-2'), 0);
			t.deepEqual(result.cancelled, []);
			t.is(result.countCalls('DELETE engine-1'), 0);
		});
	}

	test(`a run that is silent ${place} is kept where no attempt is left`, async t => {
		const engine = createSilent({tokens});
		const result = await runAt({
			engines: [createFailing(500), createFailing(500), createFailing(500), engine, createSound()],
			async play({waitFor, waitForSilence, calls}) {
				await waitFor(() => calls.includes('POST engine-4'));
				await waitForSilence(tokens);
				engine.goOn();
			},
		});
		t.like(result, whole);
		t.deepEqual(result.obstacles, ['engine-4 no_attempt']);
		t.is(result.countCalls('POST engine-5'), 0);
		t.deepEqual(result.cancelled, []);
		t.is(result.countCalls('DELETE engine-4'), 0);
	});

	test(`a run that is silent ${place} is cancelled only once its successor has continued the answer`, async t => {
		const first = createSilent({tokens});
		const second = createSilent({tokens: 0});
		const result = await runAt({
			engines: [first, second],
			async play({waitForSilence, waitFor, calls}) {
				await waitForSilence(tokens);
				await waitFor(() => calls.includes('POST engine-2'));
				t.false(calls.includes('DELETE engine-1'));
				second.goOn();
				await waitFor(() => calls.includes('DELETE engine-1'));
			},
		});
		t.like(result, whole);
		t.deepEqual(result.cancelled, ['engine-1']);
		t.is(result.countCalls('DELETE engine-1'), 1);
		t.is(result.countCalls('DELETE engine-2'), 0);
	});

	test(`a run that is silent ${place} and goes on before its successor does ends the answer, and its successor is cancelled`, async t => {
		const first = createSilent({tokens});
		const result = await runAt({
			engines: [first, createSilent({tokens: 0})],
			async play({waitForSilence, waitFor, calls}) {
				await waitForSilence(tokens);
				await waitFor(() => calls.includes('POST engine-2'));
				first.goOn();
			},
		});
		t.like(result, whole);
		t.deepEqual(result.cancelled, ['engine-2']);
		t.is(result.countCalls('DELETE engine-1'), 0);
		t.is(result.countCalls('DELETE engine-2'), 1);
	});

	test(`a run that is silent ${place} is kept when its successor fails`, async t => {
		const first = createSilent({tokens});
		const result = await runAt({
			engines: [first, createFailing(500)],
			async play({waitForSilence, waitFor, requestEvents}) {
				await waitForSilence(tokens);
				await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.AttemptEnded && event.end === AttemptOutcome.Refused));
				first.goOn();
			},
		});
		t.like(result, whole);
		t.deepEqual(result.cancelled, []);
		t.is(result.countCalls('DELETE engine-1'), 0);
	});

	test(`a run that is silent ${place} on its connection alone is read again on another`, async t => {
		const result = await runAt({
			engines: [createSilent({tokens, needsNewConnection: true})],
			async play({waitForSilence}) {
				await waitForSilence(tokens);
			},
		});
		t.like(result, whole);
		t.is(result.countCalls('POST engine-1'), 1);
	});

	test(`runs that are silent ${place} are cancelled once the deadline has passed, and the request is refused`, async t => {
		const result = await runAt({
			engines: [createSilent({tokens}), createSilent({tokens: 0})],
			async play({waitForSilence, waitFor, calls, clock}) {
				await waitForSilence(tokens);
				await waitFor(() => calls.includes('POST engine-2'));
				clock.advance(deadlineMs);
				await waitFor(() => false);
			},
		});
		t.is(result.text, words.slice(0, tokens).join(''));
		t.like(result.refusal, {code: RefusalCode.DeadlinePassed, ran: tokens === 0 ? ExecutionStatus.Unknown : ExecutionStatus.Ran});
		t.deepEqual(result.cancelled, ['engine-1', 'engine-2']);
		t.is(result.countCalls('DELETE engine-1'), 1);
		t.is(result.countCalls('DELETE engine-2'), 1);
	});

	test(`runs that are silent ${place} are cancelled once their caller has left`, async t => {
		const result = await runAt({
			engines: [createSilent({tokens}), createSilent({tokens: 0})],
			async play({waitForSilence, waitFor, calls, leave}) {
				await waitForSilence(tokens);
				await waitFor(() => calls.includes('POST engine-2'));
				t.false(calls.includes('DELETE engine-1'));
				leave();
			},
		});
		t.like(result.error, {end: AttemptOutcome.Cancelled});
		t.deepEqual(result.cancelled, ['engine-1', 'engine-2']);
		t.is(result.countCalls('DELETE engine-1'), 1);
		t.is(result.countCalls('DELETE engine-2'), 1);
	});
}

test('a run that has brought tokens is kept for a caller that lost its connection, and one that has not is cancelled', async t => {
	for (const tokens of [0, 2]) {
		const kept: string[] = [];
		const result = await runAt({
			engines: [createSilent({tokens})],
			changes: {
				keepLeftRun(job, {id}) {
					kept.push(`${job.requestId} ${id}`);

					return true;
				},
			},
			async play({waitFor, calls, events, leave}) {
				await waitFor(() => calls.includes('POST engine-1') && events.length === tokens);
				leave();
				// Time for a cancellation that should not be sent.
				await sleep(100);
			},
		});
		t.true(result.error instanceof Error);
		t.deepEqual(kept, tokens === 0 ? [] : ['r-1 engine-1']);
		t.is(result.countCalls('DELETE engine-1'), tokens === 0 ? 1 : 0);
	}
});

test('a run is not taken for silent while its caller does not read', async t => {
	const engine = createSilent({tokens: 2});
	let setDrained: () => void = () => undefined;
	const drained = new Promise<void>(resolve => {
		setDrained = resolve;
	});
	const result = await runAt({
		engines: [engine, createSound()],
		drained,
		async play({waitFor, events, clock}) {
			await waitFor(() => events.length > 0);
			engine.goOn();
			clock.advance(silenceMs * 2);
			await sleep(500);
			setDrained();
		},
	});
	t.like(result, whole);
	t.deepEqual(result.calls, ['POST engine-1']);
});

test('a run that is silent is kept if its successor crashed, and the prompt is not sent again once it is held back', async t => {
	const first = createSilent({tokens: 2});
	const crashing = createEngine(({response}) => response.socket!.resetAndDestroy());
	const result = await runAt({
		engines: [first, crashing, createSound()],
		changes: {reportCrash: async () => false},
		async play({waitForSilence, waitFor, requestEvents}) {
			await waitForSilence(2);
			await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.RunDecided && event.obstacle === 'held_back'));
			first.goOn();
		},
	});
	t.like(result, whole);
	t.is(result.countCalls('POST engine-3'), 0);
});

test('an answer that has all tokens asked for, and whose engine is silent before it says so, gets no more of another', async t => {
	const result = await runAt({
		engines: [createEngine(({response}) => {
			sendHead(response);
			response.write(`${formatEvents(0, 3)}id: 4\ndata: {"text":"d"}\n\n`);
		}), createSound()],
		play: async ({waitForSilence}) => waitForSilence(4),
	});
	t.is(result.text, 'abcd');
	t.is(result.countCalls('POST engine-2'), 0);
});

/** An engine that sends one token, falls silent, goes on with another one and is lost together with its run, as a test says. */
const createLost = () => {
	let response: ServerResponse | undefined;

	return {
		answer: ((input => {
			if (input.isResumed) {
				input.response.socket!.resetAndDestroy();
			} else {
				response = input.response;
				sendHead(response);
				response.write(formatEvents(0, 1));
			}
		}) satisfies Engine['answer']),
		goOn() {
			response!.write(formatEvents(1, 2));
		},
		lose() {
			response!.socket!.resetAndDestroy();
		},
	};
};

test('a run that goes on while its successor is planned, and is lost then, is followed by another', async t => {
	const lost = createLost();
	let setPlanned: () => void = () => undefined;
	const planned = new Promise<void>(resolve => {
		setPlanned = resolve;
	});
	let isPlanning = false;
	const result = await runAt({
		engines: [lost, createSound()],
		async planLate(plans) {
			if (plans === 2) {
				isPlanning = true;
				await planned;
			}
		},
		async play({waitFor, clock, events}) {
			await waitFor(() => events.length === 1);
			clock.advance(silenceMs);
			await waitFor(() => isPlanning);
			lost.goOn();
			await waitFor(() => events.length === 2);
			lost.lose();
			await waitFor(() => events.length > 2);
			setPlanned();
		},
	});
	t.like(result, whole);
	t.is(result.countCalls('POST engine-2'), 1);
});

test('an answer whose silent engine is lost while its successor is planned goes on at the successor', async t => {
	const lost = createLost();
	let setPlanned: () => void = () => undefined;
	const planned = new Promise<void>(resolve => {
		setPlanned = resolve;
	});
	let isPlanning = false;
	const result = await runAt({
		engines: [lost, createSound()],
		async planLate(plans) {
			if (plans === 2) {
				isPlanning = true;
				await planned;
			}
		},
		async play({waitFor, clock, events, requestEvents, leave}) {
			await waitFor(() => events.length === 1);
			clock.advance(silenceMs);
			await waitFor(() => isPlanning);
			lost.lose();
			await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.AttemptEnded));
			setPlanned();
			const timer = setTimeout(leave, 5000);
			await waitFor(() => events.length === words.length);
			clearTimeout(timer);
		},
	});
	t.like(result, whole);
	t.is(result.countCalls('POST engine-2'), 1);
});

test('a successor that was planned before the silent engine crashed is not sent a prompt that is held back', async t => {
	const lost = createLost();
	let setPlanned: () => void = () => undefined;
	const planned = new Promise<void>(resolve => {
		setPlanned = resolve;
	});
	let isPlanning = false;
	const result = await runAt({
		engines: [lost, createSound()],
		changes: {
			async reportCrash() {
				setPlanned();
				await sleep(50);

				return false;
			},
		},
		async planLate(plans) {
			if (plans === 2) {
				isPlanning = true;
				await planned;
			}
		},
		async play({waitFor, clock, events}) {
			await waitFor(() => events.length === 1);
			clock.advance(silenceMs);
			await waitFor(() => isPlanning);
			lost.lose();
		},
	});
	t.is(result.refusal?.code, RefusalCode.Quarantined);
	t.is(result.countCalls('POST engine-2'), 0);
});

test('a request ends whose last run fails while a successor is planned, after another run has crashed and the prompt is held back', async t => {
	const lost = createLost();
	let refuse: () => void = () => undefined;
	const refusing = createEngine(({response, isResumed}) => {
		if (!isResumed) {
			refuse = () => {
				response.writeHead(500).end('{"code":"stub"}');
			};
		}
	});
	let setPlanned: () => void = () => undefined;
	const planned = new Promise<void>(resolve => {
		setPlanned = resolve;
	});
	let isPlanning = false;
	let isReported = false;
	const result = await runAt({
		engines: [lost, refusing, createSound()],
		changes: {
			async reportCrash() {
				isReported = true;

				return false;
			},
		},
		async planLate(plans) {
			if (plans === 3) {
				isPlanning = true;
				await planned;
			}
		},
		async play({waitFor, clock, events, calls, requestEvents, leave}) {
			await waitFor(() => events.length === 1);
			clock.advance(silenceMs);
			await waitFor(() => calls.includes('POST engine-2'));
			clock.advance(silenceMs);
			await waitFor(() => isPlanning);
			lost.lose();
			await waitFor(() => isReported);
			await sleep(50);
			refuse();
			await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.AttemptEnded && event.end === AttemptOutcome.Refused));
			setPlanned();
			clock.advance(deadlineMs);
			await sleep(2000);
			leave();
		},
	});
	t.true(result.error instanceof RefusalError, `ended only when its caller left: ${String(result.error)}`);
});

test('a refusal to plan a successor does not say that a prompt has not run whose engine was lost meanwhile', async t => {
	let lose: () => void = () => undefined;
	const lost = createEngine(({response, isResumed}) => {
		if (isResumed) {
			response.socket!.resetAndDestroy();
		} else {
			lose = () => {
				response.socket!.resetAndDestroy();
			};
		}
	});
	let setPlanned: () => void = () => undefined;
	const planned = new Promise<void>(resolve => {
		setPlanned = resolve;
	});
	let isPlanning = false;
	const result = await runAt({
		engines: [lost],
		async planLate(plans) {
			if (plans === 2) {
				isPlanning = true;
				await planned;
			}
		},
		async play({waitFor, clock, calls, requestEvents}) {
			await waitFor(() => calls.length === 1);
			clock.advance(silenceMs);
			await waitFor(() => isPlanning);
			lose();
			await waitFor(() => requestEvents.some(event => event.kind === RequestEventKind.AttemptEnded));
			setPlanned();
		},
	});
	t.is(result.refusal?.code, RefusalCode.NoUpstream);
	t.is(result.refusal?.ran, ExecutionStatus.Unknown);
});

/** How an engine of the seeded test behaves. */
enum Behaviour {
	Sound = 'sound',
	SilentAtOnce = 'silent_at_once',
	SilentLater = 'silent_later',
	SilentConnection = 'silent_connection',
	Failing = 'failing',
	StartsOver = 'starts_over',
}

const createByBehaviour: Readonly<Record<Behaviour, () => Engine>> = {
	[Behaviour.Sound]: createSound,
	[Behaviour.SilentAtOnce]: () => createSilent({tokens: 0}),
	[Behaviour.SilentLater]: () => createSilent({tokens: 1}),
	[Behaviour.SilentConnection]: () => createSilent({tokens: 1, needsNewConnection: true}),
	[Behaviour.Failing]: () => createFailing(500),
	[Behaviour.StartsOver]: () => createEngine(({response}) => {
		sendHead(response);
		response.end('id: 0\ndata: {"text":"X"}\n\n');
	}),
};

const lasting = new Set([Behaviour.Failing, Behaviour.StartsOver]);

test('whichever engines fall silent and whatever others do, an answer is whole once a run is begun that can go on', async t => {
	await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...Object.values(Behaviour)), {minLength: 1, maxLength: 6}), fc.nat(4), async (behaviours, retries) => {
		const engines = behaviours.map(behaviour => createByBehaviour[behaviour]());
		const firstSound = behaviours.findIndex(behaviour => !lasting.has(behaviour));
		let left = retries;
		const result = await runAt({
			engines,
			changes: {
				hasRetry: () => left > 0,
				withdrawRetry() {
					left--;

					return left >= 0;
				},
			},
			async play({clock, waitFor}) {
				for (let round = 0; round < 3; round++) {
					clock.advance(silenceMs);
					let isOver = false;
					setTimeout(() => {
						isOver = true;
					}, 250);
					await waitFor(() => isOver);
				}

				for (const engine of engines) {
					engine.goOn();
				}
			},
		});

		if (firstSound !== -1 && firstSound <= Math.min(retries, 3)) {
			t.like(result, whole);
		} else {
			t.true(result.error instanceof RefusalError);
		}
	}), {seed: 40, numRuns: 40});
});
