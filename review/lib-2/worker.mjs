/* eslint-disable camelcase, no-await-in-loop, no-void */
// A worker of a service, as the pages describe it: it announces itself, checks Expect-Instance, runs requests and answers with a receipt.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {once} from 'node:events';
import {callJson} from './http.mjs';

const announceMs = 1200;

/**
Starts a worker. `run` gets the request with its body and the response, and answers; it is called once the worker begins to work on a request.
*/
export async function startWorker({
	system, ip, id = `i-${randomBytes(4).toString('hex')}`, service, zone = 'windhoek-north', slots = 64, version = 'v1', models, port = 0, firstPingDelayMs = 0, run,
	record = () => undefined,
}) {
	const born = Date.now();
	let sequence = 0;
	let state = 'ready';
	let active = 0;
	const runs = [];
	const server = http.createServer({keepAliveTimeout: 10_000, maxHeaderSize: 65_536}, (request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			void handle(request, response, Buffer.concat(chunks));
		});
		request.on('error', () => undefined);
	});
	// Workers read whatever fields come.
	server.maxHeadersCount = 0;

	const handle = async (request, response, body) => {
		const requestId = request.headers['request-id'];

		if (request.method === 'GET' && request.url === '/health') {
			response.writeHead(state === 'ready' ? 200 : 503, {'Instance-Id': id, 'Server-Load': `${active},0,${slots}`, 'Content-Length': 0}).end();

			return;
		}

		if (request.method === 'GET' && request.url === '/report') {
			response.writeHead(200, {'Content-Type': 'application/json'}).end(JSON.stringify({
				stage: 'colocated', models: models ?? [], busy: false, sequence: 0, queued: 0, active, kv_used: 0, kv_total: 77_104, handles: 0, born,
			}));

			return;
		}

		const base = {...(requestId !== undefined && {'Request-Id': requestId}), 'Server-Load': `${active},0,${slots}`, 'Keep-Alive': 'timeout=10'};

		if (requestId === undefined) {
			response.writeHead(400, {...base, 'Not-Executed': '1', 'Content-Length': 0}).end();

			return;
		}

		if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== id) {
			response.writeHead(421, {...base, 'Not-Executed': '1', 'Content-Length': 0}).end();

			return;
		}

		active++;
		const entry = {
			worker: id, requestId, method: request.method, path: request.url, headers: request.headers, bodyBytes: body.length, atMs: Date.now(),
		};
		runs.push(entry);
		record(entry);
		response.once('close', () => {
			active--;
		});
		await run({
			request, response, body, base: {...base, 'Response-Seal': `seal.${requestId}.${id}`}, entry,
		});
	};

	server.listen(port, ip);
	await once(server, 'listening');
	const address = `${ip}:${server.address().port}`;
	let next = 0;

	const announce = async () => {
		sequence++;
		const body = {
			service, address, zone, version, slots, state, cold_left_ms: 0, born, ...(models !== undefined && {stage: 'colocated', models}), sequence,
		};

		for (let tries = 0; tries < system.coordinators.length; tries++) {
			const {control} = system.coordinators[next % system.coordinators.length];

			try {
				const {status} = await callJson(control, {
					method: 'POST', path: `/instances/${id}/heartbeat`, body, timeoutMs: 1000,
				});

				if (status >= 200 && status < 300) {
					return;
				}
			} catch {
				// The next one is called.
			}

			next++;
		}
	};

	const first = setTimeout(announce, firstPingDelayMs);
	const timer = setInterval(() => {
		if (Date.now() - born >= firstPingDelayMs) {
			void announce();
		}
	}, announceMs);

	return {
		id, address, runs,
		setState(value) {
			state = value;
		},
		announce,
		async stop() {
			clearTimeout(first);
			clearInterval(timer);
			server.close();
			server.closeAllConnections();
		},
	};
}
