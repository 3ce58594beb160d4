import http, {type ServerResponse} from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {Agent} from 'undici';
import {createManualClock} from '@fescuestair/core';
import {MemberStatus, RecordKind, type MemberRecord} from '@fescuestair/membership';
import {
	AttemptOutcome, ExecutionStatus, headerNames, RefusalCode, RefusalError, RequestEventKind, UpstreamKind, type RequestEvent,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {createLogger} from '@fescuestair/runtime';
import {openHttpListener} from '@fescuestair/transport';
import {
	runPrompt, type PromptEvent, type PromptJob, type PromptRunOptions,
} from '../../prompt-run.js';
import {reportRunDecision} from '../../report-run-decision.js';
import {createUpstreamLoadTracker} from '../../upstream-load-tracker.js';
import {createReceivedEvents, type ReceivedEvents} from './received-events.js';

type Answer = (response: ServerResponse, fromOffset: number, received: ReceivedEvents) => unknown;

/** How a stub engine answers: a new run, and a run that is resumed; by default it knows of none. */
type Engine = {readonly generate: Answer; readonly resume?: Answer};

const words = ['a', 'b', 'c', 'd'];

/** The events of an answer of four tokens from one offset to another. */
const formatEvents = (fromOffset: number, toOffset = words.length) => words.slice(fromOffset, toOffset)
	.map((text, index) => ({text, offset: fromOffset + index + 1}))
	.map(({text, offset}) => `id: ${offset}\ndata: ${JSON.stringify({text, finishReason: offset === words.length ? 'length' : undefined})}\n\n`)
	.join('');

const sendEvents = (response: ServerResponse, text: string) => {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.end(text);
};

const answerStatus = (status: number, headers: Readonly<Record<string, string>> = {}): Engine => ({
	generate: response => response.writeHead(status, headers).end('{"code":"stub"}'),
});

const sound: Engine = {
	generate(response, fromOffset) {
		sendEvents(response, formatEvents(fromOffset));
	},
};

/** Breaks off behind two tokens and forgets the run. */
const lostBehindTwo: Engine = {
	async generate(response, _fromOffset, received) {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write(formatEvents(0, 2));
		await received.waitFor(2);
		response.socket!.resetAndDestroy();
	},
};

const lostAtOnce: Engine = {generate: response => response.socket!.resetAndDestroy()};

type RunInput = {
	readonly engines: readonly Engine[];
	readonly changes?: Partial<PromptRunOptions>;
	readonly changeOptions?: (options: PromptRunOptions) => PromptRunOptions;
	/** Called for each event that is passed on. */
	readonly onEvent?: (input: {readonly clock: ReturnType<typeof createManualClock>; readonly leave: () => void}) => void;
};

/** Runs a prompt of four tokens at stub engines, in their order; resolves to what the caller got and how it ended. */
async function runAt({engines, changes, changeOptions = options => options, onEvent}: RunInput) {
	const clock = createManualClock(1000);
	const agent = new Agent();
	const abortController = new AbortController();
	const events: PromptEvent[] = [];
	const requestEvents: RequestEvent[] = [];
	const crashes: string[] = [];
	const calls: string[] = [];
	const received = createReceivedEvents();
	const listeners = await Promise.all(engines.map(async (engine, index) => openHttpListener(http.createServer(async (request, response) => {
		const id = `engine-${index + 1}`;
		calls.push(`${request.method} ${id}`);

		if (request.method === 'POST') {
			let body = '';

			for await (const chunk of request) {
				body += String(chunk);
			}

			engine.generate(response, (JSON.parse(body) as {readonly fromOffset: number}).fromOffset, received);
		} else if (request.method === 'GET' && engine.resume !== undefined) {
			engine.resume(response, Number(new URL(request.url!, 'http://engine').searchParams.get('from')), received);
		} else {
			response.writeHead(404).end('{"code":"no_such_run"}');
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
		details: {kind: UpstreamKind.Engine, softwareVersion: '1.4'},
	}));
	const options: PromptRunOptions = {
		agent,
		clock,
		loadTracker: createUpstreamLoadTracker(clock),
		standings: {recordResponse: () => undefined},
		async planAttempt(_job, excludedIds) {
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
		async reportCrash(_job, {record}) {
			crashes.push(record.id);

			return true;
		},
		recordRequestEvent(event) {
			requestEvents.push(event);
		},
		reportRunDecision(report) {
			reportRunDecision({
				clock, log: createLogger({instance: 'entry-1', level: 0}), metrics: {count: () => undefined}, recordRequestEvent: options.recordRequestEvent,
			}, report);
		},
		keepLeftRun: () => false,
		keepsRuns: () => false,
		...changes,
	};
	let error: unknown;

	try {
		await runPrompt(changeOptions(options), {
			requestId: 'r-1', organisation: 'okahandja', model: 'assistant', weightVersion: '1', prompt: 'x', promptTokens: 1, maxTokens: words.length,
			priority: Priority.Short, deadlineMs: 5000, signal: abortController.signal,
		}, {
			write(event) {
				events.push(event);
				received.add();
				onEvent?.({
					clock,
					leave() {
						abortController.abort();
					},
				});

				return true;
			},
			waitForDrain: async () => undefined,
		});
	} catch (caughtError) {
		error = caughtError;
	} finally {
		await agent.destroy();
		await Promise.all(listeners.map(async listener => listener.close()));
	}

	return {
		error,
		refusal: error instanceof RefusalError ? error.refusal : undefined,
		events,
		text: events.map(event => event.text).join(''),
		offsets: events.map(event => event.offset),
		finishReasons: events.map(event => event.finishReason).filter(reason => reason !== undefined),
		crashes,
		calls: calls.filter(call => !call.startsWith('DELETE')),
		attemptEnds: requestEvents.filter(event => event.kind === RequestEventKind.AttemptEnded).map(({attempt, end, detail, offset}) => ({
			attempt, end, detail, offset,
		})),
	};
}

test('an answer goes on at another engine behind the text so far', async t => {
	const {error, text, offsets, calls} = await runAt({engines: [lostBehindTwo, sound]});
	t.is(error, undefined);
	t.is(text, 'abcd');
	t.deepEqual(offsets, [1, 2, 3, 4]);
	t.deepEqual(calls, ['POST engine-1', 'GET engine-1', 'POST engine-2']);
});

test('an answer that gets heartbeats only ends once its deadline has passed', async t => {
	const {refusal, text} = await runAt({
		engines: [{
			generate(response) {
				response.writeHead(200, {'content-type': 'text/event-stream'});
				response.write(formatEvents(0, 1));
				const timer = setInterval(() => {
					response.write(': heartbeat\n\n');
				}, 20);
				response.on('close', () => {
					clearInterval(timer);
				});
			},
		}],
		onEvent({clock}) {
			clock.advance(9000);
		},
	});
	t.is(text, 'a');
	t.like(refusal, {code: RefusalCode.DeadlinePassed});
});

test('another engine is planned for by the software version that wrote the text so far', async t => {
	const origins: Array<PromptJob['begunBy']> = [];
	const {error, refusal, text} = await runAt({
		engines: [lostBehindTwo],
		changeOptions: options => ({
			...options,
			async planAttempt(job, excludedIds) {
				origins.push(job.begunBy);

				return options.planAttempt(job, excludedIds);
			},
		}),
	});
	t.is(text, 'ab');
	t.true(error instanceof RefusalError);
	t.is(refusal?.ran, ExecutionStatus.Ran);
	t.deepEqual(origins, [undefined, {service: 'assistant', softwareVersion: '1.4'}]);
});

test('an answer that has all tokens asked for, and whose engine is lost before it says so, gets no more of another', async t => {
	const lostAtEnd: Engine = {
		async generate(response, _fromOffset, received) {
			response.writeHead(200, {'content-type': 'text/event-stream'});
			response.write(`${formatEvents(0, 3)}id: 4\ndata: {"text":"d"}\n\n`);
			await received.waitFor(4);
			response.socket!.resetAndDestroy();
		},
	};
	const eager: Engine = {
		generate(response, fromOffset) {
			sendEvents(response, `id: ${fromOffset + 1}\ndata: {"text":"e","finishReason":"length"}\n\n`);
		},
	};
	const {error, text, finishReasons, calls, crashes} = await runAt({engines: [lostAtEnd, eager]});
	t.is(error, undefined);
	t.is(text, 'abcd');
	t.deepEqual(finishReasons, ['length']);
	t.deepEqual(calls, ['POST engine-1', 'GET engine-1']);
	t.deepEqual(crashes, []);
});

test('an answer whose connection was lost goes on at its engine', async t => {
	const resumed: Engine = {
		...lostBehindTwo,
		resume(response, fromOffset) {
			sendEvents(response, formatEvents(fromOffset));
		},
	};
	const {text, offsets, crashes, calls} = await runAt({engines: [resumed, sound]});
	t.deepEqual({text, offsets, crashes}, {text: 'abcd', offsets: [1, 2, 3, 4], crashes: []});
	t.deepEqual(calls, ['POST engine-1', 'GET engine-1']);
});

test('an engine that starts an answer over is left for another, neither resumed nor taken for crashed', async t => {
	const startsOver: Engine = {
		generate(response) {
			sendEvents(response, formatEvents(0));
		},
	};
	const {text, offsets, crashes, calls, attemptEnds} = await runAt({engines: [lostBehindTwo, startsOver, sound]});
	t.deepEqual({text, offsets, crashes}, {text: 'abcd', offsets: [1, 2, 3, 4], crashes: []});
	t.deepEqual(calls, ['POST engine-1', 'GET engine-1', 'POST engine-2', 'POST engine-3']);
	t.like(attemptEnds[1], {attempt: 2, end: AttemptOutcome.Invalid, offset: 2});
	t.regex(attemptEnds[1]!.detail, /status 200.*started the stream over/v);
});

for (const status of [204, 206, 302, 400, 404, 409, 429, 500, 503, 504]) {
	test(`a later run with status ${status} does not end an answer, and another engine goes on with it`, async t => {
		const {text, offsets, attemptEnds} = await runAt({engines: [lostBehindTwo, answerStatus(status), sound]});
		t.deepEqual({text, offsets}, {text: 'abcd', offsets: [1, 2, 3, 4]});
		t.like(attemptEnds[1], {end: AttemptOutcome.Refused, offset: 2});
		t.regex(attemptEnds[1]!.detail, new RegExp(`status ${status}`, 'v'));
	});

	test(`an answer that no engine goes on with is broken off after a run with status ${status}`, async t => {
		const {refusal, text} = await runAt({engines: [lostBehindTwo, answerStatus(status)]});
		t.is(text, 'ab');
		t.is(refusal?.ran, ExecutionStatus.Ran);
	});
}

const notRunHeader = {[headerNames.ran]: ExecutionStatus.NotRun};

for (const {status, headers, ran} of [
	...[200, 204, 302, 500, 503, 504].map(status => ({status, headers: {}, ran: ExecutionStatus.Unknown})),
	...[500, 503].map(status => ({status, headers: notRunHeader, ran: ExecutionStatus.NotRun})),
	...[400, 404, 409, 429].map(status => ({status, headers: {}, ran: ExecutionStatus.NotRun})),
]) {
	test(`a prompt that an engine answered with ${status} ${JSON.stringify(headers)} is refused as ${ran}`, async t => {
		const {refusal} = await runAt({engines: [answerStatus(status, headers)]});
		t.is(refusal?.ran, ran);
		const {refusal: withoutRetries} = await runAt({engines: [answerStatus(status, headers), sound], changes: {withdrawRetry: () => false}});
		t.like(withoutRetries, {code: RefusalCode.Overloaded, ran});
	});
}

test('a prompt that may have run is not refused as "not run" for what a later engine or its own engine said of it', async t => {
	const {refusal} = await runAt({engines: [lostAtOnce]});
	t.is(refusal?.ran, ExecutionStatus.Unknown);
	const {refusal: afterSecond} = await runAt({engines: [lostAtOnce, answerStatus(409)]});
	t.is(afterSecond?.ran, ExecutionStatus.Unknown);
	const {refusal: afterRetries} = await runAt({engines: [answerStatus(500), answerStatus(409), answerStatus(409), answerStatus(409)]});
	t.like(afterRetries, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Unknown});
});

test('an answer that has begun is broken off, and refused as "ran", when its deadline has passed', async t => {
	const {refusal, text} = await runAt({
		engines: [lostBehindTwo, sound],
		onEvent({clock}) {
			clock.advance(2500);
		},
	});
	t.is(text, 'ab');
	t.like(refusal, {code: RefusalCode.DeadlinePassed, ran: ExecutionStatus.Ran});
});

test('an answer whose caller has left is neither whole nor repeated', async t => {
	const {error, calls, attemptEnds} = await runAt({
		engines: [
			{
				generate(response) {
					response.writeHead(200, {'content-type': 'text/event-stream'});
					response.write(formatEvents(0, 2));
				},
			},
			sound,
		],
		onEvent({leave}) {
			leave();
		},
	});
	t.like(error, {end: AttemptOutcome.Cancelled, ran: ExecutionStatus.Ran});
	t.deepEqual(calls, ['POST engine-1']);
	t.is(attemptEnds[0]!.end, AttemptOutcome.Cancelled);
});

/** What a run of the seeded test sends, and how its response ends. Tokens that do not belong to the answer are `X`. */
type SeededRun = {readonly status: number; readonly events: RunEvents; readonly tokens: number; readonly isEndSent: boolean; readonly framing: Framing; readonly hasHeartbeat: boolean};

enum RunEvents {
	GoOn = 'go_on',
	StartOver = 'start_over',
	StandStill = 'stand_still',
	GoBack = 'go_back',
	EndBelow = 'end_below',
	WithoutIds = 'without_ids',
	Garbled = 'garbled',
}

enum Framing {
	Chunks = 'chunks',
	Length = 'length',
	ShortOfLength = 'short_of_length',
	Close = 'close',
	Reset = 'reset',
}

const formatRun = ({events, tokens, isEndSent}: SeededRun, fromOffset: number): string => {
	const end = Math.min(words.length, fromOffset + tokens);
	const goOn = formatEvents(fromOffset, isEndSent || end < words.length ? end : words.length - 1);
	const startOver = words.map((_word, index) => `id: ${index + 1}\ndata: {"text":"X"${index === words.length - 1 ? ',"finishReason":"stop"' : ''}}\n\n`).join('');

	switch (events) {
		case RunEvents.GoOn: {
			return goOn;
		}

		case RunEvents.StartOver: {
			return fromOffset === 0 ? goOn : startOver;
		}

		case RunEvents.StandStill: {
			return `id: ${fromOffset}\ndata: {"text":"X"}\n\n${goOn}`;
		}

		case RunEvents.GoBack: {
			return tokens === 0 || fromOffset === words.length ? '' : formatEvents(fromOffset, fromOffset + 1) + startOver;
		}

		case RunEvents.EndBelow: {
			return fromOffset === 0 ? '' : `id: ${fromOffset - 1}\ndata: {"text":"","finishReason":"stop"}\n\n`;
		}

		case RunEvents.WithoutIds: {
			return `data: {"text":"X"}\n\n${goOn}`;
		}

		case RunEvents.Garbled: {
			return `id: ${fromOffset + 1}\ndata: {"text":"X"\n\n${goOn}`;
		}
	}
};

const answerSeeded = (run: SeededRun): Answer => (response, fromOffset) => {
	const text = (run.hasHeartbeat ? ': heartbeat\n\n' : '') + formatRun(run, fromOffset);
	const {status, framing} = run;

	if (framing === Framing.Close) {
		response.socket!.end(`HTTP/1.1 ${status} X\r\nConnection: close\r\n\r\n${text}`);
	} else if (framing === Framing.Length || framing === Framing.ShortOfLength) {
		response.writeHead(status, {'content-length': text.length + (framing === Framing.Length ? 0 : 10)});
		response.write(text, () => {
			if (framing === Framing.Length) {
				response.end();
			} else {
				response.socket?.end();
			}
		});
	} else {
		response.writeHead(status);
		response.write(text, () => {
			if (framing === Framing.Chunks) {
				response.end();
			} else {
				response.socket?.resetAndDestroy();
			}
		});
	}
};

test('whatever engines do, an answer is whole or broken off, of one text, and told so', async t => {
	const run = fc.record({
		status: fc.constantFrom(200, 200, 200, 200, 200, 200, 206, 404, 409, 500, 503),
		events: fc.constantFrom(RunEvents.GoOn, RunEvents.GoOn, RunEvents.GoOn, ...Object.values(RunEvents)),
		tokens: fc.nat(words.length),
		isEndSent: fc.boolean(),
		framing: fc.constantFrom(...Object.values(Framing)),
		hasHeartbeat: fc.boolean(),
	});
	const engine = fc.record({generate: run, resume: fc.option(run, {nil: undefined})});
	const ends = new Map<string, number>();
	await fc.assert(fc.asyncProperty(fc.array(engine, {minLength: 1, maxLength: 5}), async engines => {
		const {error, text, events} = await runAt({
			engines: engines.map(({generate, resume}) => ({generate: answerSeeded(generate), ...(resume !== undefined && {resume: answerSeeded(resume)})})),
		});
		const isWhole = error === undefined;
		const endings = events.filter(event => event.finishReason !== undefined);
		ends.set(`${isWhole} ${text}`, (ends.get(`${isWhole} ${text}`) ?? 0) + 1);
		t.true(words.join('').startsWith(text), `${text} is no beginning of the answer`);
		t.deepEqual(events.filter(event => event.text !== '').map(event => event.offset), Array.from(text, (_character, index) => index + 1));

		if (isWhole) {
			t.is(text, words.join(''));
			t.is(events.at(-1)!.finishReason, 'length');
			t.is(endings.length, 1);
		} else {
			t.true(error instanceof RefusalError);
			t.is(endings.length, 0);
		}
	}), {seed: 37, numRuns: 300});
	t.true(ends.get('true abcd')! >= 30, 'some answers are whole');
	t.true(ends.get('false ab')! > 0, 'some are broken off in the middle');
});
