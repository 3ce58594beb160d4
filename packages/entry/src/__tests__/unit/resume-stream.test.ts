import http, {type ServerResponse} from 'node:http';
import test from 'ava';
import {Agent} from 'undici';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord,
} from '@fescuestair/membership';
import {
	AttemptOutcome, ExecutionStatus, RefusalCode, RefusalError, RequestEventKind, UpstreamKind, type RequestEvent,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {createLogger, PermitOutcome} from '@fescuestair/runtime';
import {openHttpListener} from '@fescuestair/transport';
import {AttemptError} from '../../attempt-error.js';
import {type PromptEvent} from '../../prompt-run.js';
import {resumeStream, type ResumeServices} from '../../resume-stream.js';
import {createReceivedEvents, type ReceivedEvents} from './received-events.js';

type Answer = (response: ServerResponse, fromOffset: number, received: ReceivedEvents) => unknown;

const words = ['a', 'b', 'c', 'd', 'e'];
const resumedAfter = 2;

/** The events of an answer of five tokens from one offset to another. */
const formatEvents = (fromOffset: number, toOffset = words.length) => words.slice(fromOffset, toOffset)
	.map((text, index) => ({text, offset: fromOffset + index + 1}))
	.map(({text, offset}) => `id: ${offset}\ndata: ${JSON.stringify({text, finishReason: offset === words.length ? 'length' : undefined})}\n\n`)
	.join('');

const goOn: Answer = (response, fromOffset) => response.end(formatEvents(fromOffset));

/** Goes on with one token and breaks off. */
const breakOff: Answer = async (response, fromOffset, received) => {
	response.write(formatEvents(fromOffset, fromOffset + 1));
	await received.waitFor(fromOffset + 1 - resumedAfter);
	response.socket!.resetAndDestroy();
};

const answerStatus = (status: number): Answer => response => response.writeHead(status).end('{}');

const entryRecord: MemberRecord = {
	id: 'entry-1', kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: '127.0.0.1:2', availabilityZone: 'z', details: {},
};

type ResumeInput = {
	/** Answers of the engine, in order; the last one is repeated. */
	readonly answers: readonly Answer[];
	readonly status?: MemberStatus;
	/** Whether the engine accepts connections. */
	readonly isReachable?: boolean;
	readonly changes?: Partial<ResumeServices>;
	readonly onEvent?: (input: {readonly clock: ReturnType<typeof createManualClock>; readonly leave: () => void}) => void;
};

/** Resumes an answer of which the caller has two tokens; resolves to what the caller got and how it ended. */
async function resumeAt({answers, status = MemberStatus.Alive, isReachable = true, changes, onEvent}: ResumeInput) {
	const clock = createManualClock(1000);
	const agent = new Agent();
	const abortController = new AbortController();
	const events: PromptEvent[] = [];
	const requestEvents: RequestEvent[] = [];
	const paths: string[] = [];
	const received = createReceivedEvents();
	const listener = await openHttpListener(http.createServer((request, response) => {
		const answer = answers[Math.min(paths.length, answers.length - 1)]!;
		paths.push(request.url!);
		answer(response, Number(new URL(request.url!, 'http://engine').searchParams.get('from')), received);
	}), {host: '127.0.0.1', port: 0});
	const record: MemberRecord = {
		id: 'engine-1',
		kind: RecordKind.Upstream,
		incarnation: 1,
		version: 1,
		status: MemberStatus.Alive,
		address: `127.0.0.1:${isReachable ? listener.port : 1}`,
		availabilityZone: 'z',
		details: {kind: UpstreamKind.Engine},
	};
	let membership = stepMembership(createMembership({self: entryRecord, nowMs: 0}), {kind: InputKind.Publish, record}, 0).state;

	if (status !== MemberStatus.Alive) {
		membership = stepMembership(membership, {kind: InputKind.Publish, record: {...record, status, version: 2}}, 0).state;
	}

	const services = {
		agent,
		clock,
		gossip: {getMembership: () => membership},
		permits: {reserve: async () => ({outcome: PermitOutcome.Unlimited}), getClosedUntilMs: () => 0, isUnanswered: () => false},
		log: createLogger({instance: 'entry-1', level: 0}),
		metrics: {count: () => undefined},
		withdrawRetry: () => true,
		claimRun: () => 1,
		announceClaim: () => undefined,
		leftRuns: {keep: () => undefined},
		stopSignal: new AbortController().signal,
		recordRequestEvent(event: RequestEvent) {
			requestEvents.push(event);
		},
		...changes,
	} as unknown as ResumeServices;
	let error: unknown;

	try {
		await resumeStream(services, {
			requestId: 'r-1', organisation: 'okahandja', model: 'assistant', weightVersion: '1', prompt: 'x', promptTokens: 1, maxTokens: words.length,
			priority: Priority.Short, deadlineMs: 5000, signal: abortController.signal,
		}, {
			callId: 'r-2',
			eventId: {
				requestId: 'r-1', upstreamId: 'engine-1', attempt: 3, offset: resumedAfter,
			},
			sink: {
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
			},
		});
	} catch (caughtError) {
		error = caughtError;
	} finally {
		await agent.destroy();
		await listener.close();
	}

	return {
		error,
		refusal: error instanceof RefusalError ? error.refusal : undefined,
		text: events.map(event => event.text).join(''),
		events,
		paths,
		requestEvents,
	};
}

test('a resumed answer keeps the id of its run, so that it can be resumed again', async t => {
	const {error, text, events, paths} = await resumeAt({answers: [goOn]});
	t.is(error, undefined);
	t.is(text, 'cde');
	t.deepEqual(paths, ['/v1/generate/r-1?from=2']);
	t.deepEqual(events.map(({requestId, upstreamId, attempt, offset}) => `${requestId}:${upstreamId}:${attempt}:${offset}`), ['r-1:engine-1:3:3', 'r-1:engine-1:3:4', 'r-1:engine-1:3:5']);
});

test('a resumed answer whose connection is lost goes on at its engine, and its attempts are recorded', async t => {
	const {error, text, paths, requestEvents} = await resumeAt({answers: [breakOff, goOn]});
	t.is(error, undefined);
	t.is(text, 'cde');
	t.deepEqual(paths, ['/v1/generate/r-1?from=2', '/v1/generate/r-1?from=3']);
	t.deepEqual(requestEvents.map(({requestId, kind}) => `${requestId} ${kind}`), [
		`r-2 ${RequestEventKind.Dispatched}`, `r-2 ${RequestEventKind.AttemptEnded}`, `r-2 ${RequestEventKind.Dispatched}`, `r-2 ${RequestEventKind.AttemptEnded}`,
	]);
	t.like(requestEvents[1], {attempt: 1, end: AttemptOutcome.ConnectionLost, offset: 3});
	t.like(requestEvents[3], {attempt: 2, end: AttemptOutcome.Complete, offset: 5});
});

test('a resumed answer that breaks off is not called gone: its engine may still hold it', async t => {
	const {refusal, text} = await resumeAt({answers: [breakOff, response => response.socket!.resetAndDestroy()]});
	t.is(text, 'c');
	t.like(refusal, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Ran, retryAfterSeconds: 1});
	const {refusal: withoutRetries} = await resumeAt({answers: [breakOff], changes: {withdrawRetry: () => false}});
	t.like(withoutRetries, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Ran, retryAfterSeconds: 1});
	const {refusal: failed} = await resumeAt({answers: [breakOff, answerStatus(500)]});
	t.like(failed, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Ran});
	t.regex(failed!.message, /status 500/v);
});

for (const status of [204, 302, 409, 429, 500, 503, 504]) {
	test(`an answer whose engine answers ${status} is not called gone`, async t => {
		const {refusal, text} = await resumeAt({answers: [answerStatus(status)]});
		t.is(text, '');
		t.like(refusal, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Ran, retryAfterSeconds: 1});
	});
}

test('an answer is gone if its engine says so, is dead or unknown, or does not go on behind what the caller has', async t => {
	const gone = {code: RefusalCode.ResumeGone, ran: ExecutionStatus.Ran};
	const {refusal: unknownRun} = await resumeAt({answers: [answerStatus(404)]});
	t.like(unknownRun, gone);
	const {refusal: deadEngine} = await resumeAt({answers: [goOn], status: MemberStatus.Dead, isReachable: false});
	t.like(deadEngine, gone);
	const {refusal: deadRun} = await resumeAt({answers: [answerStatus(404)], status: MemberStatus.Dead});
	t.like(deadRun, gone);
	const {refusal: unknownEngine} = await resumeAt({answers: [goOn], changes: {gossip: {getMembership: () => createMembership({self: entryRecord, nowMs: 0})}}});
	t.like(unknownEngine, gone);
	const {refusal: startedOver, text} = await resumeAt({answers: [response => response.end(formatEvents(0))]});
	t.like(startedOver, gone);
	t.is(text, '');
});

test('an answer goes on at an engine that has only stopped announcing itself, and is not called gone at one that can\'t be reached for now', async t => {
	const {error, text} = await resumeAt({answers: [goOn], status: MemberStatus.Dead});
	t.is(error, undefined);
	t.is(text, 'cde');
	const {refusal} = await resumeAt({answers: [goOn], isReachable: false});
	t.like(refusal, {code: RefusalCode.UpstreamFailed, ran: ExecutionStatus.Ran, retryAfterSeconds: 1});
});

test('a resumed answer whose connection is lost goes on at an engine that has only stopped announcing itself', async t => {
	const {error, text} = await resumeAt({answers: [breakOff, goOn], status: MemberStatus.Dead});
	t.is(error, undefined);
	t.is(text, 'cde');
});

test('a resumed answer without its last event is not whole', async t => {
	for (const events of ['', ': heartbeat\n\n', formatEvents(2, 4)]) {
		const {refusal} = await resumeAt({answers: [response => response.end(events), response => response.end('')]});
		t.is(refusal?.code, RefusalCode.UpstreamFailed);
	}
});

test('a resumed answer is not resumed again behind its deadline, nor for a caller that has left', async t => {
	const {refusal, paths} = await resumeAt({
		answers: [breakOff, goOn],
		onEvent({clock}) {
			clock.advance(9000);
		},
	});
	t.like(refusal, {code: RefusalCode.DeadlinePassed, ran: ExecutionStatus.Ran});
	t.is(paths.length, 1);
	const {error} = await resumeAt({
		answers: [(response, fromOffset) => response.write(formatEvents(fromOffset, fromOffset + 1))],
		onEvent({leave}) {
			leave();
		},
	});
	t.true(error instanceof AttemptError && error.end === AttemptOutcome.Cancelled && error.ran === ExecutionStatus.Ran);
});

/** Sends one token and then heartbeats only, as an engine does for a run that was cancelled. */
const sendHeartbeatsOnly: Answer = (response, fromOffset) => {
	response.write(formatEvents(fromOffset, fromOffset + 1));
	const timer = setInterval(() => {
		response.write(': heartbeat\n\n');
	}, 20);
	response.on('close', () => {
		clearInterval(timer);
	});
};

test('a resumed answer that gets heartbeats only ends once its deadline has passed', async t => {
	const {refusal, text} = await resumeAt({
		answers: [sendHeartbeatsOnly],
		onEvent({clock}) {
			clock.advance(9000);
		},
	});
	t.is(text, 'c');
	t.like(refusal, {code: RefusalCode.DeadlinePassed, ran: ExecutionStatus.Ran});
});

test('the other entries are told again and again that a resumed answer is read here, until it ends', async t => {
	let repeatClaim: (() => void) | undefined;
	let told = 0;
	const toldAfter: number[] = [];
	const {error} = await resumeAt({
		answers: [goOn],
		changes: {
			announceClaim() {
				told++;
			},
			repeat(callback) {
				repeatClaim = callback;

				return () => {
					repeatClaim = undefined;
				};
			},
		},
		onEvent() {
			repeatClaim?.();
			toldAfter.push(told);
		},
	});
	t.is(error, undefined);
	t.deepEqual(toldAfter, [1, 2, 3]);
	t.is(repeatClaim, undefined);
});

test('a resumed answer that the limit of its engine keeps back is not refused as "not run"', async t => {
	const {refusal} = await resumeAt({
		answers: [goOn],
		changes: {permits: {reserve: async () => ({outcome: PermitOutcome.Refused}), getClosedUntilMs: () => 3000, isUnanswered: () => false}} as unknown as Partial<ResumeServices>,
	});
	t.like(refusal, {code: RefusalCode.UpstreamLimited, ran: ExecutionStatus.Ran});
});

/** Sends one token and falls silent until the returned function is called. */
function createSilent() {
	const waiting: Array<() => void> = [];

	return {
		answer: ((response, fromOffset) => {
			response.write(formatEvents(fromOffset, fromOffset + 1));
			waiting.push(() => response.end(formatEvents(fromOffset + 1)));
		}) satisfies Answer,
		goOn() {
			for (const end of waiting) {
				end();
			}
		},
	};
}

test('a resumed answer is waited for while its engine is silent, and no retry is taken', async t => {
	const silent = createSilent();
	const decided: RequestEvent[] = [];
	const {error, text, paths} = await resumeAt({
		// The connection that reads it again stays silent too.
		answers: [silent.answer, () => undefined],
		changes: {
			withdrawRetry: () => false,
			recordRequestEvent(event) {
				if (event.kind === RequestEventKind.RunDecided) {
					decided.push(event);
					silent.goOn();
				}
			},
		},
		onEvent({clock}) {
			clock.advance(2600);
		},
	});
	t.is(error, undefined);
	t.is(text, 'cde');
	t.deepEqual(paths.slice(0, 1), ['/v1/generate/r-1?from=2']);
	t.is(decided.length, 1);
	t.like(decided[0], {
		requestId: 'r-2', upstreamId: 'engine-1', evidence: 'silent', action: 'keep', obstacle: 'no_upstream',
	});
});

test('a resumed answer whose engine is silent is ended by its deadline', async t => {
	const {refusal, text} = await resumeAt({
		answers: [createSilent().answer],
		onEvent({clock}) {
			clock.advance(9000);
		},
	});
	t.is(text, 'c');
	t.like(refusal, {code: RefusalCode.DeadlinePassed, ran: ExecutionStatus.Ran});
});
