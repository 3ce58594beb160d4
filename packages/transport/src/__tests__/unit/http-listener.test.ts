import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {openHttpListener} from '../../http-listener.js';

test('a request that has arrived before a close and is not read yet gets the answer that is sent at once', async t => {
	const server = http.createServer((request, response) => {
		response.end(`answer to ${request.url}`);
	});
	const listener = await openHttpListener(server, {host: '127.0.0.1', port: 0});
	const socket = net.connect(listener.port, '127.0.0.1');
	t.teardown(() => socket.destroy());
	let text = '';
	socket.on('data', bytes => {
		text += String(bytes);
	});
	socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\n');
	await once(socket, 'data');
	const closed = once(socket, 'close');
	socket.write('GET /b HTTP/1.1\r\nHost: h\r\n\r\n');
	await Promise.all([listener.close(), closed]);
	t.regex(text, /answer to \/b/v);
});
