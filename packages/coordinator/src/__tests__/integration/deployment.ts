import fs from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {loadIdentity, type Identity} from '@fescuestair/replication';
import {createLogger, createPrometheusMetrics, type PrometheusMetrics} from '@fescuestair/runtime';
import {type TrafficConfig} from '@fescuestair/traffic';
import {ChangeOutcome, createCoordinator, type Coordinator} from '../../index.js';

/** The coordinators of one deployment, all in this process, each with its own data folder. */
export type Deployment = {
	/** Starts a coordinator, or restarts it with its previous data. */
	readonly start: (name: string) => Promise<Coordinator>;
	/** Deletes the data of a stopped coordinator. */
	readonly wipe: (name: string) => Promise<void>;
	/** Waits until one of the running coordinators leads the group, and returns its name. */
	readonly findLeader: () => Promise<string>;
	readonly readIdentity: (name: string) => Promise<Identity>;
};

const decodeConfig = (text: string) => ({
	config: {
		routes: [], organisations: [], services: [], ...JSON.parse(text) as {readonly version: number},
	} as unknown as TrafficConfig, findings: [],
});

async function findFreePort(): Promise<number> {
	const server = net.createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	server.close();
	await once(server, 'close');

	return port;
}

/** Creates a deployment; `seeds` are the names of the coordinators that form the initial group. */
export async function openDeployment(t: ExecutionContext, {names, seeds, lossesBorne, isFirstStartKept = false, regionsByZone}: {
	readonly names: readonly string[];
	readonly seeds: readonly string[];
	readonly lossesBorne: number;
	/** Restarts coordinators whose data was deleted with `isFirstStart` still set. */
	readonly isFirstStartKept?: boolean;
	readonly regionsByZone?: ReadonlyMap<string, string>;
}): Promise<Deployment> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-coordinator-'));
	const addresses = new Map<string, string>();

	for (const name of names) {
		addresses.set(name, `127.0.0.1:${await findFreePort()}`);
	}

	const seedAddresses = seeds.map(name => addresses.get(name)!);
	const running = new Map<string, Coordinator>();
	const metrics = new Map<string, PrometheusMetrics>();
	/** Coordinators whose data was deleted. They are restarted with `isFirstStart` unset by default, as on the users' machines. */
	const wiped = new Set<string>();
	t.teardown(async () => {
		await Promise.all([...running.values()].map(async coordinator => coordinator.stop()));
		await fs.rm(folder, {recursive: true, force: true});
	});

	return {
		async start(name) {
			const dataFolder = path.join(folder, name);
			await fs.mkdir(dataFolder, {recursive: true});
			const ownMetrics = createPrometheusMetrics();
			metrics.set(name, ownMetrics);
			const coordinator = await createCoordinator({
				name, availabilityZone: 'north', linkAddress: addresses.get(name)!, serviceAddress: '127.0.0.1:1', dataFolder, getSeeds: () => seedAddresses,
				isFirstStart: isFirstStartKept || !wiped.has(name), decodeConfig, orderHandoverMs: 0, lossesBorne, ...(regionsByZone && {regionsByZone}),
				storeClient: undefined as never, sendOrder: undefined as never, fetchReport: undefined as never,
				log: createLogger({instance: name, isTerminal: false, writeLine: () => true}), metrics: ownMetrics,
			});
			const started = {
				...coordinator,
				async stop() {
					running.delete(name);
					await coordinator.stop();
				},
			};
			running.set(name, started);

			return started;
		},
		async wipe(name) {
			wiped.add(name);
			await fs.rm(path.join(folder, name), {recursive: true, force: true});
		},
		async findLeader() {
			for (;;) {
				for (const name of running.keys()) {
					const text = await metrics.get(name)!.renderText();

					if (text.includes('\nfescuestair_leads 1')) {
						return name;
					}
				}

				await sleep(20);
			}
		},
		readIdentity: async name => loadIdentity(path.join(folder, name), name),
	};
}

/** Resends a configuration until it is accepted, as operators do. */
export async function putUntilAccepted(coordinator: Coordinator, version: number): Promise<void> {
	for (;;) {
		const {outcome} = await coordinator.putConfig(JSON.stringify({version}));

		if (outcome === ChangeOutcome.Accepted) {
			return;
		}

		await sleep(20);
	}
}

/** Retries until a majority confirms the version in force, and returns it. */
export async function readVersion(coordinator: Coordinator): Promise<number> {
	for (;;) {
		try {
			const {configVersion} = await coordinator.readConfig();

			return configVersion;
		} catch {
			// No leader is known yet.
			await sleep(20);
		}
	}
}
