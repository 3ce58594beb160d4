import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createLogger, createPrometheusMetrics} from '@fescuestair/runtime';
import {buildRouteTable, CallKind} from '@fescuestair/traffic';
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

const openHandler = async (t: ExecutionContext, {forwardOptions = {}, decodeThrows = false}: {
	readonly forwardOptions?: Partial<ForwardOptions>; readonly decodeThrows?: boolean;
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
			clock, metrics, getTable: () => table, isLeaving: () => false, waiting: new Map(), ...forwardOptions,
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
		clock, log, metrics, getTable: () => table, findStopRefusal: () => undefined, recordLength: () => undefined, depositRetryTokens: () => undefined,
	});
	const server = http.createServer((request, response) => {
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

test('a target with characters that can\'t be forwarded is refused with a whole 400', async t => {
	const handler = await openHandler(t);
	t.regex(await handler.send('/a\tb'), /^HTTP\/1.1 400 [\s\S]*\{"error":"the target has characters that cannot be forwarded"\}$/v);
});
