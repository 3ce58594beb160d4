import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStateMachine} from '@fescuestair/control';
import {createReplicaRunner} from '@fescuestair/replication';
import {createSystemClock} from '@fescuestair/core';
import {createStateFollower} from '@fescuestair/entry';
import {startSystem, type System} from '@fescuestair/demo';
import {callAndValidate, LinkMessageKind} from '@fescuestair/protocol';
import {
	CommandResponseKind, CommandKind, type CommandResponse, type CommandRequest,
} from '@fescuestair/state';
import {createLogStore} from '@fescuestair/storage';
import {createLinks, loadClusterKeys, type Links} from '@fescuestair/transport';
import {createHistogram} from './model/histogram.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const concurrency = 64;
const loadDurationMs = 3000;
const callTimeoutMs = 1000;
const presetPropagationBoundMs = 3000;
const maxBytesPerSecond = 10_000;
const maxCoreShare = 0.033;

type Propose = (request: CommandRequest) => Promise<CommandResponse>;

function createClaimRequest(claimNumber: number): CommandRequest {
	return {
		kind: CommandKind.Claim, organisation: `o${claimNumber % 10}`, key: `k${claimNumber}`, bodyDigest: 'd', requestId: `r${claimNumber}`, entryId: 'bench', leaseMs: 15_000, keepMs: 86_400_000,
	};
}

/** Creates a function that proposes a request to the leader and retries until it is answered. Like an entry, it follows redirects to find it. */
function createProposer(links: Links, addresses: readonly string[]): Propose {
	let leader = addresses[0]!;
	let attempt = 0;

	return async request => {
		for (;;) {
			try {
				const reply = await callAndValidate(links, {address: leader, message: {kind: LinkMessageKind.Propose, command: request}, timeoutMs: callTimeoutMs});

				if (reply.kind === 'answer') {
					return reply.answer as CommandResponse;
				}

				leader = reply.kind === 'not_leader' && reply.leaderAddress !== undefined ? reply.leaderAddress : addresses[attempt++ % addresses.length]!;
			} catch {
				leader = addresses[attempt++ % addresses.length]!;
			}

			await sleep(10);
		}
	};
}

async function measureClaims(propose: Propose, report: ReportMeasurement): Promise<void> {
	const latency = createHistogram();
	const endMs = clock.readMonotonicMs() + loadDurationMs;
	let claimCount = 0;

	const sendClaims = async () => {
		while (clock.readMonotonicMs() < endMs) {
			const startedMs = clock.readMonotonicMs();
			await propose(createClaimRequest(claimCount++));
			latency.record(clock.readMonotonicMs() - startedMs);
		}
	};

	await Promise.all(Array.from({length: concurrency}, sendClaims));
	report({bench: `state.claims_per_second.${concurrency}_at_once`, value: latency.getCount() / loadDurationMs * 1000, unit: '1/s'});
	report({bench: `state.claim_p50.${concurrency}_at_once`, value: latency.getPercentile(50), unit: 'ms'});
	report({bench: `state.claim_p99.${concurrency}_at_once`, value: latency.getPercentile(99), unit: 'ms'});
	const sequentialLatency = createHistogram();

	for (let index = 0; index < 200; index++) {
		const startedMs = clock.readMonotonicMs();
		await propose(createClaimRequest(claimCount++));
		sequentialLatency.record(clock.readMonotonicMs() - startedMs);
	}

	report({bench: 'state.claim_p50.one_at_a_time', value: sequentialLatency.getPercentile(50), unit: 'ms'});
	report({bench: 'state.claim_p99.one_at_a_time', value: sequentialLatency.getPercentile(99), unit: 'ms'});
}

async function findLeader(system: System) {
	const {output} = await system.runCli(['status', '--json']);
	const {leaderName} = JSON.parse(output) as {leaderName?: string};

	return system.controls.find(control => control.name === leaderName)!;
}

// Reports the longest time between two consecutive granted claims while the leader is killed or stopped.
async function measureFailover(system: System, propose: Propose, {signal, name}: {signal: NodeJS.Signals; name: string}, report: ReportMeasurement): Promise<void> {
	const leader = await findLeader(system);
	let lastGrantedMs = clock.readMonotonicMs();
	let longestMs = 0;
	const load = {isRunning: true};
	let claimCount = 0;

	const sendClaims = async () => {
		while (load.isRunning) {
			await propose({...createClaimRequest(claimCount), key: `${name}/${claimCount++}`} as CommandRequest);
			longestMs = Math.max(longestMs, clock.readMonotonicMs() - lastGrantedMs);
			lastGrantedMs = clock.readMonotonicMs();
		}
	};

	const claimsSent = sendClaims();
	await sleep(300);
	leader.process.kill(signal);
	await sleep(4000);
	load.isRunning = false;
	await claimsSent;
	report({
		bench: `state.failover_gap.${name}`, value: longestMs, unit: 'ms', bound: 3000,
	});
	leader.process.kill('SIGCONT');

	if (signal === 'SIGKILL') {
		await system.startControl(system.controls.indexOf(leader));
	}

	await sleep(1500);
}

async function measurePresetPropagation(system: System, {links, propose, followerCount}: {links: Links; propose: Propose; followerCount: number}, report: ReportMeasurement): Promise<void> {
	const controlSeeds = system.controls.map(control => control.peerAddress);
	const followers = Array.from({length: followerCount}, () => createStateFollower({
		clock, links, controlSeeds, listPeerAddresses: () => [],
	}));

	while (!followers.every(follower => follower.isFresh())) {
		await sleep(50);
	}

	const {output} = await system.runCli(['config', 'show', '--json']);
	let {version} = JSON.parse(output) as {version: number};
	let longestMs = 0;

	for (let change = 0; change < 5; change++) {
		const answer = await propose({
			kind: CommandKind.ChangeConfig, changeId: `bench-${followerCount}-${change}`, actor: 'bench', expectedVersion: version, upserts: [], removals: [],
			presetInForce: change % 2 === 0 ? 'peak' : 'ordinary', summary: 'bench',
		});
		const acceptedMs = clock.readMonotonicMs();
		version = answer.kind === CommandResponseKind.Accepted ? answer.version : version;
		const expectedPreset = change % 2 === 0 ? 'peak' : 'ordinary';

		while (!followers.every(follower => follower.getState().items.get('in_force') === expectedPreset)) {
			await sleep(5);
		}

		longestMs = Math.max(longestMs, clock.readMonotonicMs() - acceptedMs);
	}

	report({
		bench: `state.in_force_everywhere.${followerCount}_entries`, value: longestMs, unit: 'ms', bound: presetPropagationBoundMs,
	});
	const cpuBefore = process.cpuUsage();
	const bytesBefore = links.countBytes();
	await sleep(2000);
	const cpu = process.cpuUsage(cpuBefore);
	report({
		bench: `state.follow_bytes_per_entry.${followerCount}_entries`, value: (links.countBytes() - bytesBefore) / 2 / followerCount, unit: 'B/s', bound: maxBytesPerSecond,
	});
	report({
		bench: `state.follow_core_share_per_entry.${followerCount}_entries`, value: (cpu.user + cpu.system) / 2e6 / followerCount, unit: 'core', bound: maxCoreShare,
	});

	for (const follower of followers) {
		follower.stop();
	}
}

async function startReplica(folder: string) {
	return createReplicaRunner({
		id: 'a',
		clock,
		store: createLogStore({folder}),
		machine: createStateMachine(clock),
		send: () => undefined,
		onFailure(error) {
			throw error as Error;
		},
	});
}

/** Measures how long a replica takes to restore its state from disk after the given number of changes. */
export async function measureRestart(changes: number, report: ReportMeasurement): Promise<void> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-bench-'));
	const original = await startReplica(folder);
	await original.changeMembers([{
		id: 'a', name: 'a', address: '127.0.0.1:1', isVoter: true,
	}]);

	for (let done = 0; done < changes; done += 100) {
		await Promise.all(Array.from({length: 100}, async (_, index) => original.propose({
			...createClaimRequest(done + index), atMs: done, leaseDeadlineMs: 0, keepDeadlineMs: 1e12,
		})));
	}

	await original.stop();
	const startedMs = clock.readMonotonicMs();
	const restarted = await startReplica(folder);
	report({
		bench: `state.restart.${changes}_changes`, value: clock.readMonotonicMs() - startedMs, unit: 'ms', bound: 3000,
	});
	await restarted.stop();
	await fs.rm(folder, {recursive: true});
}

async function measureState(report: ReportMeasurement): Promise<void> {
	for (const changes of [100, 1000, 10_000]) {
		await measureRestart(changes, report);
	}

	const system = await startSystem({
		entries: 0, controls: 3, engines: 0, services: 0,
	});
	const keys = await loadClusterKeys(path.join(system.folder, 'cluster.keys'));
	const links = createLinks({getKeys: () => keys});

	try {
		const propose = createProposer(links, system.controls.map(control => control.peerAddress));
		await measureClaims(propose, report);

		for (const followerCount of [5, 20, 50]) {
			await measurePresetPropagation(system, {links, propose, followerCount}, report);
		}

		await measureFailover(system, propose, {signal: 'SIGKILL', name: 'killed'}, report);
		await measureFailover(system, propose, {signal: 'SIGSTOP', name: 'silent'}, report);
	} finally {
		links.close();
		await system.stop();
	}
}

export const stateBenchmark: Benchmark = {
	area: 'state',
	isDefault: true,
	description: 'claims, failover, restart and propagation of presets with 3 control replicas that sync to disk',
	run: measureState,
};
