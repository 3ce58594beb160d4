import {Buffer} from 'node:buffer';
import http, {type ServerResponse} from 'node:http';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {
	BodyFraming, ContinuationObstacle, RunFault, type StreamOrigin,
} from '@fescuestair/streams';
import {type ResponseHead} from '../../attempt.js';
import {createCallerStream, type CallerStream, type StreamRun} from '../../caller-stream.js';
import {type Exchange} from '../../exchange.js';

const head: ResponseHead = {
	status: 200, headers: {}, rawHeaders: ['Content-Type', 'text/event-stream'], framing: BodyFraming.Chunks,
	answer: {
		requestId: 'r1', isNotRun: false, load: undefined, idleTimeoutMs: undefined, isLeaving: false, askedRestMs: undefined, requestsPerSecond: undefined,
	},
};

/** All runs are of one software version. */
const origin = {getOrigin: () => ({service: 'app', softwareVersion: 'v1'})};

/**
Sends two requests on one agent to a server whose streamed responses `answer` writes; returns what the caller received, and whether it was
complete.
*/
async function requestTwice(t: ExecutionContext, answer: (stream: CallerStream, response: ServerResponse) => Promise<void>, options: {
	readonly isResumable: boolean; readonly onBegin?: (origin: StreamOrigin) => void;
}) {
	const server = http.createServer((_request, response) => {
		const exchange = {response, route: {isResumable: options.isResumable}, caller: {lastEventId: undefined}} as unknown as Exchange;
		void answer(createCallerStream({isLeaving: () => false, onBegin: options.onBegin}, exchange), response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as {readonly port: number};
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.teardown(() => {
		agent.destroy();
	});

	const get = async () => {
		const request = http.get({host: '127.0.0.1', port, agent});
		const [response] = await once(request, 'response') as [http.IncomingMessage];
		const chunks: Buffer[] = [];
		response.on('data', (bytes: Buffer) => {
			chunks.push(bytes);
		});
		response.on('error', () => undefined);
		await new Promise(resolve => {
			response.on('close', resolve);
		});

		return {
			body: Buffer.concat(chunks).toString(), headers: response.headers, isWhole: response.complete, isSameConnection: request.reusedSocket,
		};
	};

	return [await get(), await get()] as const;
}

const events = Array.from({length: 50}, (_, index) => `id: ${index}\ndata: ${'x'.repeat(index * 37)}é\n\n`);

for (const isResumable of [true, false]) {
	test(`a stream is complete, and its connection is reused for the next request (${isResumable ? 'resumable' : 'not resumable'})`, async t => {
		const answers = await requestTwice(t, async stream => {
			const run = stream.startRun(undefined, origin);

			for (const event of events) {
				run.write(Buffer.from(event), head, () => undefined);
			}

			run.finish();
		}, {isResumable});

		for (const {body, isWhole} of answers) {
			t.is(body, events.join(''));
			t.true(isWhole);
		}

		t.true(answers[1].isSameConnection);
	});
}

for (const isResumable of [true, false]) {
	test(`a stream that ends inside an event is told from one that ends after it (${isResumable ? 'resumable' : 'not resumable'})`, async t => {
		const states: boolean[] = [];
		const [{body, isWhole}] = await requestTwice(t, async stream => {
			const run = stream.startRun(undefined, origin);
			states.push(run.getResult().isInsideEvent);

			for (const bytes of ['id: 1\ndata: a\n\nda', 'ta: r', '\n', '\r\n', '\n\n']) {
				run.write(Buffer.from(bytes), head, () => undefined);
				states.push(run.getResult().isInsideEvent);
			}

			run.finish();
		}, {isResumable});
		t.deepEqual(states.slice(0, 4), [false, true, true, true]);
		t.false(states[5]);
		t.is(body, 'id: 1\ndata: a\n\ndata: r\n\r\n\n\n');
		t.true(isWhole);
	});
}

// Aborts a response after its caller has got what was sent.
const abortLater = async (response: ServerResponse) => {
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	response.destroy();
};

test('an aborted stream is not a complete response', async t => {
	const [{body, isWhole}] = await requestTwice(t, async (stream, response) => {
		stream.startRun(undefined, origin).write(Buffer.from(events[3]!), head, () => undefined);
		await abortLater(response);
	}, {isResumable: true});
	t.is(body, events[3]!);
	t.false(isWhole);
});

const eventOf = (id: number) => `id: ${id}\ndata: x\n\n`;

for (const [description, laterHead, fault] of [
	['another status', {status: 206}, RunFault.Status],
	['another content type', {headers: {'content-type': 'application/json'}}, RunFault.Format],
	['a content encoding', {headers: {'content-type': 'text/event-stream', 'content-encoding': 'gzip'}}, RunFault.Format],
	['another parameter of its content type', {headers: {'content-type': 'text/event-stream; charset=utf-8'}}, undefined],
] as const) {
	test(`a stream that a run with ${description} continues`, async t => {
		const [{body, isWhole}] = await requestTwice(t, async (stream, response) => {
			stream.startRun(undefined, origin).write(Buffer.from(eventOf(1)), {...head, headers: {'content-type': 'text/event-stream'}}, () => undefined);
			const run = stream.startRun('1', origin);
			run.write(Buffer.from(eventOf(2)), {...head, headers: {'content-type': 'text/event-stream'}, ...laterHead}, () => undefined);
			t.is(run.getEventFault(), fault);
			await abortLater(response);
		}, {isResumable: true});
		t.is(body, fault === undefined ? eventOf(1) + eventOf(2) : eventOf(1));
		t.false(isWhole);
	});
}

test('a caller is told no length of a stream that another run may have to complete, and gets no more than the first run announced', async t => {
	const text = eventOf(1) + eventOf(2);
	const lengthHead: ResponseHead = {
		...head, framing: BodyFraming.Length, headers: {'content-length': String(text.length)}, rawHeaders: ['Content-Length', String(text.length)],
	};
	const states: unknown[] = [];
	const [{body, headers, isWhole}] = await requestTwice(t, async (stream, response) => {
		stream.startRun(undefined, origin).write(Buffer.from(eventOf(1)), lengthHead, () => undefined);
		states.push(stream.getBegun());
		stream.startRun('1', origin).write(Buffer.from(eventOf(2)), head, () => undefined);
		states.push(stream.getBegun()?.missingBytes);
		const lastRun = stream.startRun('2', origin);
		lastRun.write(Buffer.from(eventOf(3)), head, () => undefined);
		states.push(lastRun.getEventFault(), stream.canContinue());
		await abortLater(response);
	}, {isResumable: true});
	t.deepEqual(states.slice(0, 4), [{status: 200, framing: BodyFraming.Chunks, missingBytes: eventOf(2).length}, 0, RunFault.OtherLength, false]);
	t.is(headers['content-length'], undefined);
	t.is(body, text);
	t.false(isWhole);
});

test('a stream of which only comments were sent can be run from where its caller asked for', async t => {
	const states: unknown[] = [];
	const [{isWhole}] = await requestTwice(t, async (stream, response) => {
		stream.startRun(undefined, origin).write(Buffer.from(': heartbeat\n\n'), head, () => undefined);
		states.push(stream.hasStarted(), stream.canContinue(), stream.getLastEventId());
		stream.startRun(undefined, origin).write(Buffer.from('data: x\n\n'), head, () => undefined);
		states.push(stream.canContinue(), stream.getLastEventId());
		await abortLater(response);
	}, {isResumable: true});
	t.deepEqual(states.slice(0, 5), [true, true, undefined, false, undefined]);
	t.false(isWhole);
});

for (const [description, write, body] of [
	['the one that began it goes on first', (first, second) => {
		first(eventOf(2));
		second(eventOf(2) + eventOf(3));
		first(eventOf(3));
	}, eventOf(1) + eventOf(2) + eventOf(3)],
	['the other one goes on first, while the first is inside an event', (first, second) => {
		first('id: 2\nda');
		second(': heartbeat\n\n');
		second(eventOf(2));
		first('ta: x\n\n');
		second(eventOf(3));
	}, `${eventOf(1)}: heartbeat\n\n${eventOf(2)}${eventOf(3)}`],
	['the other one has sent a comment and part of an event', (first, second) => {
		second(': heartbeat\n\nid: 2\nda');
		first(eventOf(2));
		second('ta: x\n\n');
		first(eventOf(3));
	}, eventOf(1) + eventOf(2) + eventOf(3)],
	['the other one stands still', (first, second) => {
		second(eventOf(1));
		first(eventOf(2) + eventOf(3));
	}, eventOf(1) + eventOf(2) + eventOf(3)],
] as ReadonlyArray<readonly [string, (first: (text: string) => void, second: (text: string) => void) => void, string]>) {
	test(`of two runs beside each other one alone continues a stream: ${description}`, async t => {
		const [{body: received, isWhole}] = await requestTwice(t, async stream => {
			const forwarded: string[] = [];
			const first = stream.startRun(undefined, {
				...origin,
				onForward() {
					forwarded.push('first');
				},
			});
			first.write(Buffer.from(eventOf(1)), head, () => undefined);
			const second = stream.startRun(stream.getLastEventId(), {
				...origin,
				isBeside: true, onForward() {
					forwarded.push('second');
				},
			});
			const writeTo = (run: StreamRun) => (text: string) => {
				run.write(Buffer.from(text), head, () => undefined);
			};

			write(writeTo(first), writeTo(second));
			const [taker, other] = first.isSuperseded() ? [second, first] : [first, second];
			t.false(taker.isSuperseded());
			t.true(other.isSuperseded() || other.getEventFault() === RunFault.StoodStill);
			t.deepEqual(new Set(forwarded.slice(1)), new Set([taker === first ? 'first' : 'second']));
			t.is(stream.getLastEventId(), '3');
			taker.finish();
		}, {isResumable: true});
		t.is(received, body);
		t.true(isWhole);
	});
}

test('of two runs that were started before anything was sent, the first with an event is the answer, with its head', async t => {
	const [{body, headers, isWhole}] = await requestTwice(t, async stream => {
		const first = stream.startRun(undefined, origin);
		const second = stream.startRun(undefined, origin);
		first.write(Buffer.from('id: 1\n'), head, () => undefined);
		second.write(Buffer.from(eventOf(1)), {...head, rawHeaders: [...head.rawHeaders, 'X-Run', 'second']}, () => undefined);
		first.write(Buffer.from('data: x\n\n'), head, () => undefined);
		t.true(first.isSuperseded());
		second.write(Buffer.from(eventOf(2)), head, () => undefined);
		second.finish();
	}, {isResumable: true});
	t.is(body, eventOf(1) + eventOf(2));
	t.is(headers['x-run'], 'second');
	t.true(isWhole);
});

const createOrigin = (softwareVersion: string | undefined) => ({service: 'app', softwareVersion});

for (const [description, begun, successor, isJoined] of [
	['the same version', 'v1', 'v1', true],
	['another version', 'v1', 'v2', false],
	['a version that is not known', 'v1', undefined, false],
	['a version, where it is not known which began the stream', undefined, 'v1', false],
] as const) {
	test(`a run of ${description} ${isJoined ? 'continues' : 'does not continue'} a stream, also where it was sent before the stream began`, async t => {
		const recorded: unknown[] = [];
		const [{body}] = await requestTwice(t, async stream => {
			const second = stream.startRun(undefined, {getOrigin: () => createOrigin(successor)});
			stream.startRun(undefined, {getOrigin: () => createOrigin(begun)}).write(Buffer.from(': heartbeat\n\n'), head, () => undefined);
			t.is(stream.findObstacle(() => createOrigin(successor)) === undefined, isJoined);
			second.write(Buffer.from(eventOf(1)), head, () => undefined);
			t.is(second.getEventFault(), isJoined ? undefined : RunFault.SoftwareVersion);
			second.finish();
		}, {isResumable: true, onBegin: begunBy => recorded.push(begunBy)});
		t.is(body, `: heartbeat\n\n${isJoined ? eventOf(1) : ''}`);
		t.deepEqual(recorded[0], createOrigin(begun));
	});
}

test('what began a stream is not known any more where its instance turns out to run other software', async t => {
	const recorded: unknown[] = [];
	const [{body}] = await requestTwice(t, async (stream, response) => {
		let softwareVersion: string | undefined = 'v1';
		const run = stream.startRun(undefined, {getOrigin: () => createOrigin(softwareVersion)});
		run.write(Buffer.from(eventOf(1)), head, () => undefined);
		softwareVersion = undefined;
		run.checkOrigin();
		t.is(stream.findObstacle(() => createOrigin('v1')), ContinuationObstacle.UnknownOrigin);
		run.finish();
		t.false(response.destroyed);
	}, {isResumable: true, onBegin: begunBy => recorded.push(begunBy)});
	t.is(body, eventOf(1));
	t.deepEqual(recorded.slice(0, 2), [createOrigin('v1'), createOrigin(undefined)]);
});
