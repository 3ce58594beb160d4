import {once} from 'node:events';
import http, {Agent, type ServerResponse} from 'node:http';
import net from 'node:net';
import test from 'ava';
import {AttemptOutcome} from '@fescuestair/protocol';
import {openHttpListener} from '@fescuestair/transport';
import {AttemptError} from '../../attempt-error.js';
import {sendServiceResponse} from '../../send-service-response.js';
import {callService} from '../../service-call.js';
import {createReceivedEvents, type ReceivedEvents} from './received-events.js';

/** `received` counts the head of the response. */
type Answer = (response: ServerResponse, received: ReceivedEvents) => unknown;

const body = '{"booked":"k","number":1}';

/** Relays the answer of a service; resolves to all that a caller of the entry got, or to how the call ended. */
async function relay(answer: Answer, method = 'GET', upload = new Uint8Array()): Promise<string> {
	const agent = new Agent({keepAlive: true});
	const received = createReceivedEvents();
	const service = await openHttpListener(http.createServer((request, response) => {
		// One that answers a long upload early reads no more of it.
		if (upload.length === 0) {
			request.resume();
		}

		answer(response, received);
	}), {host: '127.0.0.1', port: 0});
	const entry = await openHttpListener(http.createServer(async (_request, response) => {
		try {
			const result = await callService({
				agent, address: `127.0.0.1:${service.port}`, timeoutMs: 60_000, onResponseHead: received.add,
			}, {
				method, path: '/', headers: {}, body: upload,
			});
			sendServiceResponse(response, {...result, isReplay: false}, 'r-1');
		} catch (error) {
			response.writeHead(502, {connection: 'close'});
			response.end(error instanceof AttemptError ? error.end : String(error));
		}
	}), {host: '127.0.0.1', port: 0});
	const socket = net.connect(entry.port, '127.0.0.1');
	let text = '';
	socket.on('data', data => {
		text += String(data);

		// A framed answer leaves the connection open.
		if (text.toLowerCase().includes('connection: keep-alive')) {
			socket.end();
		}
	});
	socket.write(`${method} / HTTP/1.1\r\nhost: entry\r\n\r\n`);
	await once(socket, 'close');
	agent.destroy();
	await Promise.all([service.close(), entry.close()]);

	return text;
}

test('an answer that a service frames is relayed with its length', async t => {
	const length = new RegExp(String.raw`content-length: ${body.length}\r\n`, 'v');
	t.regex(await relay(response => response.writeHead(201).end(body)), length);
	t.regex(await relay(response => {
		response.writeHead(201);
		response.write(body.slice(0, 9));
		response.end(body.slice(9));
	}), length);
});

// Guards against a relayed answer that ends with its connection, which the operating system closes alike when the entry is killed.
test('an answer that ends with its connection is relayed with the length that it had', async t => {
	const answerUnframed = (text: string): Answer => response => response.socket!.end(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n${text}`);

	for (const text of [body, body.slice(0, 9), '']) {
		const relayed = await relay(answerUnframed(text));
		t.regex(relayed, new RegExp(String.raw`^HTTP/1\.1 200 .*content-length: ${text.length}\r\n`, 'isv'));
		t.notRegex(relayed, /transfer-encoding/iv);
		t.is(relayed.split('\r\n\r\n')[1], text);
	}
});

for (const [description, text] of [['with its head', ''], ['behind a part', body.slice(0, 4)], ['behind all of it', body]] as const) {
	test(`an answer that is to end with its connection is not relayed if that is reset ${description}`, async t => {
		const relayed = await relay(async (response, received) => {
			response.socket!.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${text}`);
			await received.waitFor(1);
			response.socket!.resetAndDestroy();
		});
		t.regex(relayed, new RegExp(String.raw`^HTTP/1\.1 502 .*${AttemptOutcome.ConnectionLost}`, 'sv'));
	});
}

test('an answer that has no body is relayed as framed', async t => {
	t.notRegex(await relay(response => response.socket!.end('HTTP/1.1 204 No Content\r\nConnection: keep-alive\r\n\r\n')), /connection: close/iv);
	t.notRegex(await relay(response => response.socket!.end('HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n'), 'HEAD'), /connection: close/iv);
});

test('an answer that is cut, as far as can be told, is not relayed', async t => {
	const cut = new RegExp(String.raw`^HTTP/1\.1 502 .*${AttemptOutcome.ConnectionLost}`, 'sv');
	const part = `19\r\n${body}\r\n`;

	for (const connection of ['close', 'keep-alive']) {
		for (const framed of [`Content-Length: ${body.length + 1}\r\n\r\n${body}`, `Transfer-Encoding: chunked\r\n\r\n${part}`]) {
			const text = `HTTP/1.1 200 OK\r\nConnection: ${connection}\r\n${framed}`;
			t.regex(await relay(response => response.socket!.end(text)), cut);
			t.regex(await relay(async (response, received) => {
				response.socket!.write(text);
				await received.waitFor(1);
				response.socket!.resetAndDestroy();
			}), cut);
		}
	}
});

const longUpload = new Uint8Array(8_000_000);

// Guards against a part that is taken for a whole answer since it ended while the call was still being written.
test('an early answer without a length that is reset during a long upload is not relayed', async t => {
	for (const text of ['', body.slice(0, 4), body]) {
		t.regex(await relay(async (response, received) => {
			response.socket!.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${text}`);
			await received.waitFor(1);
			response.socket!.resetAndDestroy();
		}, 'POST', longUpload), new RegExp(String.raw`^HTTP/1\.1 502 .*${AttemptOutcome.ConnectionLost}`, 'sv'));
	}
});

// Guards against a status that no caller can be given, after the call may have run.
test('an answer with a status that is none is invalid', async t => {
	for (const status of ['000', '099']) {
		for (const upload of [new Uint8Array(), longUpload]) {
			const text = `HTTP/1.1 ${status} Odd\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
			t.regex(await relay(response => response.socket!.write(text), 'POST', upload), new RegExp(String.raw`^HTTP/1\.1 502 .*${AttemptOutcome.Invalid}`, 'sv'));
		}
	}
});
