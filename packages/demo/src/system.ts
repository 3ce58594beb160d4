import {randomBytes} from 'node:crypto';
import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {type StatusReport} from '@fescuestair/control';
import {createDeclarations, digestKey} from './declarations.js';
import {findFreeAddress} from './free-address.js';
import {startProcess, type ChildProcess} from './child-process.js';

export type SystemOptions = {
	readonly entries?: number;
	readonly controls?: number;
	readonly engines?: number;
	readonly services?: number;
	readonly stores?: number;
	readonly entryFlags?: readonly string[];
	readonly entryEnvironment?: Readonly<Record<string, string>>;
	readonly controlFlags?: readonly string[];
	readonly engineFlags?: readonly string[];
	readonly serviceFlags?: readonly string[];
	readonly storeFlags?: readonly string[];
};

export type EntryProcess = {readonly process: ChildProcess; readonly address: string; readonly upstreamAddress: string; readonly peerAddress: string; readonly name: string};
export type ControlProcess = {readonly process: ChildProcess; readonly operatorAddress: string; readonly peerAddress: string; readonly name: string; readonly dataFolder: string};
export type UpstreamProcess = {readonly process: ChildProcess; readonly id: string; readonly address: string};

/** A complete system of processes on this machine, for the demonstration, failure tests and benchmarks. */
export type System = {
	readonly folder: string;
	readonly organisationKey: string;
	readonly otherOrganisationKey: string;
	/** File to which the plain services append the key of each executed booking. */
	readonly journal: string;
	readonly entries: EntryProcess[];
	readonly controls: ControlProcess[];
	readonly engines: UpstreamProcess[];
	readonly services: UpstreamProcess[];
	readonly stores: UpstreamProcess[];
	readonly startEntry: (index: number) => Promise<EntryProcess>;
	readonly startControl: (index: number) => Promise<ControlProcess>;
	readonly startStore: (index: number, flags?: readonly string[]) => Promise<UpstreamProcess>;
	readonly startEngine: (index: number, flags?: readonly string[]) => Promise<UpstreamProcess>;
	readonly runCli: (flags: readonly string[]) => Promise<{readonly code: number | undefined; readonly output: string}>;
	readonly waitUntilReady: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

const zones = ['north', 'south', 'east'];
const readyTimeoutMs = 20_000;
const pollIntervalMs = 50;

function resolveProgram(specifier: string): string {
	return fileURLToPath(new URL('main.js', import.meta.resolve(specifier)));
}

function createKey(): string {
	return randomBytes(16).toString('hex');
}

/**
Starts control replicas, entries and simulated upstreams, initializes the control group, adds the replicas and applies a configuration.

@example
```
const system = await startSystem({entries: 2, controls: 1});
await system.stop();
```
*/
export async function startSystem(options: SystemOptions = {}): Promise<System> {
	const {
		entries: entryCount = 2, controls: controlCount = 1, engines: engineCount = 1, services: serviceCount = 1, stores: storeCount = 0,
		entryFlags = [], entryEnvironment = {}, controlFlags = [], engineFlags = [], serviceFlags = [], storeFlags = [],
	} = options;
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-'));
	const organisationKey = createKey();
	const otherOrganisationKey = createKey();
	const joinKey = createKey();
	const operatorKey = createKey();
	const orderKey = createKey();
	const files = {
		cluster: path.join(folder, 'cluster.keys'),
		join: path.join(folder, 'join.keys'),
		operator: path.join(folder, 'operator.keys'),
		order: path.join(folder, 'order.key'),
		declarations: path.join(folder, 'declarations.yaml'),
		journal: path.join(folder, 'journal'),
	};
	await fs.writeFile(files.cluster, `k1:${createKey()}${createKey()}\n`);
	await fs.writeFile(files.join, `standins:${digestKey(joinKey)}\n`);
	await fs.writeFile(files.operator, `ana:${digestKey(operatorKey)}\n`);
	await fs.writeFile(files.order, `${orderKey}\n`);
	await fs.writeFile(files.declarations, createDeclarations(organisationKey, otherOrganisationKey));
	await fs.writeFile(files.journal, '');
	const entryAddresses = await Promise.all(Array.from({length: entryCount}, async () => ({
		address: await findFreeAddress(), upstreamAddress: await findFreeAddress(), peerAddress: await findFreeAddress(),
	})));
	const controlAddresses = await Promise.all(Array.from({length: controlCount}, async () => ({operatorAddress: await findFreeAddress(), peerAddress: await findFreeAddress()})));
	// Includes addresses for four more engines that a caller can start with `startEngine`.
	const engineAddresses = await Promise.all(Array.from({length: engineCount + 4}, findFreeAddress));
	const storeAddresses = await Promise.all(Array.from({length: storeCount}, findFreeAddress));
	const peerAddresses = controlAddresses.map(addresses => addresses.peerAddress).join(',');
	const upstreamListeners = entryAddresses.map(addresses => addresses.upstreamAddress).join(',');
	const entries: EntryProcess[] = [];
	const controls: ControlProcess[] = [];
	const engines: UpstreamProcess[] = [];
	const services: UpstreamProcess[] = [];
	const stores: UpstreamProcess[] = [];

	const startControl = async (index: number): Promise<ControlProcess> => {
		const addresses = controlAddresses[index]!;
		const name = `control-${index + 1}`;
		const dataFolder = path.join(folder, name);
		await fs.mkdir(dataFolder, {recursive: true});
		const child = startProcess(resolveProgram('@fescuestair/daemon'), [
			'--role',
			'control',
			'--name',
			name,
			'--availability-zone',
			zones[index % zones.length]!,
			'--data-folder',
			dataFolder,
			'--peer-listen',
			addresses.peerAddress,
			'--operator-listen',
			addresses.operatorAddress,
			'--control',
			peerAddresses,
			'--cluster-keys-file',
			files.cluster,
			'--operator-keys-file',
			files.operator,
			'--order-key-file',
			files.order,
			...controlFlags,
		]);
		const started = {
			...addresses, process: child, name, dataFolder,
		};
		controls[index] = started;

		return started;
	};

	const startEntry = async (index: number): Promise<EntryProcess> => {
		const addresses = entryAddresses[index]!;
		const name = `entry-${index + 1}`;
		const child = startProcess(resolveProgram('@fescuestair/daemon'), [
			'--role',
			'entry',
			'--name',
			name,
			'--availability-zone',
			zones[index % zones.length]!,
			'--listen',
			addresses.address,
			'--upstream-listen',
			addresses.upstreamAddress,
			'--peer-listen',
			addresses.peerAddress,
			'--control',
			peerAddresses,
			'--cluster-keys-file',
			files.cluster,
			'--join-keys-file',
			files.join,
			'--keep-entries-ms',
			'1000',
			...entryFlags,
		], entryEnvironment);
		const started = {...addresses, process: child, name};
		entries[index] = started;

		return started;
	};

	const startUpstream = (upstreams: UpstreamProcess[], index: number, {id, flags, address}: {id: string; flags: readonly string[]; address: string}): UpstreamProcess => {
		const child = startProcess(resolveProgram('@fescuestair/standins'), [
			'--id', id, '--listen', address, '--zone', zones[index % zones.length]!, '--entries', upstreamListeners, '--join-key', joinKey, ...flags,
		]);
		const started = {process: child, id, address};
		upstreams[index] = started;

		return started;
	};

	const startEngine = async (index: number, flags: readonly string[] = engineFlags) => startUpstream(engines, index, {
		id: `engine-${index + 1}`, flags: ['--kind', 'engine', ...flags, ...(index % 2 === 0 ? ['--checks-fencing', '--order-key', orderKey] : [])], address: engineAddresses[index]!,
	});

	const startStore = async (index: number, flags: readonly string[] = storeFlags) => {
		const id = `store-${index + 1}`;

		return startUpstream(stores, index, {
			id, flags: ['--kind', 'store', '--data-folder', path.join(folder, id), ...flags], address: storeAddresses[index]!,
		});
	};

	const runCli = async (flags: readonly string[]) => {
		const child = startProcess(resolveProgram('@fescuestair/cli'), flags, {
			FESCUESTAIR_CONTROL: controlAddresses.map(addresses => addresses.operatorAddress).join(','), FESCUESTAIR_OPERATOR_KEY: operatorKey,
		});
		const code = await child.waitForExit();
		await sleep(pollIntervalMs);

		return {code, output: child.readOutput().trim()};
	};

	// Only the leader can add members. On a busy machine it is not always the first replica, so attempts rotate over the addresses.
	const runCliUntilSuccess = async (flags: readonly string[], addresses: readonly string[] = []) => {
		let lastResult = {code: undefined as number | undefined, output: ''};

		for (let attempt = 0; attempt < 40; attempt++) {
			lastResult = await runCli([...flags, ...(addresses.length > 0 ? ['--control', addresses[attempt % addresses.length]!] : [])]);

			if (lastResult.code === 0) {
				return;
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`fescuestair ${flags.join(' ')}: ${lastResult.output}`);
	};

	// A new replica is a learner until it has caught up with the log.
	const waitUntilAllVote = async () => {
		const deadlineMs = Date.now() + readyTimeoutMs;
		let lastOutput = '';

		while (Date.now() < deadlineMs) {
			const {code, output} = await runCli(['status', '--json', '--control', controlAddresses[0]!.operatorAddress]);
			lastOutput = output;
			const replicas = code === 0 ? (JSON.parse(output) as StatusReport).replicas : [];

			if (replicas.length === controlCount && replicas.every(replica => replica.role !== 'learner')) {
				return;
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`not all replicas became voters within ${readyTimeoutMs} ms: ${lastOutput}\n${controls.map(control => control.process.readOutput()).join('\n')}`);
	};

	const isEntryReady = async ({address}: EntryProcess, minUpstreams: number) => {
		try {
			const ready = await request(`http://${address}/readyz`);
			const body = await ready.body.json() as {readonly upstreams: number};

			return ready.statusCode === 200 && body.upstreams >= minUpstreams;
		} catch {
			return false;
		}
	};

	const describeReadiness = async () => {
		const answers = entries.map(async ({address}) => {
			const ready = await request(`http://${address}/readyz`);

			return `${address} ${ready.statusCode} ${await ready.body.text()}`;
		});
		const settled = await Promise.allSettled(answers);

		return settled.map(answer => answer.status === 'fulfilled' ? answer.value : String(answer.reason)).join(', ');
	};

	const waitUntilReady = async () => {
		const deadlineMs = Date.now() + readyTimeoutMs;
		const expectedUpstreams = engines.length + services.length + stores.length;

		while (Date.now() < deadlineMs) {
			const running = entries.filter(entry => entry.process.isRunning());
			const ready = await Promise.all(running.map(async entry => isEntryReady(entry, expectedUpstreams)));

			if (ready.every(Boolean)) {
				return;
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`the system was not ready within ${readyTimeoutMs} ms (${await describeReadiness()}):\n${[...entries, ...controls].map(daemon => daemon.process.readOutput()).join('\n')}`);
	};

	const stop = async () => {
		const runningProcesses = [...entries, ...controls, ...engines, ...services, ...stores].map(started => started.process).filter(child => child.isRunning());

		for (const child of runningProcesses) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		await Promise.all(runningProcesses.map(async child => child.waitForExit()));
		await fs.rm(folder, {recursive: true, force: true});
	};

	// If the start fails, the processes that are already running are stopped.
	try {
		for (let index = 0; index < controlCount; index++) {
			await startControl(index);
		}

		await Promise.all(Array.from({length: entryCount}, async (_, index) => startEntry(index)));
		await Promise.all(Array.from({length: engineCount}, async (_, index) => startEngine(index)));

		await Promise.all(Array.from({length: storeCount}, async (_, index) => startStore(index)));

		for (let index = 0; index < serviceCount; index++) {
			startUpstream(services, index, {
				id: `service-${index + 1}`, flags: ['--kind', 'service', '--service', 'work-orders', '--journal', files.journal, ...serviceFlags], address: await findFreeAddress(),
			});
		}

		await runCliUntilSuccess(['control', 'init', '--control', controlAddresses[0]!.operatorAddress]);

		for (let index = 1; index < controlCount; index++) {
			await runCliUntilSuccess(['control', 'add', `control-${index + 1}`], controlAddresses.slice(0, index).map(address => address.operatorAddress));
		}

		await waitUntilAllVote();
		await runCliUntilSuccess(['config', 'apply', files.declarations, '--preset', 'ordinary']);
		await waitUntilReady();
	} catch (error) {
		await stop();

		throw error;
	}

	return {
		folder,
		organisationKey,
		otherOrganisationKey,
		journal: files.journal,
		entries,
		controls,
		engines,
		services,
		stores,
		startEntry,
		startControl,
		startEngine,
		startStore,
		runCli,
		waitUntilReady,
		stop,
	};
}
