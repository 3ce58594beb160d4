import http, {type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {registerClientErrors} from '../../client-errors.js';

const pieces = ['first;', 'second;', 'last'];
const wholeAnswer = `${pieces.map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')}0\r\n\r\n`;
const request = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';

async function answerInPieces(response: ServerResponse, canEnd: () => boolean): Promise<void> {
	for (const piece of pieces.slice(0, -1)) {
		response.write(piece);
		await sleep(5);
	}

	while (!canEnd()) {
		await sleep(5);
	}

	response.end(pieces.at(-1));
}

/** Opens a server that answers in pieces, and a connection to it. `waitsForError` puts off the last piece until bytes that are no request were read. */
async function openConnection(t: ExecutionContext, {waitsForError = false} = {}) {
	const running: number[] = [];
	const server = http.createServer({connectionsCheckingInterval: 20}, (_request, response) => {
		void answerInPieces(response, () => !waitsForError || running.length > 0);
	});
	registerClientErrors(server, {
		onError(_reason, runningCount) {
			running.push(runningCount);
		},
		rejectBody(response, status) {
			response.writeHead(status, {'content-length': '0', connection: 'close'}).end();
		},
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
	const received = {
		text: '', socket, closed: once(socket, 'close'), running, server,
	};
	socket.on('data', bytes => {
		received.text += String(bytes);
	});

	return received;
}

for (const bytes of ['\u0000\u0001', 'no request\r\n\r\n', 'GET /b HTTP/1.1\r\nHost: h\r\nX(: y\r\n\r\n']) {
	test(`bytes that are no request end a connection only after the answer before them is whole: ${JSON.stringify(bytes)}`, async t => {
		const caller = await openConnection(t, {waitsForError: true});
		caller.socket.write(request);
		await once(caller.socket, 'data');
		caller.socket.write(bytes);
		await caller.closed;
		t.true(caller.text.endsWith(`${wholeAnswer}HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`));
		t.deepEqual(caller.running, [1]);
	});
}

test('bytes that are no request are answered at once on a connection without a request', async t => {
	const caller = await openConnection(t);
	caller.socket.write('no request\r\n\r\n');
	await caller.closed;
	t.true(caller.text.startsWith('HTTP/1.1 400 Bad Request\r\n'));
	t.deepEqual(caller.running, [0]);
});

test('a head that is whole but not read yet when it counts as late is answered', async t => {
	const caller = await openConnection(t);
	const [connection] = await once(caller.server, 'connection') as [net.Socket];
	const {bytesRead} = connection;
	caller.socket.write('GET /a HTTP/1.1\r\n');

	while (connection.bytesRead === bytesRead) {
		await setImmediate();
	}

	caller.socket.write('Host: h\r\n\r\n');
	// As after a time in which the process stood still: the loop handles what is due before it reads.
	caller.server.emit('clientError', Object.assign(new Error('late'), {code: 'ERR_HTTP_REQUEST_TIMEOUT'}), connection);

	while (!caller.text.endsWith(wholeAnswer) && !caller.socket.destroyed) {
		await sleep(5);
	}

	t.true(caller.text.startsWith('HTTP/1.1 200 OK'));
	t.true(caller.text.endsWith(wholeAnswer));
	t.deepEqual(caller.running, []);
});

test('a head that does not become whole is answered with 408 once it is late', async t => {
	const caller = await openConnection(t);
	caller.server.headersTimeout = 30;
	caller.socket.write('GET /a HTTP/1.1\r\n');
	await caller.closed;
	t.is(caller.text, 'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
	t.deepEqual(caller.running, [0]);
});
