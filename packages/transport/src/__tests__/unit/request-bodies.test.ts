import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {BodyReadEnd, createRequestBodies} from '../../request-bodies.js';

const maxBodyBytes = 600;

/** A server that answers each request with how the reading of its body ended, and keeps the body until the test is over. */
const openServer = async (t: ExecutionContext) => {
	const bodies = createRequestBodies({maxBytes: 1000});
	const server = http.createServer(async (request, response) => {
		const {end} = await bodies.read(request, maxBodyBytes);
		response.end(end);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const connect = () => net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');

	return {
		bodies,
		connect,
		async send(bytes: number) {
			const socket = connect();
			socket.write(`POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`);
			let text = '';

			for await (const chunk of socket) {
				text += String(chunk);
			}

			return text.split('\r\n\r\n')[1];
		},
	};
};

// Guards against an answer that tells callers not to come back where there is only no room now.
test('a body that fits beside no others is told from one that is too large', async t => {
	const {bodies, send} = await openServer(t);
	t.is(await send(600), BodyReadEnd.Complete);
	t.is(await send(601), BodyReadEnd.TooLarge);
	t.is(await send(600), BodyReadEnd.NoRoom);
	t.is(bodies.countBytes(), 600);
	t.is(await send(400), BodyReadEnd.Complete);
});

// Guards against memory of bodies that have not arrived whole.
test('bodies count from their first byte on, and no longer once their callers have left', async t => {
	const {bodies, connect, send} = await openServer(t);
	const socket = connect();
	socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n${'x'.repeat(500)}`);

	while (bodies.countBytes() < 500) {
		await new Promise(setImmediate);
	}

	t.is(await send(600), BodyReadEnd.NoRoom);
	socket.destroy();

	while (bodies.countBytes() > 0) {
		await new Promise(setImmediate);
	}

	t.is(await send(600), BodyReadEnd.Complete);
});

// Guards against bodies that all wait for the room that the others have, so that hardly any is read whole.
test('where there is no room for all bodies, the latest requests give way to those before them', async t => {
	const {bodies, connect} = await openServer(t);
	const sockets = [connect(), connect()];
	const texts = ['', ''];

	for (const [index, socket] of sockets.entries()) {
		socket.on('data', bytes => {
			texts[index] += String(bytes);
		});
		socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n${'x'.repeat(450)}`);

		while (bodies.countBytes() < 450 * (index + 1)) {
			await new Promise(setImmediate);
		}
	}

	sockets[0]!.write('x'.repeat(150));

	while (texts.includes('')) {
		await new Promise(setImmediate);
	}

	t.regex(texts[0]!, new RegExp(`${BodyReadEnd.Complete}$`, 'v'));
	t.regex(texts[1]!, new RegExp(`${BodyReadEnd.NoRoom}$`, 'v'));
	t.is(bodies.countBytes(), 600);

	for (const socket of sockets) {
		socket.destroy();
	}
});
