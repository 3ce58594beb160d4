import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {BodyFraming} from '@fescuestair/streams';
import {sendUpstreamResponse, type ResponseHead} from '../../index.js';

// Returns all bytes that a caller receives until its connection closes.
const receive = async (t: ExecutionContext, head: Partial<ResponseHead>) => {
	const server = http.createServer((_request, response) => {
		sendUpstreamResponse(response, {
			head: {
				status: 200, headers: {}, rawHeaders: [], answer: {
					requestId: 'r1', isNotRun: false, load: undefined, idleTimeoutMs: undefined, isLeaving: false, askedRestMs: undefined, requestsPerSecond: undefined,
				}, framing: BodyFraming.Chunks, ...head,
			},
			body: Buffer.from('half an answ'),
			isLeaving: false,
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
	socket.end('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
	let text = '';

	for await (const chunk of socket) {
		text += String(chunk);
	}

	return text;
};

// Guards against a response that ends with its connection, which the operating system closes alike when the process is killed.
test('a response without Content-Length or chunked encoding is sent to the caller with its length', async t => {
	const text = await receive(t, {framing: BodyFraming.Close, rawHeaders: ['Response-Seal', 's', 'Connection', 'close']});
	t.is(text.match(/Content-Length: 12\r\n/gv)?.length, 1);
	t.notRegex(text, /transfer-encoding/iv);
	t.true(text.endsWith('\r\n\r\nhalf an answ'));
});

test('a response with Content-Length keeps it and its other end-to-end headers', async t => {
	const text = await receive(t, {rawHeaders: ['Response-Seal', 's', 'Content-Length', '12', 'Keep-Alive', 'timeout=10']});
	t.regex(text, /Response-Seal: s\r\n/v);
	t.is(text.match(/Content-Length: 12\r\n/gv)?.length, 1);
	t.notRegex(text, /timeout=10/v);
});

test('a header whose name can\'t be sent is dropped, spaces behind a name are, and the response is whole', async t => {
	const text = await receive(t, {rawHeaders: ['Bad Name', 'x', '', 'y', 'Response-Seal ', 's', 'Content-Length', '12']});
	t.regex(text, /^HTTP\/1.1 200 OK\r\nResponse-Seal: s\r\n/v);
	t.notRegex(text, /Bad|: y/v);
	t.true(text.endsWith('\r\n\r\nhalf an answ'));
});
