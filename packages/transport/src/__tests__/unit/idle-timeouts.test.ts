import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
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
	const received = {text: ''};
	socket.on('data', bytes => {
		received.text += String(bytes);
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
