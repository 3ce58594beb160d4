import {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {createLogger} from '@fescuestair/runtime';
import {readMessage} from '@fescuestair/transport';
import {createCallerServer} from '../../caller-server.js';

const createTestLogger = () => createLogger({instance: 'gateway-1', isTerminal: false, writeLine: () => undefined});

const openServer = async (t: ExecutionContext, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) => {
	const callerServer = createCallerServer({handleRequest: handle, log: createTestLogger(), checkIntervalMs: 20});
	callerServer.server.listen(0, '127.0.0.1');
	await once(callerServer.server, 'listening');
	t.teardown(() => {
		callerServer.server.close();
		callerServer.server.closeAllConnections();
	});

	const connect = () => {
		const socket = net.connect((callerServer.server.address() as {readonly port: number}).port, '127.0.0.1');
		socket.setNoDelay(true);
		const received = {text: '', socket, closed: once(socket, 'close')};
		socket.on('data', bytes => {
			received.text += String(bytes);
		});

		return received;
	};

	return {...callerServer, connect};
};

const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** Sends an answer in pieces, with pauses between them. */
const answerInPieces = async (response: ServerResponse, pieces: number) => {
	for (let piece = 0; piece < pieces; piece++) {
		response.write(`piece ${piece};`);
		await sleep(5);
	}

	response.end('end');
};

const wholeChunks = (pieces: number) => `${Array.from({length: pieces}, (_, piece) => `piece ${piece};`).map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')}3\r\nend\r\n0\r\n\r\n`;

const invalidBytes = ['\u0000\u0001', 'no request\r\n\r\n', 'GET /b HTTP/1.1\r\nHost: h\r\nX(: y\r\n\r\n', `GET /b HTTP/1.1\r\nHost: h\r\nX: ${'y'.repeat(70_000)}\r\n\r\n`];

for (const [position, bytes] of invalidBytes.entries()) {
	test(`invalid bytes behind a request end the connection only after its answer is whole: case ${position}`, async t => {
		const server = await openServer(t, async (_request, response) => answerInPieces(response, 10));
		const caller = server.connect();
		caller.socket.write(request('/a'));
		await once(caller.socket, 'data');
		caller.socket.write(bytes);
		await caller.closed;
		const status = position === 3 ? '431 Request Header Fields Too Large' : '400 Bad Request';
		t.true(caller.text.endsWith(`\r\n\r\n${wholeChunks(10)}HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`));
	});
}

test('several answers that run on one connection are whole, in order, before an invalid request behind them ends it', async t => {
	await fc.assert(fc.asyncProperty(fc.array(fc.integer({min: 1, max: 6}), {minLength: 1, maxLength: 4}), fc.boolean(), async (pieceCounts, isAtOnce) => {
		const server = await openServer(t, async ({url}, response) => answerInPieces(response, Number(url!.slice(1))));
		const caller = server.connect();
		const requests = pieceCounts.map(pieces => request(`/${pieces}`)).join('');

		if (isAtOnce) {
			caller.socket.write(`${requests}no request\r\n\r\n`);
		} else {
			caller.socket.write(requests);
			await sleep(3);
			caller.socket.write('no request\r\n\r\n');
		}

		await caller.closed;
		const [, ...answers] = caller.text.split('HTTP/1.1 ');
		t.is(answers.length, pieceCounts.length + 1);
		t.true(pieceCounts.every((pieces, position) => answers[position]!.startsWith('200 OK') && answers[position]!.endsWith(`\r\n\r\n${wholeChunks(pieces)}`)));
		t.true(answers.at(-1)!.startsWith('400 Bad Request'));
	}), {seed: 40, numRuns: 20});
});

test('a request with an invalid body is answered with a whole 400, after the answers before it', async t => {
	const server = await openServer(t, async (message, response) => {
		if (await readMessage(message, {canTake: () => true}).then(() => true, () => false)) {
			await answerInPieces(response, 4);
		}
	});
	const caller = server.connect();
	caller.socket.write(`${request('/a')}POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nno length\r\n`);
	await caller.closed;
	const [, first, second, ...others] = caller.text.split('HTTP/1.1 ');
	t.true(first!.endsWith(wholeChunks(4)));
	t.regex(second!, /^400 Bad Request\r\n[\s\S]*connection: close[\s\S]*\{"error":"the body is invalid"\}$/v);
	t.deepEqual(others, []);
});

test('a head that is late is answered with 408, after the answers before it', async t => {
	const {server, connect} = await openServer(t, async (_request, response) => {
		// Node counts from the connect. With a limit from the beginning, a connection whose first request is read late is given up before its answer.
		server.headersTimeout = 30;

		return answerInPieces(response, 20);
	});
	const [idle, busy] = [connect(), connect()];
	idle.socket.write('GET /a HTTP/1.1\r\n');
	busy.socket.write(`${request('/a')}GET /b HTTP/1.1\r\n`);
	await Promise.all([idle.closed, busy.closed]);
	const timeout = 'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';
	t.is(idle.text, timeout);
	t.true(busy.text.endsWith(`\r\n\r\n${wholeChunks(20)}${timeout}`));
});

test('a request whose head is whole only after it was refused as late is not handled', async t => {
	const handled: string[] = [];
	const {server, connect} = await openServer(t, async ({url}, response) => {
		handled.push(url!);
		response.end('whole');
	});
	server.headersTimeout = 30;
	const caller = connect();
	caller.socket.write('GET /late HTTP/1.1\r\n');
	await once(caller.socket, 'data');
	caller.socket.write('Host: h\r\n\r\n');
	await caller.closed;
	t.is(caller.text, 'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
	t.deepEqual(handled, []);
});

// The head is late while the answer before it is being sent, and whole before that answer has ended.
test('a request whose late head is whole before its refusal is answered, and invalid bytes behind it are refused', async t => {
	const responses: ServerResponse[] = [];
	const {server, connect} = await openServer(t, async ({url}, response) => {
		responses.push(response);

		if (url === '/a') {
			response.write('begun;');
			server.headersTimeout = 30;
		} else {
			response.end('second');
		}
	});
	const caller = connect();
	const late = once(server, 'clientError');
	caller.socket.write(`${request('/a')}GET /b HTTP/1.1\r\n`);
	await late;
	await sleep(20);
	caller.socket.write('Host: h\r\n\r\n');

	while (responses.length < 2) {
		await sleep(5);
	}

	responses[0]!.end('end');
	await once(responses[1]!, 'finish');
	caller.socket.write('no request\r\n\r\n');
	await Promise.race([caller.closed, sleep(3000)]);
	t.regex(caller.text, /begun;[\s\S]*end[\s\S]*HTTP\/1.1 200 OK[\s\S]*second[\s\S]*HTTP\/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n$/v);
});

test('an answer that announced the close of its connection is followed by nothing', async t => {
	const server = await openServer(t, async (_request, response) => {
		response.setHeader('Connection', 'close');

		return answerInPieces(response, 5);
	});
	const caller = server.connect();
	caller.socket.write(request('/a'));
	await once(caller.socket, 'data');
	caller.socket.write('no request\r\n\r\n');
	await caller.closed;
	t.true(caller.text.endsWith(`\r\n\r\n${wholeChunks(5)}`));
});

test('a close answers whole requests that have no answer with 502, aborts begun answers and lets ended ones reach their callers', async t => {
	const large = 'x'.repeat(20_000_000);
	const server = await openServer(t, async ({url}, response) => {
		if (url === '/begun') {
			response.write('begun');
		} else if (url === '/ended') {
			response.setHeader('Content-Length', String(large.length));
			response.end(large);
		}
	});
	const [idle, unanswered, incomplete, begun, ended] = Array.from({length: 5}, () => server.connect());
	await once(idle!.socket, 'connect');
	unanswered!.socket.write(request('/unanswered'));
	incomplete!.socket.write('POST /incomplete HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhi');
	begun!.socket.write(request('/begun'));
	ended!.socket.write(request('/ended'));
	await Promise.all([begun, ended].map(async caller => once(caller!.socket, 'data')));

	while (server.activeResponses.size < 4) {
		await sleep(5);
	}

	const [port] = [(server.server.address() as {readonly port: number}).port];
	await server.close();
	await Promise.all([idle, unanswered, incomplete, begun, ended].map(async caller => caller!.closed));
	t.is(idle!.text, '');
	t.regex(unanswered!.text, /^HTTP\/1.1 502 Bad Gateway\r\n[\s\S]*connection: close[\s\S]*\{"error":"the gateway stopped before there was an answer"\}$/v);
	t.regex(incomplete!.text, /^HTTP\/1.1 503 Service Unavailable\r\n[\s\S]*connection: close[\s\S]*\{"error":"this gateway stops"\}$/v);
	t.true(begun!.text.endsWith('5\r\nbegun\r\n'));
	t.true(ended!.text.endsWith(large));
	t.is(server.activeResponses.size, 0);
	const late = net.connect(port, '127.0.0.1');
	await t.throwsAsync(once(late, 'connect'), {code: 'ECONNREFUSED'});
});

test('a request that is read during a close is refused with 503, and the close waits for no caller that does not read', async t => {
	const server = await openServer(t, async ({url}, response) => {
		if (url === '/unread') {
			response.end('x'.repeat(50_000_000));
		} else {
			response.end('whole');
		}
	});
	const [kept, unread] = [server.connect(), server.connect()];
	kept.socket.write(request('/a'));
	await once(kept.socket, 'data');
	unread.socket.write(request('/unread'));
	await once(unread.socket, 'data');
	unread.socket.pause();
	const closed = server.close();
	kept.socket.write(request('/b'));
	await Promise.all([closed, kept.closed]);
	t.regex(kept.text, /whole[\s\S]*HTTP\/1.1 503 Service Unavailable\r\n[\s\S]*connection: close[\s\S]*\{"error":"this gateway stops"\}$/v);
	unread.socket.resume();
	await unread.closed;
	t.true(unread.text.length < 50_000_000);
});

test('a request that has arrived before a close and is not read yet is refused with 503', async t => {
	const server = await openServer(t, async (_request, response) => {
		response.end('whole');
	});
	const kept = server.connect();
	kept.socket.write(request('/a'));
	await once(kept.socket, 'data');
	kept.socket.write(request('/b'));
	await Promise.all([server.close(), kept.closed]);
	t.regex(kept.text, /whole[\s\S]*HTTP\/1.1 503 Service Unavailable\r\n[\s\S]*connection: close[\s\S]*\{"error":"this gateway stops"\}$/v);
});

test('a request on a connection that was opened shortly before a close is refused with a whole 503', async t => {
	const server = await openServer(t, async (_request, response) => {
		response.end('whole');
	});
	const caller = server.connect();
	await once(server.server, 'connection');
	const closed = server.close();
	await sleep(10);
	caller.socket.write(request('/a'));
	await Promise.all([closed, caller.closed]);
	t.regex(caller.text, /^HTTP\/1.1 503 Service Unavailable\r\n[\s\S]*\{"error":"this gateway stops"\}$/v);
});

test('a request behind another one on its connection is running no more once the connection is closed and its handling has ended', async t => {
	const handled: string[] = [];
	const server = await openServer(t, async (_request, response) => {
		await once(response.req.socket, 'close');
		response.end('late');
		handled.push('late');
	});
	const caller = server.connect();
	caller.socket.write(`${request('/a')}${request('/b')}`);

	while (server.activeResponses.size < 2) {
		await sleep(5);
	}

	caller.socket.destroy();

	while (handled.length < 2) {
		await sleep(5);
	}

	await sleep(50);
	t.is(server.activeResponses.size, 0);
});

test('a connection is kept for as long as its answer has announced, although a new configuration lowers the idle timeout meanwhile', async t => {
	const responses: ServerResponse[] = [];
	const {server, connect} = await openServer(t, async (_request, response) => {
		responses.push(response);
		response.write('begun;');
	});
	server.keepAliveTimeout = 15_000;
	const caller = connect();
	caller.socket.write(request('/a'));
	await once(caller.socket, 'data');
	const [response] = responses;
	const {socket} = response!;
	server.keepAliveTimeout = 50;
	response!.end('end');
	await once(response!, 'finish');
	t.regex(caller.text, /\r\nKeep-Alive: timeout=15\r\n/v);
	t.true(socket!.timeout! >= 15_000);
});

// Node throws where an answer ends, and the process with it.
test('limits of a configuration that are out of the range of timers end no answer', async t => {
	for (const limitMs of [-5000, 1e300, 0.5]) {
		const server = await openServer(t, async (_request, response) => {
			response.end('whole');
		});
		server.applyLimits({headerTimeoutMs: limitMs, idleTimeoutMs: limitMs});
		const caller = server.connect();

		for (const count of [1, 2]) {
			caller.socket.write(request('/a'));

			while (caller.text.split('whole').length <= count && !caller.socket.closed) {
				await Promise.race([once(caller.socket, 'data'), caller.closed]);
			}

			t.is(caller.text.split('whole').length, count + 1);
		}
	}
});
