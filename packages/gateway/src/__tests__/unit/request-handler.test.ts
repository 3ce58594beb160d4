import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {buildRouteTable, CallKind, type RouteTable} from '@fescuestair/traffic';
import {type ForwardOptions} from '../../forward-options.js';
import {createRequestHandler} from '../../request-handler.js';

const table = buildRouteTable({
	version: 7,
	routes: [{
		name: 'r', host: 'h', pathPrefix: '/', kind: CallKind.Safe, timeoutMs: 1000, targetMs: 100, priority: 0, targets: [{service: 's', weight: 1}], maxAttempts: 2,
		isPublic: false, isResumable: false, patienceMs: undefined, targetGapMs: undefined,
	}],
	services: [{
		name: 's', healthPath: '/', maxConnections: 10, engine: undefined, store: undefined,
	}],
	limits: {
		maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
	organisations: [],
});

const openHandler = async (t: ExecutionContext, {forwardOptions = {}, decodeThrows = false, getCurrentTable = () => table, isConfigConfirmed = true}: {
	readonly forwardOptions?: Partial<ForwardOptions>; readonly decodeThrows?: boolean; readonly getCurrentTable?: () => RouteTable; readonly isConfigConfirmed?: boolean;
} = {}) => {
	const lines: string[] = [];
	const log = createLogger({
		instance: 'gateway-1', isTerminal: false, writeLine(line) {
			lines.push(line);
		},
	});
	const clock = createSystemClock();
	const metrics = createPrometheusMetrics();
	const handle = createRequestHandler({
		forwardOptions: {
			clock, metrics, getTable: getCurrentTable, isLeaving: () => false, waiting: new Map(), ...forwardOptions,
		} as unknown as ForwardOptions,
		callerCodec: {
			decodeRequest({'x-id': id}) {
				if (decodeThrows) {
					throw new Error('headers cannot be read');
				}

				return {
					requestId: id as string | undefined, timeLeftMs: undefined, key: undefined, prompt: undefined, lastEventId: undefined, resumedRequestId: undefined,
				};
			},
			isForwarded: () => true,
		},
		clock, log, metrics, getTable: getCurrentTable,
		decideRefusal: () => isConfigConfirmed ? {isFinal: true} : {isFinal: false, retryAfterMs: 500}, findStopRefusal: () => undefined, recordLength: () => undefined,
		depositRetryTokens: () => undefined,
	});
	const server = http.createServer((request, response) => {
		// Whether a tab in a target gets past the HTTP parser depends on its build.
		request.url = request.url?.replaceAll('%09', '\t');
		handle(request, response).catch(() => {
			response.destroy();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});

	return {
		lines,
		metrics,
		server,
		async send(target: string) {
			const socket = net.connect((server.address() as {readonly port: number}).port, '127.0.0.1');
			socket.write(`POST ${target} HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi`);
			let text = '';

			for await (const chunk of socket) {
				text += String(chunk);
			}

			return text;
		},
	};
};

const throwDefect = () => {
	throw new Error('a defect');
};

test('an error thrown while a request is forwarded is answered with a whole 502, logged with its id and counted', async t => {
	const handler = await openHandler(t, {forwardOptions: {crashes: {findHeldBack: throwDefect} as unknown as ForwardOptions['crashes']}});
	const text = await handler.send('/a');
	t.regex(text, /^HTTP\/1.1 502 /v);
	t.deepEqual(JSON.parse(text.slice(text.indexOf('\r\n\r\n'))), {error: 'the gateway failed while it handled the request'});
	const lines = handler.lines.map(line => JSON.parse(line) as Record<string, unknown>);
	t.like(lines.find(line => line.level === 'error'), {requestId: 'r1', method: 'POST', target: '/a'});
	t.like(lines.find(line => line.message === 'request'), {outcome: 'failed', status: 502, requestId: 'r1'});
	t.regex(await handler.metrics.renderText(), /requests_total\{outcome="failed",status="502",kind="none"\} 1/v);
});

test('an error thrown before a request is forwarded is answered with a whole 503', async t => {
	const handler = await openHandler(t, {decodeThrows: true});
	t.regex(await handler.send('/a'), /^HTTP\/1.1 503 [\s\S]*retry-after: [\s\S]*\{"error":"the gateway failed before it forwarded the request"\}$/v);
});

for (const [description, status, change, target] of [
	['no route', 404, {routes: []}, '/a'],
	['no key', 401, {organisations: [{name: 'o', keys: ['k'], priority: 0}]}, '/a'],
	['a body that is too large', 413, {limits: {...table.config.limits, maxBodyBytes: 1}}, '/a'],
	['a head that is too large', 431, {limits: {...table.config.limits, maxHeaderBytes: 10}}, '/a'],
] as const) {
	test(`${description} in a configuration that no coordinator has confirmed is no reason to reject a request for good`, async t => {
		const current = buildRouteTable({...table.config, ...change} as unknown as Parameters<typeof buildRouteTable>[0]);

		for (const isConfigConfirmed of [false, true]) {
			const handler = await openHandler(t, {getCurrentTable: () => current, isConfigConfirmed});
			const text = await handler.send(target);
			t.regex(text, isConfigConfirmed ? new RegExp(`^HTTP/1.1 ${status} `, 'v') : /^HTTP\/1.1 503 [\s\S]*retry-after: [\s\S]*may be out of date"\}$/v);
		}
	});
}

test('a target with characters that can\'t be forwarded is refused with a whole 400', async t => {
	const handler = await openHandler(t);
	t.regex(await handler.send('/a%09b'), /^HTTP\/1.1 400 [\s\S]*\{"error":"the target has characters that cannot be forwarded"\}$/v);
});

test('a request whose service is dropped by a new configuration while its body is read is refused with a whole 503, and its connection stays', async t => {
	let current = table;
	const handler = await openHandler(t, {getCurrentTable: () => current});
	const socket = net.connect((handler.server.address() as {readonly port: number}).port, '127.0.0.1');
	t.teardown(() => socket.destroy());
	let text = '';
	socket.on('data', bytes => {
		text += String(bytes);
	});

	for (const isDropped of [true, false]) {
		current = table;
		const requested = once(handler.server, 'request');
		socket.write('POST /a HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nh');
		await requested;
		current = buildRouteTable({
			...table.config, version: 8, routes: isDropped ? [] : table.config.routes, services: [],
		});
		text = '';
		socket.write('i');

		while (!text.endsWith('}') && !socket.closed) {
			await Promise.race([once(socket, 'data'), once(socket, 'close')]);
		}

		t.regex(text, /^HTTP\/1.1 503 Service Unavailable\r\n[\s\S]*retry-after: [\s\S]*\{"error":"the service is not declared"\}$/v);
		t.notRegex(text, /connection: close/iv);
	}
});

for (const [target, host, size, status] of [['/a', 'other', 4_000_000, 404], ['/a', 'h', 4_000_000, 413], ['/a%09b', 'h', 400_000, 400]] as const) {
	test(`a rejection with ${status} is not overtaken by a reset while its caller still sends the body, and the connection goes on`, async t => {
		const handler = await openHandler(t);
		const socket = net.connect((handler.server.address() as {readonly port: number}).port, '127.0.0.1');
		t.teardown(() => socket.destroy());
		let text = '';
		const errors: Error[] = [];
		socket.on('data', bytes => {
			text += String(bytes);
		});
		socket.on('error', error => {
			errors.push(error);
		});
		const post = `POST ${target} HTTP/1.1\r\nHost: ${host}\r\nX-Id: r1\r\nContent-Length: ${size}\r\n\r\n`;
		const countAnswers = () => text.split(`HTTP/1.1 ${status} `).length - 1;

		for (const count of [1, 2]) {
			socket.write(post + 'x'.repeat(size / 2));

			while (countAnswers() < count && !socket.closed) {
				await Promise.race([once(socket, 'data'), once(socket, 'close')]);
			}

			t.is(countAnswers(), count);
			await new Promise<void>(resolve => {
				socket.write('x'.repeat(size / 2), () => {
					resolve();
				});
			});
		}

		t.deepEqual(errors, []);
		t.notRegex(text, /connection: close/iv);
	});
}

test('a rejected request whose body is longer than what is discarded closes its connection', async t => {
	const handler = await openHandler(t);
	const socket = net.connect((handler.server.address() as {readonly port: number}).port, '127.0.0.1');
	socket.write('POST /a HTTP/1.1\r\nHost: other\r\nX-Id: r1\r\nContent-Length: 33000000\r\n\r\n');
	let text = '';

	for await (const chunk of socket) {
		text += String(chunk);
	}

	t.regex(text, /^HTTP\/1.1 404 [\s\S]*connection: close/iv);
});

test('a rejection is not overtaken by a reset while its caller still sends a body in chunks, which is discarded up to a bound', async t => {
	const handler = await openHandler(t);
	const socket = net.connect((handler.server.address() as {readonly port: number}).port, '127.0.0.1');
	t.teardown(() => socket.destroy());
	let text = '';
	const errors: Error[] = [];
	socket.on('data', bytes => {
		text += String(bytes);
	});
	socket.on('error', error => {
		errors.push(error);
	});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	const countAnswers = () => text.split('HTTP/1.1 404 ').length - 1;
	const sendChunk = async () => Promise.race([closed, new Promise<void>(resolve => {
		socket.write(`f4240\r\n${'x'.repeat(1_000_000)}\r\n`, () => {
			resolve();
		});
	})]);

	const sendChunks = async (chunkCount: number) => {
		for (let sent = 0; sent < chunkCount && !socket.closed; sent++) {
			await sendChunk();
		}
	};

	for (const [count, chunkCount] of [[1, 4], [2, 4], [3, 0]] as const) {
		socket.write('POST /a HTTP/1.1\r\nHost: other\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n');

		while (countAnswers() < count && !socket.closed) {
			await Promise.race([once(socket, 'data'), closed]);
		}

		t.is(countAnswers(), count);
		await sendChunks(chunkCount);

		if (chunkCount > 0) {
			socket.write('0\r\n\r\n');
		}
	}

	t.deepEqual(errors, []);
	t.notRegex(text, /connection: close/iv);

	await sendChunks(100);
	await closed;
	t.is(countAnswers(), 3);
});
