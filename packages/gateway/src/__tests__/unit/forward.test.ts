import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord} from '@fescuestair/instances';
import {createRetryBudget, type Permit} from '@fescuestair/limits';
import {createChooser, PlacementPolicy} from '@fescuestair/routing';
import {
	createLogger, createPrometheusMetrics, createRequestLimits, PermitOutcome, type PermitClient, type PermitResult,
} from '@fescuestair/runtime';
import {CallKind, type Route} from '@fescuestair/traffic';
import {createMemoryBudget, pickLargest} from '@fescuestair/transport';
import {createCallerServer} from '../../caller-server.js';
import {type UpstreamCodec} from '../../codecs.js';
import {type Exchange} from '../../exchange.js';
import {type ForwardOptions} from '../../forward-options.js';
import {forwardExchange, type ForwardResult} from '../../forward.js';
import {createInstancePool} from '../../instance-pool.js';

const clock = createSystemClock();
const permit: Permit = {perSecond: 5, startAtMs: 0, endAtMs: Number.POSITIVE_INFINITY};
const log = createLogger({instance: 'test', isTerminal: false, writeLine: () => true});

const upstreamCodec: UpstreamCodec = {
	encodeDispatch: ({lastEventId}) => [['X-Id', 'r1'], ...(lastEventId === undefined ? [] : [['Last-Event-Id', lastEventId] as const])],
	decodeResponse: (status, headers) => ({
		requestId: headers['x-id'] as string | undefined, isNotRun: status === 421, load: undefined, idleTimeoutMs: undefined, isLeaving: false, askedRestMs: undefined,
		requestsPerSecond: headers['x-limit'] === undefined ? undefined : Number(headers['x-limit']),
	}),
};

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: CallKind.Safe, timeoutMs: 6000, targetMs: 300, priority: 0, targets: [{service: 'app', weight: 1}], maxAttempts: 2, isPublic: true,
	isResumable: false, patienceMs: undefined, targetGapMs: undefined,
};

/** What the gateway has done about the request so far. */
type FrontState = {readonly asked: readonly string[]; readonly decidedSilences: number};

type UpstreamAnswer = (response: ServerResponse, request: IncomingMessage, state: FrontState) => void;

type SystemOptions = {
	readonly answers: readonly UpstreamAnswer[];
	readonly routeChange?: Partial<Route>;
	readonly retries?: number;
	/** Answers a question for a permit; each instance names a limit where it is given. */
	readonly reserve?: () => Promise<PermitResult>;
	/** Answers a question for a trial; the request is held back where it is given. */
	readonly requestTrial?: () => Promise<boolean>;
	readonly timeLeftMs?: number;
	readonly release?: () => void;
	/** Availability zones of the instances; `north` for those without one here. */
	readonly zones?: readonly string[];
	readonly organisation?: Exchange['organisation'];
};

/** Opens a gateway's front with instances that answer as given; each of them is asked in turn. */
async function openFront(t: ExecutionContext, {answers, routeChange = {}, retries = 10, reserve, requestTrial, timeLeftMs = 5000, release = () => undefined, zones = [], organisation}: SystemOptions) {
	const evacuated = new Set<string>();
	const asked: string[] = [];
	const state = {asked, decidedSilences: 0};
	const closedEarly: string[] = [];
	const results: ForwardResult[] = [];
	const requestLimits = createRequestLimits({clock, log});
	const instancePool = createInstancePool({
		clock, log, metrics: createPrometheusMetrics(), getMaxConnections: () => 8, getLimitedUntilMs: () => Number.NEGATIVE_INFINITY, isZoneEvacuated: zone => evacuated.has(zone),
		onWorkChange: () => undefined, onLeaving: () => undefined,
	});
	const records: InstanceRecord[] = [];

	const listen = async (server: http.Server) => {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => {
			server.close();
			server.closeAllConnections();
		});

		return (server.address() as {readonly port: number}).port;
	};

	for (const [index] of answers.entries()) {
		const id = `i-${index}`;
		const port = await listen(http.createServer((request, response) => {
			const answer = answers[asked.length]!;
			asked.push(id);
			response.setHeader('x-id', 'r1');
			response.on('close', () => {
				if (!response.writableFinished) {
					closedEarly.push(id);
				}
			});
			answer(response, request, state);
		}));
		const record: InstanceRecord = {
			id, service: 'app', address: `127.0.0.1:${port}`, availabilityZone: zones[index] ?? 'north', softwareVersion: 'v1', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
			incarnation: 1, sequence: 1,
		};
		records.push(record);

		if (reserve !== undefined) {
			requestLimits.recordAnswer(record, {perSecond: 5, hasRun: true, sentAtMs: clock.readMonotonicMs()});
		}
	}

	instancePool.applyRegistry({
		held: new Map(records.map(record => [record.id, {
			record, heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
		}])), revision: 1,
	});
	t.teardown(() => {
		instancePool.stop();
	});
	const permits: Partial<PermitClient> = {
		reserve: async () => reserve?.() ?? {outcome: PermitOutcome.Unlimited}, isUsable: () => true, release, getClosedUntilMs: () => Number.NEGATIVE_INFINITY,
		isUnanswered: () => false, isAnswerExpected: () => false,
	};
	const service = {
		name: 'app', healthPath: '/health', maxConnections: 10, engine: undefined, store: undefined,
	};
	const options = {
		clock, log, availabilityZone: 'north', regionsByZone: new Map([['north', 'east'], ['south', 'west'], ['mid', 'west']]), upstreamCodec, instancePool, requestLimits, permits,
		metrics: {
			count(name: string) {
				state.decidedSilences += name === 'silences_total' ? 1 : 0;
			},
		},
		callerCodec: {decodeRequest: () => ({}), isForwarded: () => true}, chooseInstance: createChooser(PlacementPolicy.LeastCost),
		crashes: {
			findHeldBack: () => requestTrial && {trait: 'request 1', crashCount: 3, trialAtMs: 0}, requestTrial,
			recordBrokenConnection: () => undefined, recordUnreachable: () => undefined, recordCompletion: () => undefined, recordAnswer: () => undefined,
		},
		getTable: () => ({services: new Map([['app', service]])}), retryBudgets: new Map(), createRetryBudget: () => createRetryBudget({capacity: retries, sharePerSuccess: 0}),
		origins: {record: () => undefined}, fetchIncarnation: async () => 1, unprovenOrigins: {add: () => undefined},
		isLeaving: () => false, waiting: new Map(), returns: new Map(), countGateways: () => 1, answerMemory: createMemoryBudget({maxBytes: 64_000_000, pickVictim: pickLargest}),
	} as unknown as ForwardOptions;
	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		const startedAtMs = clock.readMonotonicMs();
		const exchange = {
			requestId: 'r1', request, response, caller: {lastEventId: undefined, prompt: undefined}, route: {...route, ...routeChange}, organisation, body: Buffer.alloc(0),
			startedAtMs, deadlineMs: startedAtMs + timeLeftMs,
		} as unknown as Exchange;
		results.push(await forwardExchange(options, exchange));
	};

	const port = await listen(createCallerServer({handleRequest, log}).server);
	const ask = (): http.ClientRequest => http.get({host: '127.0.0.1', port, agent: false});

	return {
		port,
		asked,
		evacuated,
		instancePool,
		closedEarly,
		results,
		ask,
		async fetch() {
			const request = ask();
			const [response] = await once(request, 'response') as [IncomingMessage];
			let body = '';
			response.on('data', (bytes: Uint8Array) => {
				body += String(bytes);
			});
			response.on('error', () => undefined);
			await once(response, 'close');
			await waitUntil(() => results.length > 0);

			return {
				status: response.statusCode, body, isWhole: response.complete, headers: response.headers,
			};
		},
	};
}

async function waitUntil(check: () => boolean): Promise<void> {
	while (!check()) {
		await sleep(10);
	}
}

const answerAfter = (delayMs: number, body: string, status = 200): UpstreamAnswer => response => {
	setTimeout(() => {
		response.writeHead(status).end(body);
	}, delayMs);
};

const breakOff: UpstreamAnswer = response => {
	response.socket!.destroy();
};

const neverAnswer: UpstreamAnswer = () => undefined;
/** A request that is not under way is refused after fewer permits were refused to it. */
const moreThanRefusalsOfOne = 9;
/** Longer than the gateway waits for the other run before the silent one goes on. */
const permitMs = 1400;
const isSilent = ({decidedSilences}: FrontState) => decidedSilences > 0;
const isOtherAsked = ({asked}: FrontState) => asked.length > 1;
/** Time for what was decided about a silence to take effect. */
const settleMs = 200;

/** Calls a function once the gateway has taken notice of the silence, a little later. */
async function waitForSilence(state: FrontState, check: (state: FrontState) => boolean, goOn: () => void): Promise<void> {
	await waitUntil(() => check(state));
	await sleep(settleMs);
	goOn();
}

/** Answers after a silence. */
const answerOnce = (check: (state: FrontState) => boolean, body: string, status = 200): UpstreamAnswer => (response, _request, state) => {
	void waitForSilence(state, check, () => {
		response.writeHead(status).end(body);
	});
};

const breakOffOnce = (check: (state: FrontState) => boolean): UpstreamAnswer => (response, _request, state) => {
	void waitForSilence(state, check, () => {
		response.socket!.destroy();
	});
};

test('a silent run is answered where the budget for retries is spent', async t => {
	const front = await openFront(t, {answers: [answerOnce(isSilent, 'whole'), answerAfter(0, 'other')], retries: 0});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
	t.is(front.asked.length, 1);
	t.like(front.results[0]!.story[0], {silence: {action: 'keep', obstacle: 'no_budget'}});
});

test('a silent run is answered where the route allows no further attempt, and where there is no other instance', async t => {
	const spent = await openFront(t, {answers: [answerOnce(isSilent, 'whole'), answerAfter(0, 'other')], routeChange: {maxAttempts: 1}});
	const only = await openFront(t, {answers: [answerOnce(isSilent, 'whole')]});

	for (const [front, obstacle] of [[spent, 'no_attempt'], [only, 'no_upstream']] as const) {
		t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
		t.like(front.results[0]!.story[0], {silence: {action: 'keep', obstacle}});
	}
});

test('another run answers where the silent one does not, which is then cancelled', async t => {
	const front = await openFront(t, {answers: [neverAnswer, answerAfter(50, 'other')]});
	t.like(await front.fetch(), {status: 200, body: 'other', isWhole: true});
	t.is(new Set(front.asked).size, 2);
	await waitUntil(() => front.closedEarly.length > 0);
	t.deepEqual(front.closedEarly, [front.asked[0]]);
});

test('the silent run answers where it goes on before the other one, which is then cancelled', async t => {
	const front = await openFront(t, {answers: [answerOnce(isOtherAsked, 'whole'), neverAnswer]});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
	await waitUntil(() => front.closedEarly.length > 0);
	t.deepEqual(front.closedEarly, [front.asked[1]]);
});

test('a failure of the other run does not end a request whose silent run may go on', async t => {
	for (const failure of [answerAfter(0, 'failed', 500), answerAfter(0, 'not run', 421), breakOff]) {
		const front = await openFront(t, {answers: [answerOnce(isOtherAsked, 'whole'), failure]});
		t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
		t.is(front.asked.length, 2);
	}
});

test('a failure of the silent run does not end a request whose other run is under way', async t => {
	const front = await openFront(t, {answers: [answerOnce(isOtherAsked, 'failed', 500), answerAfter(3 * settleMs, 'whole')]});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
	t.is(front.asked.length, 2);
});

for (const [description, answers, routeChange] of [
	['there is no other instance', [answerAfter(0, 'failed', 500)], {}],
	['the other run breaks off', [answerAfter(0, 'failed', 500), breakOff], {}],
	['the silent run breaks off after the other has failed', [breakOffOnce(isOtherAsked), answerAfter(0, 'failed', 500)], {}],
	['the instances of a stream fail', [answerAfter(0, 'failed', 500), breakOff], {kind: CallKind.Streaming, isResumable: true}],
] as ReadonlyArray<readonly [string, readonly UpstreamAnswer[], Partial<Route>]>) {
	test(`the failure that an instance answered is passed on where ${description}`, async t => {
		const front = await openFront(t, {answers, routeChange});
		t.like(await front.fetch(), {status: 500, body: 'failed', isWhole: true});
		t.is(front.results[0]!.status, 500);
	});
}

// Node fires a timer at once if its delay is beyond its range.
test('a request whose deadline is beyond the range of timers is answered', async t => {
	const front = await openFront(t, {answers: [answerAfter(100, 'whole')], timeLeftMs: 3_000_000_000});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
});

test('a request whose deadline passes while all its runs are silent gets a failure', async t => {
	const front = await openFront(t, {answers: [neverAnswer, neverAnswer], timeLeftMs: 4000});
	t.like(await front.fetch(), {status: 504, isWhole: true});
	await waitUntil(() => front.closedEarly.length === 2);
	t.is(front.results[0]!.reason, 'the deadline passed');
});

test('a silent run that answers while another one waits for its permit ends the request, and the other one is not sent', async t => {
	let questions = 0;
	const front = await openFront(t, {
		answers: [answerOnce(() => questions > 1, 'whole'), answerAfter(0, 'other')],
		async reserve() {
			if (questions++ === 0) {
				return {outcome: PermitOutcome.Unlimited};
			}

			await sleep(permitMs);

			return {outcome: PermitOutcome.Granted, permit};
		},
	});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
	await sleep(permitMs);
	t.is(front.asked.length, 1);
});

const waits: ReadonlyArray<readonly [description: string, options: Partial<SystemOptions>]> = [
	['a permit', {
		async reserve() {
			await sleep(800);

			return {outcome: PermitOutcome.Granted, permit};
		},
	}],
	['a trial', {
		async requestTrial() {
			await sleep(800);

			return true;
		},
	}],
];

for (const [description, options, end] of waits.flatMap(([name, options]) => [
	[`whose caller leaves while it waits for ${name}`, options, (request: http.ClientRequest) => {
		request.destroy();
	}] as const,
	[`whose deadline passes while it waits for ${name}`, {...options, timeLeftMs: 400}, () => undefined] as const,
])) {
	test(`a request ${description} is not sent`, async t => {
		const front = await openFront(t, {answers: [answerAfter(0, 'whole')], ...options});
		const request = front.ask();
		request.on('error', () => undefined);
		await sleep(200);
		end(request);
		await waitUntil(() => front.results.length > 0);
		t.deepEqual(front.asked, []);
	});
}

test('a request whose caller has left before the gateway reads it is not sent', async t => {
	const front = await openFront(t, {answers: [answerAfter(0, 'whole'), answerAfter(0, 'unheard')]});
	// The connections to the instances stay open, so that a request could be sent at once.
	await front.fetch();
	const socket = net.connect(front.port, '127.0.0.1');
	await once(socket, 'connect');
	await sleep(settleMs);
	socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
	socket.destroy();
	await waitUntil(() => front.results.length > 1);
	t.is(front.asked.length, 1);
});

const eventOf = (id: number) => `id: ${id}\ndata: x\n\n`;

test('a stream goes on at the silent instance or at the other one, without an event missing or twice', async t => {
	const stream: UpstreamAnswer = (response, {headers}) => {
		const resumeAfter = Number(headers['last-event-id'] ?? 0);
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();

		if (resumeAfter > 0) {
			response.end(eventOf(3) + eventOf(4));
		} else {
			response.write(eventOf(1) + eventOf(2) + 'id: 3\nda');
		}
	};

	const createLateStream = (silenceCheck: (state: FrontState) => boolean): UpstreamAnswer => (response, _request, state) => {
		stream(response, {headers: {}} as IncomingMessage, state);
		void waitForSilence(state, silenceCheck, () => {
			response.end('ta: x\n\n' + eventOf(4));
		});
	};

	const routeChange = {kind: CallKind.Streaming, isResumable: true};
	const body = [1, 2, 3, 4].map(id => eventOf(id)).join('');

	for (const answers of [[stream, stream], [createLateStream(isOtherAsked), neverAnswer]]) {
		const front = await openFront(t, {answers, routeChange});
		t.like(await front.fetch(), {status: 200, body, isWhole: true});
		t.is(front.asked.length, 2);
	}

	for (const options of [{retries: 0}, {routeChange: {...routeChange, maxAttempts: 1}}, {routeChange: {...routeChange, isResumable: false}}]) {
		const front = await openFront(t, {answers: [createLateStream(isSilent), neverAnswer], routeChange, ...options});
		t.like(await front.fetch(), {status: 200, body, isWhole: true});
		t.is(front.asked.length, 1);
	}
});

test('a stream whose caller does not read for a while is not taken for silent', async t => {
	const events = Array.from({length: 8000}, (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(1000)}\n\n`).join('');
	const front = await openFront(t, {
		answers: [response => {
			response.end(events);
		}, neverAnswer],
		routeChange: {kind: CallKind.Streaming, isResumable: true}, timeLeftMs: 20_000,
	});
	const request = front.ask();
	const [response] = await once(request, 'response') as [IncomingMessage];
	// Longer than an instance may be silent.
	await sleep(2000);
	let size = 0;
	response.on('data', (bytes: Uint8Array) => {
		size += bytes.length;
	});
	await once(response, 'close');
	t.true(response.complete);
	t.is(size, events.length);
	t.is(front.asked.length, 1);
});

/** Counts the permits that are granted and returned. */
const createPermitCounter = (waitMs: (question: number) => number) => {
	const counter = {questions: 0, granted: 0, released: 0};

	return {
		counter,
		async reserve(): Promise<PermitResult> {
			counter.questions++;
			await sleep(waitMs(counter.questions));
			counter.granted++;

			return {outcome: PermitOutcome.Granted, permit};
		},
		release() {
			counter.released++;
		},
	};
};

test('a permit for another run is returned if the silent run answers meanwhile', async t => {
	const {counter, reserve, release} = createPermitCounter(question => question === 1 ? 0 : permitMs);
	const front = await openFront(t, {answers: [answerOnce(() => counter.questions > 1, 'whole'), answerAfter(0, 'other')], reserve, release});
	t.like(await front.fetch(), {status: 200, body: 'whole', isWhole: true});
	await waitUntil(() => counter.granted === 2);
	await sleep(100);
	t.deepEqual(counter, {questions: 2, granted: 2, released: 1});
});

test('a permit for another run is used or returned if the silent run is lost meanwhile', async t => {
	const {counter, reserve, release} = createPermitCounter(question => question === 1 ? 0 : permitMs);
	const front = await openFront(t, {
		answers: [breakOffOnce(() => counter.questions > 1), answerAfter(0, 'other')], reserve, release,
	});
	t.like(await front.fetch(), {status: 200, body: 'other', isWhole: true});
	t.is(front.asked.length, 2);
	t.is(counter.granted, front.asked.length + counter.released);
});

test('permits that were refused beside a silent run do not end the request when that run is lost', async t => {
	let questions = 0;
	let isLost = false;
	const front = await openFront(t, {
		answers: [(response, _request, state) => {
			void waitForSilence(state, isSilent, () => {
				isLost = true;
				response.socket!.destroy();
			});
		}, answerAfter(0, 'other')],
		async reserve() {
			return questions++ > 0 && !isLost ? {outcome: PermitOutcome.Refused} : {outcome: PermitOutcome.Granted, permit};
		},
	});
	t.like(await front.fetch(), {status: 200, body: 'other', isWhole: true});
});

test('permits that were refused again and again beside a silent run do not end the request when that run is lost', async t => {
	let questions = 0;
	let isLost = false;
	const front = await openFront(t, {
		answers: [response => {
			void (async () => {
				await waitUntil(() => questions > moreThanRefusalsOfOne);
				isLost = true;
				response.socket!.destroy();
			})();
		}, answerAfter(0, 'other')],
		async reserve() {
			return questions++ > 0 && !isLost ? {outcome: PermitOutcome.Refused} : {outcome: PermitOutcome.Granted, permit};
		},
		timeLeftMs: 20_000,
	});
	t.like(await front.fetch(), {status: 200, body: 'other', isWhole: true});
});

test('the run of a request behind another one on its connection ends when the caller leaves', async t => {
	const front = await openFront(t, {answers: [neverAnswer, neverAnswer], timeLeftMs: 60_000, routeChange: {maxAttempts: 1}});
	const socket = net.connect(front.port, '127.0.0.1');
	const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
	socket.write(head + head);
	await waitUntil(() => front.asked.length === 2);
	socket.destroy();
	await waitUntil(() => front.closedEarly.length > 0);
	await sleep(1000);
	t.is(front.closedEarly.length, 2);
});

test('a comment of another run does not end the silent one, which goes on', async t => {
	const front = await openFront(t, {
		answers: [(response, _request, state) => {
			void waitForSilence(state, isOtherAsked, () => {
				response.end(eventOf(1));
			});
		}, response => {
			response.write(': wait\n\n');
		}],
		routeChange: {kind: CallKind.Streaming, isResumable: true}, timeLeftMs: 3000,
	});
	const {body, isWhole} = await front.fetch();
	t.true(isWhole);
	t.true(body.endsWith(eventOf(1)));
});

test('instances that refuse a request beside its silent run leave it its further attempts, and the budget', async t => {
	let isLost = false;
	let askedAfter = 0;
	const answer: UpstreamAnswer = response => {
		if (isLost && askedAfter++ > 0) {
			response.end('other');
		} else {
			response.writeHead(421).end();
		}
	};

	const front = await openFront(t, {
		answers: [response => {
			setTimeout(() => {
				isLost = true;
				response.socket!.destroy();
			}, 2000);
		}, ...Array.from({length: 19}, () => answer)],
		retries: 100,
	});
	const {status, body} = await front.fetch();
	t.log(front.asked.length);
	t.deepEqual({status, body}, {status: 200, body: 'other'});
});

const twoZones = ['north', 'south'];

test('a request that only instances of evacuated zones could serve is refused at once', async t => {
	const front = await openFront(t, {answers: [answerAfter(0, 'whole')], zones: twoZones});
	front.evacuated.add('north');
	const {status, headers} = await front.fetch();
	t.is(status, 503);
	t.true(Number(headers['retry-after']) >= 2);
	t.deepEqual(front.asked, []);
	t.like(front.results[0], {outcome: 'refused', story: [{decision: 'refuse', evacuated: {north: 1}, standings: {evacuated: 1}}]});
	t.regex(front.results[0]!.reason, /evacuated/v);
});

test('a request that waits for an instance is placed in another zone once that of the instance is evacuated', async t => {
	const front = await openFront(t, {answers: [answerAfter(0, 'whole'), neverAnswer], zones: twoZones});
	front.instancePool.recordRefusal(front.instancePool.get('i-0')!, 300);
	front.instancePool.recordRefusal(front.instancePool.get('i-1')!, 700);
	const response = front.fetch();
	await sleep(100);
	front.evacuated.add('north');
	t.like(await response, {status: 200, body: 'whole'});
	t.deepEqual(front.asked, ['i-1']);
});

test('a permit for an instance of a zone that was evacuated meanwhile is not used', async t => {
	let reserved = 0;
	let released = 0;
	const front = await openFront(t, {
		answers: [answerAfter(0, 'whole'), neverAnswer], zones: twoZones, release() {
			released++;
		},
		async reserve() {
			reserved++;
			front.evacuated.add('north');

			return {outcome: PermitOutcome.Granted, permit};
		},
	});
	t.like(await front.fetch(), {status: 200, body: 'whole'});
	t.deepEqual(front.asked, ['i-1']);
	t.is(reserved, 2);
	t.is(released, 1);
});

test('what runs in a zone that is evacuated ends there, and nothing is started beside it in the zone while it is silent', async t => {
	const front = await openFront(t, {answers: [answerOnce(isSilent, 'whole'), answerAfter(0, 'other')]});
	const response = front.fetch();
	await waitUntil(() => front.asked.length > 0);
	front.evacuated.add('north');
	t.like(await response, {status: 200, body: 'whole', isWhole: true});
	t.is(front.asked.length, 1);
	t.like(front.results[0]!.story[0], {silence: {action: 'keep', obstacle: 'no_upstream'}});
});

test('a request that failed in a zone that was evacuated meanwhile is repeated in another one only', async t => {
	for (const [zones, status] of [[twoZones, 200], [['north', 'north'], 500]] as const) {
		const front = await openFront(t, {
			answers: [(response, _request, state) => {
				front.evacuated.add('north');
				answerAfter(0, 'failed', 500)(response, _request, state);
			}, answerAfter(0, 'whole')], zones,
		});
		front.instancePool.get('i-1')!.load = {...front.instancePool.get('i-1')!.load, own: 3};
		t.is((await front.fetch()).status, status); // eslint-disable-line unicorn/no-await-expression-member
		t.deepEqual(front.asked, zones === twoZones ? ['i-0', 'i-1'] : ['i-0']);
	}
});

const createOrganisation = (allowedRegions: readonly string[]) => ({
	name: 'o', keys: [], priority: undefined, isIsolated: false, allowedRegions,
});

test('a request is sent to instances in regions that its route and its organisation allow only, also when it is repeated', async t => {
	for (const restriction of [{routeChange: {allowedRegions: ['west']}}, {organisation: createOrganisation(['west'])}]) {
		const front = await openFront(t, {answers: [answerAfter(0, 'failed', 500), answerAfter(0, 'whole'), neverAnswer], zones: ['north', 'south', 'mid'], ...restriction});
		t.like(await front.fetch(), {status: 200, body: 'whole'});
		t.deepEqual([...front.asked].toSorted(), ['i-1', 'i-2']);
	}
});

test('a request that no instance in its regions can serve is refused, and one without a common region is not asked to return', async t => {
	const outside = await openFront(t, {answers: [answerAfter(0, 'whole'), neverAnswer], zones: ['north', 'elsewhere'], routeChange: {allowedRegions: ['west']}});
	t.is((await outside.fetch()).status, 503); // eslint-disable-line unicorn/no-await-expression-member
	t.like(outside.results[0], {outcome: 'refused', reason: 'no instance of the service serves in a region that the request may use'});
	const apart = await openFront(t, {answers: [answerAfter(0, 'whole')], routeChange: {allowedRegions: ['east']}, organisation: createOrganisation(['west'])});
	const {status, headers} = await apart.fetch();
	t.is(status, 503);
	t.is(headers['retry-after'], undefined);
	t.like(apart.results[0], {outcome: 'refused', reason: 'the route and the organisation allow no common region'});
	t.deepEqual([...outside.asked, ...apart.asked], []);
});
