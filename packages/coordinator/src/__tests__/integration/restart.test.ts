import fs from 'node:fs/promises';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createLog, createServedMetrics} from '@fescuestair/runtime';
import {type TrafficConfig} from '@fescuestair/traffic';
import {ChangeOutcome, createCoordinator, type Coordinator} from '../../index.js';

const decodeConfig = (text: string) => ({
	config: {...JSON.parse(text) as {readonly version: number}, services: []} as unknown as TrafficConfig, findings: [],
});

const findFreePort = async (): Promise<number> => {
	const server = net.createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	server.close();
	await once(server, 'close');

	return port;
};

const openDeployment = async (t: ExecutionContext) => {
	const dataFolder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-coordinator-'));
	const linkAddress = `127.0.0.1:${await findFreePort()}`;
	t.teardown(async () => fs.rm(dataFolder, {recursive: true, force: true}));

	return async () => createCoordinator({
		name: 'core-1', availabilityZone: 'north', linkAddress, serviceAddress: '127.0.0.1:1', dataFolder, getSeeds: () => [linkAddress], isFirstStart: true,
		decodeConfig, orderHandoverMs: 0,
		storeClient: undefined as never, sendOrder: undefined as never, fetchReport: undefined as never,
		log: createLog({instance: 'core-1', isTerminal: false, writeLine: () => true}), metrics: createServedMetrics(),
	});
};

const put = async (coordinator: Coordinator, version: number) => {
	for (;;) {
		const {outcome} = await coordinator.putConfig(JSON.stringify({version}));

		if (outcome === ChangeOutcome.Accepted) {
			return;
		}

		await sleep(20);
	}
};

test('a coordinator starts again after so many changes that its log was compacted', async t => {
	const start = await openDeployment(t);
	const before = await start();

	for (let version = 1; version <= 150; version++) {
		await put(before, version);
	}

	await before.stop();
	const after = await start();
	t.teardown(async () => after.stop());

	while (!after.isReady()) {
		await sleep(20);
	}

	const {configVersion} = await after.readConfig();
	t.is(configVersion, 150);
});
