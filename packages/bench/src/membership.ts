import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@fescuestair/core';
import {
	listServing, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {computeLoadSpreadMs} from '@fescuestair/entry';
import {encodeLoad, type LinkMessage} from '@fescuestair/protocol';
import {createGossip, type GossipHost} from '@fescuestair/runtime';
import {
	createLinks, createLinkServer, parseClusterKeys, type Links,
} from '@fescuestair/transport';
import {type Benchmark, type Report} from './report.js';

const clock = createSystemClock();
const keys = parseClusterKeys(`k:${'a'.repeat(64)}`, 'keys');
const firstPort = 30_100;
const settleMs = 500;
const pollMs = 20;
const waitLimitMs = 45_000;
const measureMs = 4000;
/** Budget of a daemon for control. */
const maxBytesPerSecond = 10_000;
const maxCoreShare = 0.033;

type Daemon = {readonly gossip: GossipHost; readonly links: Links; readonly close: () => Promise<void>};

async function startDaemon(index: number): Promise<Daemon> {
	const address = `127.0.0.1:${firstPort + index}`;
	const links = createLinks({getKeys: () => keys});
	const self: MemberRecord = {
		id: `d${index}`, kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address, availabilityZone: 'z', details: {callerAddress: address},
	};
	const gossip = createGossip({
		self, seeds: [`127.0.0.1:${firstPort}`], clock, links, onFailure(error) {
			throw error as Error;
		},
	});
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: firstPort + index},
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

async function waitUntil(check: () => boolean, limitMs = waitLimitMs): Promise<void> {
	const deadlineMs = clock.readMonotonicMs() + limitMs;

	while (!check() && clock.readMonotonicMs() < deadlineMs) {
		await sleep(pollMs);
	}
}

async function measureSize(size: number, report: Report): Promise<void> {
	const daemons = await Promise.all(Array.from({length: size}, async (_, index) => startDaemon(index)));
	const joinedAtMs = clock.readMonotonicMs();

	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Entry).length === size));

	report({bench: `membership.join_all.${size}`, value: clock.readMonotonicMs() - joinedAtMs, unit: 'ms'});
	// News of the join itself is not part of the steady cost.
	await waitUntil(() => daemons.every(daemon => daemon.gossip.getMembership().rumours.size === 0));
	await sleep(settleMs);
	const cpuBefore = process.cpuUsage();
	const bytesBefore = sumBytes(daemons);
	await sleep(measureMs);
	const cpu = process.cpuUsage(cpuBefore);
	const seconds = measureMs / 1000;
	// Each link is counted at the end that opened it; the other end handles the same bytes again.
	report({
		bench: `membership.bytes_per_daemon.${size}`, value: 2 * (sumBytes(daemons) - bytesBefore) / seconds / size, unit: 'B/s', bound: maxBytesPerSecond,
	});
	report({
		bench: `membership.core_share_per_daemon.${size}`, value: (cpu.user + cpu.system) / 1e6 / seconds / size, unit: 'core', bound: maxCoreShare,
	});
	await measureSpread(daemons, size, report);
	await Promise.all(daemons.map(async daemon => daemon.close()));
}

// An upstream that leaves must get no new work from any entry after two seconds.
async function measureSpread(daemons: readonly Daemon[], size: number, report: Report): Promise<void> {
	const record: MemberRecord = {
		id: 'engine', kind: RecordKind.Upstream, incarnation: 1, version: 1, status: MemberStatus.Alive, address: '127.0.0.1:1', availabilityZone: 'z', sponsorId: 'd1',
		details: {},
	};
	daemons[1]!.gossip.publish(record);
	const isKnown = (daemon: Daemon) => listServing(daemon.gossip.getMembership(), RecordKind.Upstream).length === 1;
	const announcedAtMs = clock.readMonotonicMs();

	await waitUntil(() => daemons.every(daemon => isKnown(daemon)));

	report({bench: `membership.announce_everywhere.${size}`, value: clock.readMonotonicMs() - announcedAtMs, unit: 'ms'});
	daemons[1]!.gossip.publish({...record, version: 2, status: MemberStatus.Leaving});
	const leftAtMs = clock.readMonotonicMs();

	await waitUntil(() => !daemons.some(daemon => isKnown(daemon)));

	report({
		bench: `membership.leave_everywhere.${size}`, value: clock.readMonotonicMs() - leftAtMs, unit: 'ms', bound: 2000,
	});
}

// Each upstream has another load each time that its sponsor may spread one.
async function measureLoadReports(upstreams: number, report: Report): Promise<void> {
	const daemons = await Promise.all(Array.from({length: loadDaemons}, async (_, index) => startDaemon(index)));
	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Entry).length === loadDaemons));
	let round = 0;

	for (let index = 0; index < upstreams; index++) {
		daemons[index % loadDaemons]!.gossip.publish({
			id: `engine-${index}`, kind: RecordKind.Upstream, incarnation: Date.now(), version: 1, status: MemberStatus.Alive, address: '127.0.0.1:1',
			availabilityZone: 'z', sponsorId: `d${index % loadDaemons}`, details: {kind: 'engine', models: ['assistant'], weightVersion: '1'},
		});
	}

	await waitUntil(() => daemons.every(daemon => listServing(daemon.gossip.getMembership(), RecordKind.Upstream).length === upstreams));
	// The records themselves shall have been told before gauges are counted.
	await waitUntil(() => daemons.every(daemon => daemon.gossip.getMembership().rumours.size === 0), drainLimitMs);

	const publishAll = () => {
		round++;

		for (let index = 0; index < upstreams; index++) {
			daemons[index % loadDaemons]!.gossip.publishGauge(`engine-${index}`, encodeLoad({...exampleLoad, running: round % exampleLoad.slots}));
		}
	};

	const loadSpreadMs = computeLoadSpreadMs(upstreams);
	publishAll();
	const timer = setInterval(publishAll, loadSpreadMs);
	await sleep(Math.max(loadSpreadMs, minLoadMeasureMs));
	const bytesBefore = sumBytes(daemons);
	const measuredMs = Math.max(2 * loadSpreadMs, minLoadMeasureMs);
	await sleep(measuredMs);
	report({
		bench: `membership.load_reports_bytes_per_daemon.${upstreams}_upstreams`,
		value: 2 * (sumBytes(daemons) - bytesBefore) / (measuredMs / 1000) / loadDaemons,
		unit: 'B/s',
		bound: maxBytesPerSecond,
	});
	clearInterval(timer);
	await Promise.all(daemons.map(async daemon => daemon.close()));
}

const loadDaemons = 5;
const minLoadMeasureMs = 15_000;
const drainLimitMs = 120_000;
const exampleLoad = {
	running: 4, waitingShort: 0, waitingLong: 1, longInProgress: 3, slots: 8, queuedShortTokens: 200, queuedLongTokens: 0,
};

export const membershipLoadsBenchmark: Benchmark = {
	area: 'membership-loads',
	isDefault: false,
	description: 'bytes that reports of load cost each of 5 daemons, with 12, 120 and 680 upstreams',
	async run(report) {
		for (const upstreams of [12, 120, 680]) {
			await measureLoadReports(upstreams, report);
		}
	},
};

export const membershipBenchmark: Benchmark = {
	area: 'membership',
	isDefault: true,
	description: 'cost of gossip for a daemon and time to spread, with 5 and 20 daemons',
	async run(report) {
		for (const size of [5, 20]) {
			await measureSize(size, report);
		}
	},
};

export const membershipLargeBenchmark: Benchmark = {
	area: 'membership-large',
	isDefault: false,
	description: 'the same with 80 daemons in one process',
	run: async report => measureSize(80, report),
};
