import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {setImmediate} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {registerIdleTimeouts} from '../../idle-timeouts.js';

const request = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** Opens a server whose answers the test gives, and a connection to it. */
async function openConnection(t: ExecutionContext) {
	const server = http.createServer({keepAliveTimeout: 15_000});
	registerIdleTimeouts(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
	const received = {text: '', errors: [] as Error[]};
	socket.on('data', bytes => {
		received.text += String(bytes);
	});
	socket.on('error', error => {
		received.errors.push(error);
	});

	const receiveRequest = async (path: string) => {
		const requested = once(server, 'request');
		socket.write(request(path));

		return await requested as [IncomingMessage, ServerResponse];
	};

	return {
		server, socket, received, receiveRequest,
	};
}

const finishAnswer = async (response: ServerResponse, text: string) => {
	const finished = once(response, 'finish');
	response.end(text);
	await finished;
};

test('a connection is kept for as long as its answer has announced, although the timeout is lowered meanwhile', async t => {
	const {server, received, receiveRequest, socket} = await openConnection(t);
	const [{socket: serverSocket}, response] = await receiveRequest('/a');
	response.write('begun;');
	server.keepAliveTimeout = 50;
	await finishAnswer(response, 'end');
	t.is(serverSocket.timeout, 16_000);
	const [, further] = await receiveRequest('/b');
	await finishAnswer(further, 'further');

	while (!received.text.includes('further')) {
		await once(socket, 'data');
	}

	t.deepEqual(received.text.match(/Keep-Alive: timeout=\d+/gv), ['Keep-Alive: timeout=15', 'Keep-Alive: timeout=0']);
	t.is(serverSocket.timeout, 1050);
});

test('a request that has arrived on a connection whose timeout passes before it is read is answered', async t => {
	const {server, socket, received, receiveRequest} = await openConnection(t);
	const [{socket: serverSocket}, response] = await receiveRequest('/a');
	await finishAnswer(response, 'first');
	server.on('request', (_request: IncomingMessage, further: ServerResponse) => {
		further.end('second');
	});
	socket.write(request('/b'));
	// As after a time in which the process stood still: the loop handles what is due before it reads.
	serverSocket.emit('timeout');

	while (!received.text.includes('second') && !socket.destroyed) {
		await setImmediate();
	}

	t.true(received.text.includes('second'));
	t.deepEqual(received.errors, []);
});

test('a connection on which nothing arrives is closed after its timeout', async t => {
	const {socket, received, receiveRequest} = await openConnection(t);
	const [{socket: serverSocket}, response] = await receiveRequest('/a');
	await finishAnswer(response, 'first');
	const closed = once(socket, 'close');
	serverSocket.emit('timeout');
	await closed;
	t.deepEqual(received.errors, []);
});
