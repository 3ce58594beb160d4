import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@fescuestair/core';
import {
	listServing, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {computeLoadPublishIntervalMs} from '@fescuestair/entry';
import {encodeLoad, type LinkMessage} from '@fescuestair/protocol';
import {createGossip, type GossipHost} from '@fescuestair/runtime';
import {
	createLinks, createLinkServer, parseClusterKeys, type Links,
} from '@fescuestair/transport';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const keys = parseClusterKeys(`k:${'a'.repeat(64)}`, 'keys');
const basePort = 30_100;
const settleMs = 500;
const pollIntervalMs = 20;
const waitTimeoutMs = 45_000;
const measurementMs = 4000;
/** Bounds on the gossip traffic and processor share of one daemon. */
const maxBytesPerSecond = 10_000;
const maxCoreShare = 0.033;

type Daemon = {readonly gossip: GossipHost; readonly links: Links; readonly close: () => Promise<void>};

async function startDaemon(index: number): Promise<Daemon> {
	const address = `127.0.0.1:${basePort + index}`;
	const links = createLinks({getKeys: () => keys});
	const self: MemberRecord = {
		id: `d${index}`, kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address, availabilityZone: 'z', details: {callerAddress: address},
	};
	const gossip = createGossip({
		self, seeds: [`127.0.0.1:${basePort}`], clock, links, onFailure(error) {
			throw error as Error;
		},
	});
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: basePort + index},
		getKeys: () => keys,
		onMessage(message) {
			gossip.receive(message as Extract<LinkMessage, {kind: 'gossip'}>);
		},
	});

	return {
		gossip,
		links,
		async close() {
			gossip.stop();
			links.close();
			await server.close();
		},
	};
}

function sumBytes(daemons: readonly Daemon[]): number {
	let bytes = 0;

	for (const daemon of daemons) {
		bytes += daemon.links.countBytes();
	}

	return bytes;
}

async function waitUntil(check: () => boolean, timeoutMs = waitTimeoutMs): Promise<void> {
	const deadlineMs = clock.readMonotonicMs() + timeoutMs;

	while (!check() && clock.readMonotonicMs() < deadlineMs) {
		await sleep(pollIntervalMs);
	}
}

async function measureCluster(daemonCount: number, report: ReportMeasurement): Promise<void> {
	const daemons = await Promise.all(Array.from({length: daemonCount}, async (_, index) => startDaemon(index)));
	const joinedAtMs = clock.readMonotonicMs();

	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Entry).length === daemonCount));

	report({bench: `membership.join_all.${daemonCount}`, value: clock.readMonotonicMs() - joinedAtMs, unit: 'ms'});
	// Updates about the joins are not part of the steady-state cost: waits until they have been disseminated.
	await waitUntil(() => daemons.every(daemon => daemon.gossip.getMembership().pendingUpdates.size === 0));
	await sleep(settleMs);
	const cpuBefore = process.cpuUsage();
	const bytesBefore = sumBytes(daemons);
	await sleep(measurementMs);
	const cpu = process.cpuUsage(cpuBefore);
	const seconds = measurementMs / 1000;
	// A link counts bytes only at the end that opened it; doubled, since the other end handles the same bytes.
	report({
		bench: `membership.bytes_per_daemon.${daemonCount}`, value: 2 * (sumBytes(daemons) - bytesBefore) / seconds / daemonCount, unit: 'B/s', bound: maxBytesPerSecond,
	});
	report({
		bench: `membership.core_share_per_daemon.${daemonCount}`, value: (cpu.user + cpu.system) / 1e6 / seconds / daemonCount, unit: 'core', bound: maxCoreShare,
	});
	await measureDissemination(daemons, daemonCount, report);
	await Promise.all(daemons.map(async daemon => daemon.close()));
}

// Two seconds after an upstream has announced that it leaves, no entry may send it new requests.
async function measureDissemination(daemons: readonly Daemon[], daemonCount: number, report: ReportMeasurement): Promise<void> {
	const record: MemberRecord = {
		id: 'engine', kind: RecordKind.Upstream, incarnation: 1, version: 1, status: MemberStatus.Alive, address: '127.0.0.1:1', availabilityZone: 'z', sponsorId: 'd1',
		details: {},
	};
	daemons[1]!.gossip.publish(record);
	const hasServingUpstream = (daemon: Daemon) => listServing(daemon.gossip.getMembership(), RecordKind.Upstream).length === 1;
	const announcedAtMs = clock.readMonotonicMs();

	await waitUntil(() => daemons.every(daemon => hasServingUpstream(daemon)));

	report({bench: `membership.announce_everywhere.${daemonCount}`, value: clock.readMonotonicMs() - announcedAtMs, unit: 'ms'});
	daemons[1]!.gossip.publish({...record, version: 2, status: MemberStatus.Leaving});
	const leftAtMs = clock.readMonotonicMs();

	await waitUntil(() => !daemons.some(daemon => hasServingUpstream(daemon)));

	report({
		bench: `membership.leave_everywhere.${daemonCount}`, value: clock.readMonotonicMs() - leftAtMs, unit: 'ms', bound: 2000,
	});
}

// Worst case: the load of every upstream changes at each interval at which its sponsor may publish it.
async function measureLoadReports(upstreams: number, report: ReportMeasurement): Promise<void> {
	const daemons = await Promise.all(Array.from({length: loadDaemonCount}, async (_, index) => startDaemon(index)));
	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Entry).length === loadDaemonCount));
	let publicationCount = 0;

	for (let index = 0; index < upstreams; index++) {
		daemons[index % loadDaemonCount]!.gossip.publish({
			id: `engine-${index}`, kind: RecordKind.Upstream, incarnation: Date.now(), version: 1, status: MemberStatus.Alive, address: '127.0.0.1:1',
			availabilityZone: 'z', sponsorId: `d${index % loadDaemonCount}`, details: {kind: 'engine', models: ['assistant'], weightVersion: '1'},
		});
	}

	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Upstream).length === upstreams));
	// Only gauges are measured: waits until the upstream records have been disseminated.
	await waitUntil(() => daemons.every(daemon => daemon.gossip.getMembership().pendingUpdates.size === 0), disseminationTimeoutMs);

	const publishAll = () => {
		publicationCount++;

		for (let index = 0; index < upstreams; index++) {
			daemons[index % loadDaemonCount]!.gossip.publishGauge(`engine-${index}`, encodeLoad({...exampleLoad, running: publicationCount % exampleLoad.slots}));
		}
	};

	const loadPublishIntervalMs = computeLoadPublishIntervalMs(upstreams);
	publishAll();
	const timer = setInterval(publishAll, loadPublishIntervalMs);
	await sleep(Math.max(loadPublishIntervalMs, minLoadMeasurementMs));
	const bytesBefore = sumBytes(daemons);
	const measurementDurationMs = Math.max(2 * loadPublishIntervalMs, minLoadMeasurementMs);
	await sleep(measurementDurationMs);
	report({
		bench: `membership.load_reports_bytes_per_daemon.${upstreams}_upstreams`,
		value: 2 * (sumBytes(daemons) - bytesBefore) / (measurementDurationMs / 1000) / loadDaemonCount,
		unit: 'B/s',
		bound: maxBytesPerSecond,
	});
	clearInterval(timer);
	await Promise.all(daemons.map(async daemon => daemon.close()));
}

const loadDaemonCount = 5;
const minLoadMeasurementMs = 15_000;
const disseminationTimeoutMs = 120_000;
const exampleLoad = {
	running: 4, waitingShort: 0, waitingLong: 1, longInProgress: 3, slots: 8, queuedShortTokens: 200, queuedLongTokens: 0,
};

export const membershipLoadsBenchmark: Benchmark = {
	area: 'membership-loads',
	isDefault: false,
	description: 'bytes that load reports cost each of 5 daemons, with 12, 120 and 680 upstreams',
	async run(report) {
		for (const upstreams of [12, 120, 680]) {
			await measureLoadReports(upstreams, report);
		}
	},
};

export const membershipBenchmark: Benchmark = {
	area: 'membership',
	isDefault: true,
	description: 'cost of gossip for each daemon and time of dissemination, with 5 and 20 daemons',
	async run(report) {
		for (const daemonCount of [5, 20]) {
			await measureCluster(daemonCount, report);
		}
	},
};

export const membershipLargeBenchmark: Benchmark = {
	area: 'membership-large',
	isDefault: false,
	description: 'the same measurements as membership, with 80 daemons in one process',
	run: async report => measureCluster(80, report),
};
