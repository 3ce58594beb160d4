/* eslint-disable camelcase, no-await-in-loop, unicorn/no-await-expression-member */
// Starts coordinators and gateways as separate processes on loopback addresses, by the commands and the settings template of the deploy file.
import {spawn} from 'node:child_process';
import fs from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {callJson} from './http.mjs';

export const repository = fileURLToPath(new URL('../../', import.meta.url));
const portCount = 8;
const pollMs = 50;

/** Deployment of the site that the cases name: limits of its machines and its bounds. */
export const siteSettings = {
	grace_s: 8, retry_budget_ratio: 0.2, budget_slack: 52, machines: 1, lease_ms: 3000, version_ms: 8000, config_apply_ms: 2000,
};
const limitsByClass = {front: {memory_mb: 350, max_fds: 4100}, core: {memory_mb: 346, max_fds: 4096}};

async function isFree(ip, port) {
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

// A block of loopback addresses on which a run of ports is free: the link port has to be the same on all machines.
async function findBlock() {
	for (;;) {
		const block = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
		const port = 20_000 + Math.floor(Math.random() * 8000);
		const checks = await Promise.all(Array.from({length: portCount}, (_, offset) => isFree(`${block}.1`, port + offset)));

		if (checks.every(Boolean)) {
			return {block, port};
		}
	}
}

async function readDeployFile() {
	const text = await fs.readFile(path.join(repository, 'deploy/system.toml'), 'utf8');
	const commands = {};

	for (const [, role, command] of text.matchAll(/\[roles\.(\w+)\]\nrun = "([^"]+)"/gv)) {
		commands[role] = command.split(' ');
	}

	return commands;
}

function renderSettings(template, values) {
	return template.replace(/\{\{#zones\}\}.*?\{\{\/zones\}\}/v, values.zones).replaceAll(/\{\{([\w.]+)\}\}/gv, (_, name) => values[name] ?? '');
}

/**
Starts a system. `zones` lists the availability zone of each machine. Returns functions to end, pause and restart its processes; only processes that it started are signalled.
*/
export async function startSystem({coordinators, gateways, zones = ['windhoek-north', 'windhoek-south', 'okahandja', 'rehoboth'], settings = {}}) {
	const {block, port} = await findBlock();
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'review-'));
	const commands = await readDeployFile();
	const template = await fs.readFile(path.join(repository, 'deploy/settings.env'), 'utf8');
	const bounds = {...siteSettings, ...settings};
	const linkPort = port;
	const addresses = ip => ({
		front: `${ip}:${port + 1}`, readiness: `${ip}:${port + 2}`, control: `${ip}:${port + 3}`, directory: `${ip}:${port + 4}`,
	});
	const machines = [];

	const addMachine = async (role, index, ip) => {
		const name = `${role}-${index + 1}`;
		const dataFolder = path.join(folder, name);
		const machine = {
			name, role, ip, dataFolder, zone: zones[index % zones.length], process: undefined, log: [], ends: [], ...addresses(ip),
		};
		await fs.mkdir(dataFolder);
		machines.push(machine);

		return machine;
	};

	const coordinatorMachines = [];
	const gatewayMachines = [];

	for (let index = 0; index < coordinators; index++) {
		coordinatorMachines.push(await addMachine('coordinator', index, `${block}.${index + 1}`));
	}

	for (let index = 0; index < gateways; index++) {
		gatewayMachines.push(await addMachine('gateway', index, `${block}.${100 + index}`));
	}

	const seeds = coordinatorMachines.slice(0, 3).map(machine => machine.control).join(',');
	let isFirstStart = true;

	const writeSettings = async machine => {
		const isGateway = machine.role === 'gateway';
		const {memory_mb: memory, max_fds: descriptors} = limitsByClass[isGateway ? 'front' : 'core'];
		await fs.writeFile(path.join(folder, `${machine.name}.env`), renderSettings(template, {
			node_name: machine.name, zone: machine.zone, zones: zones.map(zone => `${zone}=khomas`).join(','), ip: machine.ip, 'internal_port_range.0': linkPort,
			'listen.front': isGateway ? machine.front : '', 'listen.readiness': isGateway ? machine.readiness : '',
			'listen.control': isGateway ? '' : machine.control, 'listen.directory': isGateway ? '' : machine.directory,
			seeds, data_dir: isGateway ? '' : machine.dataFolder, bootstrap: isFirstStart, 'bounds.grace_s': bounds.grace_s, 'bounds.retry_budget_ratio': bounds.retry_budget_ratio,
			'bounds.budget_slack': bounds.budget_slack, 'fault_tolerance.machines': bounds.machines, 'bounds.lease_ms': bounds.lease_ms, 'bounds.version_ms': bounds.version_ms,
			'bounds.config_apply_ms': bounds.config_apply_ms, 'limits.memory_mb': memory, 'limits.max_fds': descriptors,
		}).replaceAll(':9464', `:${port + 5}`));
	};

	const start = machine => {
		const [command, ...args] = commands[machine.role];
		const child = spawn(command === 'node' ? process.execPath : command, args, {
			cwd: repository, env: {PATH: process.env.PATH, HOME: folder, FESCUESTAIR_CONFIG: path.join(folder, `${machine.name}.env`)}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		machine.process = child;
		machine.isExpectedToEnd = false;
		let rest = '';
		child.stdout.on('data', bytes => {
			const lines = (rest + bytes).split('\n');
			rest = lines.pop();
			machine.log.push(...lines);
		});
		child.stderr.on('data', bytes => {
			machine.log.push(...String(bytes).split('\n').filter(line => line !== ''));
		});
		child.once('exit', (code, signal) => {
			machine.ends.push({code, signal, isExpected: machine.isExpectedToEnd});
		});
	};

	const system = {
		folder, block, port, machines, coordinators: coordinatorMachines, gateways: gatewayMachines,
		start,
		async signal(machine, signal) {
			machine.isExpectedToEnd ||= signal === 'SIGKILL' || signal === 'SIGTERM';
			machine.process.kill(signal);
		},
		async kill(machine) {
			machine.isExpectedToEnd = true;

			if (machine.process.exitCode === null && machine.process.signalCode === null) {
				const exited = once(machine.process, 'exit');
				machine.process.kill('SIGKILL');
				await exited;
			}
		},
		/** Writes the settings that hold from the second start on. */
		async endFirstStart() {
			isFirstStart = false;
			await Promise.all(machines.map(machine => writeSettings(machine)));
		},
		/** Lists the processes that ended though nobody ended them. */
		listOwnEnds: () => machines.flatMap(({name, ends}) => ends.filter(end => !end.isExpected).map(end => ({name, ...end}))),
		async waitUntil(what, check, timeoutMs = 20_000) {
			const deadlineMs = Date.now() + timeoutMs;

			while (Date.now() < deadlineMs) {
				try {
					if (await check()) {
						return;
					}
				} catch {
					// Tried again.
				}

				await sleep(pollMs);
			}

			throw new Error(`${what}: not reached within ${timeoutMs} ms`);
		},
		/** Sends a configuration until a coordinator acknowledges it. */
		async applyConfig(config, timeoutMs = 20_000) {
			let next = 0;
			await system.waitUntil(`configuration ${config.version}`, async () => {
				const {control} = coordinatorMachines[next++ % coordinatorMachines.length];

				return (await callJson(control, {
					method: 'POST', path: '/config/replace', body: config, timeoutMs: 1000,
				})).status === 200;
			}, timeoutMs);
		},
		async waitUntilReady(timeoutMs = 20_000) {
			for (const {name, readiness} of gatewayMachines) {
				await system.waitUntil(`${name} ready`, async () => (await callJson(readiness, {path: '/ready', timeoutMs: 1000})).status === 200, timeoutMs);
			}
		},
		async stop() {
			await Promise.all(machines.filter(machine => machine.process !== undefined).map(machine => system.kill(machine)));
			await fs.rm(folder, {recursive: true, force: true});
		},
	};

	await Promise.all(machines.map(machine => writeSettings(machine)));

	for (const machine of machines) {
		start(machine);
	}

	return system;
}

/** Memory that a process holds, in MB. */
export async function readMemoryMegabytes({process: child}) {
	try {
		const status = await fs.readFile(`/proc/${child.pid}/status`, 'utf8');

		return Math.round(Number(/VmRSS:\s+(?<kilobytes>\d+)/v.exec(status)?.[1] ?? 0) / 1024);
	} catch {
		return 0;
	}
}
