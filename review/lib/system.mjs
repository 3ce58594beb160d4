/* eslint camelcase: 'off', no-await-in-loop: 'off', unicorn/no-process-exit: 'off' -- messages have the field names of the users' protocol, and the steps of a case follow one another; a case ends itself with its exit code */
// Starts the project's own programs as separate processes on loopback addresses, with the commands of the deploy file.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {openSync, writeSync} from 'node:fs';
import fs from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const repository = new URL('../..', import.meta.url).pathname;
const portNames = ['link', 'control', 'directory', 'caller', 'readiness', 'metrics', 'worker', 'other'];
const heartbeatIntervalMs = 1200;
const pingTimeoutMs = 1000;
const incarnationBase = Date.now();
const waitPollMs = 50;
const caseTimeoutMs = 110_000;
const couldNotRunCode = 2;

/** Processes that were started here and have not ended. */
const children = new Set();

process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

for (const signal of ['SIGINT', 'SIGTERM']) {
	process.on(signal, () => {
		process.exit(couldNotRunCode);
	});
}

/** The bounds of the users' pages that the cases use. */
export const bounds = {
	contactMs: 3000, configApplyMs: 2000, drainMs: 2000, recoveryMs: 12_000, graceS: 8, transitMs: 120,
};

/** Whether the script runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

async function canListen(ip, port) {
	const server = net.createServer();
	server.listen(port, ip);

	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');

	return true;
}

/** Finds a block of loopback addresses and ports that are free on all of them. */
async function findPlaces() {
	for (let attempt = 0; attempt < 50; attempt++) {
		const prefix = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
		const firstPort = 15_000 + (Math.floor(Math.random() * 1500) * 10);
		const checks = await Promise.all(portNames.map(async (_name, index) => canListen(`${prefix}.1`, firstPort + index)));

		if (checks.every(Boolean)) {
			return {prefix, ports: Object.fromEntries(portNames.map((name, index) => [name, firstPort + index]))};
		}
	}

	throw new Error('no free ports');
}

/** Opens the record of a case, `record.txt` in its folder. Each line is written at once, so that a case that is ended keeps what it has. */
export function openRecord(file) {
	const descriptor = openSync(file, 'w');
	const startedAtMs = performance.now();

	return {
		write(text) {
			writeSync(descriptor, `${((performance.now() - startedAtMs) / 1000).toFixed(2).padStart(7)} s  ${text}\n`);
		},
	};
}

/**
Starts coordinators and gateways. `settings` replaces single settings of all of them.
*/
export async function startSystem({record, coordinators = 3, gateways = 2, settings = {}}) {
	const {prefix, ports} = await findPlaces();
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-review-'));
	const daemons = [];
	const servers = [];
	const timers = new Set();
	const seeds = Array.from({length: coordinators}, (_, index) => `${prefix}.${index + 1}:${ports.control}`).slice(0, 3).join(',');

	const writeSettings = async (daemon, isFirstStart) => {
		const {name, ip, role} = daemon;
		const isGateway = role === 'gateway';
		const variables = {
			NAME: name, AVAILABILITY_ZONE: 'north', IP: ip, LINK_PORT: ports.link,
			CALLER_LISTEN: isGateway ? `${ip}:${ports.caller}` : '', READINESS_LISTEN: isGateway ? `${ip}:${ports.readiness}` : '',
			CONTROL_LISTEN: isGateway ? '' : `${ip}:${ports.control}`, DIRECTORY_LISTEN: isGateway ? '' : `${ip}:${ports.directory}`,
			SEEDS: seeds, DATA_FOLDER: isGateway ? '' : path.join(folder, name), FIRST_START: String(isFirstStart), GRACE_S: bounds.graceS,
			REPEATS_PER_REQUEST: 0.2, REPEAT_SLACK: 52, LOSSES_BORNE: 1, ORDER_LEASE_MS: 3000, OLD_WEIGHTS_MS: 8000, METRICS_LISTEN: `${ip}:${ports.metrics}`,
			...settings,
		};
		await fs.writeFile(path.join(folder, `${name}.env`), Object.entries(variables).map(([key, value]) => `FESCUESTAIR_${key}=${value}\n`).join(''));
	};

	const start = async (daemon, isFirstStart = false) => {
		await writeSettings(daemon, isFirstStart);
		const {name, role} = daemon;
		const child = spawn(process.execPath, [`--max-old-space-size=${role === 'gateway' ? 160 : 140}`, 'target/fescuestaird.mjs', role], {
			cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, FESCUESTAIR_CONFIG: path.join(folder, `${name}.env`)}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		children.add(child);
		daemon.process = child;
		daemon.isExpectedToRun = true;

		for (const output of [child.stdout, child.stderr]) {
			output.on('data', bytes => {
				daemon.log += String(bytes);
			});
		}

		child.once('exit', (code, signal) => {
			children.delete(child);
			record.write(`${name} ended (${signal ?? code})${daemon.isExpectedToRun ? ' by itself' : ''}`);
		});
	};

	const kill = async (daemon, signal = 'SIGKILL') => {
		const {process: child} = daemon;
		daemon.isExpectedToRun = false;

		if (child.exitCode === null && child.signalCode === null) {
			const ended = once(child, 'exit');
			child.kill(signal);
			await ended;
		}
	};

	const add = async (role, index, lastOctet) => {
		const name = `${role}-${index}`;
		const daemon = {
			name, role, ip: `${prefix}.${lastOctet}`, log: '',
		};
		daemons.push(daemon);
		await fs.mkdir(path.join(folder, name));
		await start(daemon, true);
	};

	for (let index = 1; index <= coordinators; index++) {
		await add('coordinator', index, index);
	}

	for (let index = 1; index <= gateways; index++) {
		await add('gateway', index, 100 + index);
	}

	const listDaemons = role => daemons.filter(daemon => daemon.role === role);

	const repeat = (run, intervalMs) => {
		const timer = setInterval(run, intervalMs);
		timers.add(timer);

		return () => {
			clearInterval(timer);
			timers.delete(timer);
		};
	};

	return {
		record,
		prefix,
		ports,
		folder,
		start,
		kill,
		repeat,
		coordinators: listDaemons('coordinator'),
		gateways: listDaemons('gateway'),
		addServer(server) {
			servers.push(server);
		},
		/** Calls the operators' and workers' interface of one coordinator. */
		control: async (daemon, method, target, body) => sendJson({
			ip: daemon.ip, port: ports.control, method, target, body,
		}),
		/** Sends a change, as an operator does, until a coordinator acknowledges it. */
		async change(target, body) {
			for (let attempt = 0; attempt < 120; attempt++) {
				const daemon = listDaemons('coordinator')[attempt % coordinators];

				try {
					const {status} = await sendJson({
						ip: daemon.ip, port: ports.control, method: 'POST', target, body,
					});

					if (status === 200) {
						record.write(`POST ${target} acknowledged by ${daemon.name}`);

						return;
					}
				} catch {
					// The next coordinator is asked.
				}

				await sleep(250);
			}

			throw new Error(`POST ${target} was not acknowledged`);
		},
		async isReady(gateway) {
			try {
				const {status} = await sendJson({
					ip: gateway.ip, port: ports.readiness, method: 'GET', target: '/ready',
				});

				return status === 200;
			} catch {
				return false;
			}
		},
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			await Promise.all(daemons.map(async daemon => kill(daemon)));

			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}

			await fs.rm(folder, {recursive: true, force: true});
		},
	};
}

/** Waits for a condition; throws if it is not met in time. */
export async function waitFor(name, check, timeoutMs = 30_000) {
	const deadlineMs = performance.now() + timeoutMs;

	while (performance.now() < deadlineMs) {
		if (await check()) {
			return;
		}

		await sleep(waitPollMs);
	}

	throw new Error(`not met in time: ${name}`);
}

/** Sends one JSON request on a connection of its own. */
export async function sendJson({ip, port, method, target, body, timeoutMs = 4000}) {
	const text = body === undefined ? undefined : JSON.stringify(body);

	return new Promise((resolve, reject) => {
		const request = http.request({
			host: ip, port, method, path: target, agent: false, signal: AbortSignal.timeout(timeoutMs),
			headers: text === undefined ? {} : {'content-type': 'application/json', 'content-length': String(new TextEncoder().encode(text).length)},
		}, response => {
			let received = '';
			response.on('data', bytes => {
				received += String(bytes);
			});
			response.on('end', () => {
				resolve({status: response.statusCode, text: received});
			});
			response.on('error', reject);
		});
		request.on('error', reject);
		request.end(text);
	});
}

/**
Opens a sound worker: it serves requests that are meant for it, and announces itself about each 1,200 ms, at the coordinators in turn.
*/
export async function openWorker(system, {id, service, lastOctet, answer, models, version = 'v1', startsAnnounced = true}) {
	const {ports, prefix, coordinators} = system;
	const ip = `${prefix}.${lastOctet}`;
	const ran = [];
	let sequence = 0;
	let state = 'ready';
	let stopAnnouncing = () => undefined;
	const worker = {
		id, service, ip, address: `${ip}:${ports.worker}`, ran, born: incarnationBase + lastOctet,
	};
	const server = http.createServer((request, response) => {
		if (request.url === '/report') {
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify({
				models: models ?? [], busy: false, sequence: 0, born: worker.born,
			}));

			return;
		}

		const requestId = request.headers['request-id'];

		if (request.headers['expect-instance'] !== id) {
			response.writeHead(421, {'request-id': requestId, 'not-executed': '1'}).end();

			return;
		}

		ran.push({requestId, atMs: performance.now()});
		system.record.write(`ran ${requestId} at ${id}`);
		response.setHeader('request-id', requestId);
		response.setHeader('response-seal', `seal-${id}-${requestId}`);
		answer(request, response, worker);
	});
	server.listen(ports.worker, ip);
	await once(server, 'listening');
	system.addServer(server);

	const describe = () => {
		sequence++;

		return {
			service, address: worker.address, zone: 'north', version, slots: 64, state, cold_left_ms: 0, ...(models !== undefined && {models}), sequence, born: worker.born,
		};
	};

	const announceAt = async (coordinator, body = describe(), call = 'heartbeat') => sendJson({
		ip: coordinator.ip, port: ports.control, method: 'POST', target: `/instances/${id}/${call}`, body, timeoutMs: pingTimeoutMs,
	});

	// The next coordinator is called where one does not acknowledge.
	const announce = async () => {
		const body = describe();

		for (let attempt = 0; attempt < coordinators.length; attempt++) {
			try {
				const {status} = await announceAt(coordinators[(sequence + attempt) % coordinators.length], body);

				if (status === 200) {
					return;
				}
			} catch {
				// The next one is called.
			}
		}
	};

	const startAnnouncing = () => {
		announce();
		stopAnnouncing = system.repeat(announce, heartbeatIntervalMs);
	};

	if (startsAnnounced) {
		startAnnouncing();
	}

	return {
		...worker,
		server,
		startAnnouncing,
		stopAnnouncing() {
			stopAnnouncing();
		},
		describe,
		announceAt,
		setState(next) {
			state = next;
		},
	};
}

/** Sends a request to a gateway on a connection of its own; resolves with what came back. */
export async function sendRequest(system, gateway, {target, id, method = 'GET', headers = {}, body, timeLeftMs = 5000}) {
	const {record} = system;
	record.write(`sent ${id} to ${gateway.name}: ${method} ${target}`);

	return new Promise(resolve => {
		const request = http.request({
			host: gateway.ip, port: system.ports.caller, method, path: target, agent: false, signal: AbortSignal.timeout(timeLeftMs + 2000),
			headers: {
				host: 'works.example', 'request-id': id, 'deadline-ms': String(timeLeftMs), authorization: 'Token key-of-o', ...headers,
			},
		}, response => {
			let received = '';
			response.on('data', bytes => {
				received += String(bytes);
			});
			response.on('close', () => {
				record.write(`answered ${id}: ${response.statusCode}${response.complete ? '' : ', not whole'}`);
				resolve({
					status: response.statusCode, body: received, headers: response.headers, isWhole: response.complete,
				});
			});
			response.on('error', () => undefined);
		});
		request.on('error', error => {
			record.write(`not answered ${id}: ${error.code ?? error.message}`);
			resolve({
				status: 0, body: '', headers: {}, isWhole: false, error: error.code ?? error.message,
			});
		});
		request.end(body);
	});
}

/** Describes a route of a manifest. */
export function createRoute(name, service, kind, overrides = {}) {
	return {
		name, host: 'works.example', path_prefix: `/${name}/`, kind, timeout_ms: 5000, target_latency_ms: 300, priority: 0, service, max_attempts: 2, public: false, sticky: false, resumable: false,
		...overrides,
	};
}

/** Describes a manifest. */
export function createManifest(version, {routes, services, tenants = [{name: 'o', api_keys: ['key-of-o']}]}) {
	return {
		version, routes, services: services.map(service => typeof service === 'string' ? {name: service, health_path: '/health', max_conns: 100} : service),
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		}, tenants,
	};
}

/** Runs a case: the exit code is 1 if its rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase({recordFile}, run) {
	const record = openRecord(recordFile);
	let system;
	let code = couldNotRunCode;
	const timer = setTimeout(() => {
		record.write(`the case could not run within ${caseTimeoutMs} ms`);
		process.exit(couldNotRunCode);
	}, caseTimeoutMs);

	try {
		const isBroken = await run({
			record,
			async start(options) {
				system = await startSystem({record, ...options});

				return system;
			},
		});
		code = isBroken ? 1 : 0;
		record.write(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
	}

	if (process.env.SHOW_LOGS !== undefined && system !== undefined) {
		for (const daemon of [...system.coordinators, ...system.gateways]) {
			await fs.writeFile(path.join(process.env.SHOW_LOGS, `${daemon.name}.log`), daemon.log);
		}
	}

	clearTimeout(timer);
	await system?.stop();
	process.exit(code);
}
