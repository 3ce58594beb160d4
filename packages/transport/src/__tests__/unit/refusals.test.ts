import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {type RefusalError} from '@fescuestair/protocol';
import {readBody, sendRefusal} from '../../http.js';

test('the refusal of a body that is too large is not overtaken by a reset while its caller still sends, and the connection goes on', async t => {
	const server = http.createServer(async (request, response) => {
		try {
			await readBody(request, {maxBytes: 100_000, timeoutMs: 10_000});
		} catch (error) {
			sendRefusal(response, (error as RefusalError).refusal, 'r-1');
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
		server.closeAllConnections();
	});
	let text = '';
	const errors: Error[] = [];
	socket.on('data', bytes => {
		text += String(bytes);
	});
	socket.on('error', error => {
		errors.push(error);
	});
	const countAnswers = () => text.split('HTTP/1.1 413 ').length - 1;

	for (const [count, size] of [[1, 16_000_000], [2, 200_000]] as const) {
		socket.write(`POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${size}\r\n\r\n`);

		while (countAnswers() < count && !socket.closed) {
			await Promise.race([once(socket, 'data'), once(socket, 'close')]);
		}

		t.is(countAnswers(), count);
		await new Promise<void>(resolve => {
			socket.write('x'.repeat(size), () => {
				resolve();
			});
		});
	}

	t.deepEqual(errors, []);
	t.notRegex(text, /connection: close/iv);
});
