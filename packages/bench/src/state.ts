import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStateHost} from '@fescuestair/control';
import {createReplicaRunner} from '@fescuestair/replication';
import {createSystemClock} from '@fescuestair/core';
import {createStateFollower} from '@fescuestair/entry';
import {startSystem, type System} from '@fescuestair/demo';
import {callChecked, LinkKind} from '@fescuestair/protocol';
import {
	AnswerKind, CommandKind, type Answer, type Request,
} from '@fescuestair/state';
import {createLogStore} from '@fescuestair/storage';
import {createLinks, loadClusterKeys, type Links} from '@fescuestair/transport';
import {createHistogram} from './model/histogram.js';
import {type Benchmark, type Report} from './report.js';

const clock = createSystemClock();
const concurrency = 64;
const loadMs = 3000;
const callTimeoutMs = 1000;
const inForceBoundMs = 3000;
const maxBytesPerSecond = 10_000;
const maxCoreShare = 0.033;

type Caller = (request: Request) => Promise<Answer>;

function createClaim(number: number): Request {
	return {
		kind: CommandKind.Claim, organisation: `o${number % 10}`, key: `k${number}`, bodyDigest: 'd', requestId: `r${number}`, entryId: 'bench', leaseMs: 15_000, keepMs: 86_400_000,
	};
}

/** Proposes at whichever replica leads, as an entry does. */
function createCaller(links: Links, addresses: readonly string[]): Caller {
	let leader = addresses[0]!;
	let turn = 0;

	return async request => {
		for (;;) {
			try {
				const reply = await callChecked(links, {address: leader, message: {kind: LinkKind.Propose, command: request}, timeoutMs: callTimeoutMs});

				if (reply.kind === 'answer') {
					return reply.answer as Answer;
				}

				leader = reply.kind === 'not_leader' && reply.leaderAddress !== undefined ? reply.leaderAddress : addresses[turn++ % addresses.length]!;
			} catch {
				leader = addresses[turn++ % addresses.length]!;
			}

			await sleep(10);
		}
	};
}

async function measureClaims(propose: Caller, report: Report): Promise<void> {
	const latency = createHistogram();
	const endMs = clock.readMonotonicMs() + loadMs;
	let number = 0;

	const work = async () => {
		while (clock.readMonotonicMs() < endMs) {
			const startedMs = clock.readMonotonicMs();
			await propose(createClaim(number++));
			latency.record(clock.readMonotonicMs() - startedMs);
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	report({bench: `state.claims_per_second.${concurrency}_at_once`, value: latency.getCount() / loadMs * 1000, unit: '1/s'});
	report({bench: `state.claim_p50.${concurrency}_at_once`, value: latency.getPercentile(50), unit: 'ms'});
	report({bench: `state.claim_p99.${concurrency}_at_once`, value: latency.getPercentile(99), unit: 'ms'});
	const single = createHistogram();

	for (let index = 0; index < 200; index++) {
		const startedMs = clock.readMonotonicMs();
		await propose(createClaim(number++));
		single.record(clock.readMonotonicMs() - startedMs);
	}

	report({bench: 'state.claim_p50.one_at_a_time', value: single.getPercentile(50), unit: 'ms'});
	report({bench: 'state.claim_p99.one_at_a_time', value: single.getPercentile(99), unit: 'ms'});
}

async function findLeader(system: System) {
	const {output} = await system.runCli(['status', '--json']);
	const {leaderName} = JSON.parse(output) as {leaderName?: string};

	return system.controls.find(control => control.name === leaderName)!;
}

// The longest time between two claims that were granted, over the loss of the leader.
async function measureFailover(system: System, propose: Caller, {signal, name}: {signal: NodeJS.Signals; name: string}, report: Report): Promise<void> {
	const leader = await findLeader(system);
	let lastMs = clock.readMonotonicMs();
	let longestMs = 0;
	const run = {isRunning: true};
	let number = 0;

	const work = async () => {
		while (run.isRunning) {
			await propose({...createClaim(number), key: `${name}/${number++}`} as Request);
			longestMs = Math.max(longestMs, clock.readMonotonicMs() - lastMs);
			lastMs = clock.readMonotonicMs();
		}
	};

	const working = work();
	await sleep(300);
	leader.process.kill(signal);
	await sleep(4000);
	run.isRunning = false;
	await working;
	report({
		bench: `state.failover_gap.${name}`, value: longestMs, unit: 'ms', bound: 3000,
	});
	leader.process.kill('SIGCONT');

	if (signal === 'SIGKILL') {
		await system.startControl(system.controls.indexOf(leader));
	}

	await sleep(1500);
}

async function measureInForce(system: System, {links, propose, count}: {links: Links; propose: Caller; count: number}, report: Report): Promise<void> {
	const controlSeeds = system.controls.map(control => control.peerAddress);
	const followers = Array.from({length: count}, () => createStateFollower({
		clock, links, controlSeeds, listPeerAddresses: () => [],
	}));

	while (!followers.every(follower => follower.isFresh())) {
		await sleep(50);
	}

	const {output} = await system.runCli(['config', 'show', '--json']);
	let {version} = JSON.parse(output) as {version: number};
	let longestMs = 0;

	for (let turn = 0; turn < 5; turn++) {
		const answer = await propose({
			kind: CommandKind.ChangeConfig, changeId: `bench-${count}-${turn}`, actor: 'bench', expectedVersion: version, upserts: [], removals: [],
			presetInForce: turn % 2 === 0 ? 'peak' : 'ordinary', summary: 'bench',
		});
		const acceptedMs = clock.readMonotonicMs();
		version = answer.kind === AnswerKind.Accepted ? answer.version : version;
		const wanted = turn % 2 === 0 ? 'peak' : 'ordinary';

		while (!followers.every(follower => follower.getState().items.get('in_force') === wanted)) {
			await sleep(5);
		}

		longestMs = Math.max(longestMs, clock.readMonotonicMs() - acceptedMs);
	}

	report({
		bench: `state.in_force_everywhere.${count}_entries`, value: longestMs, unit: 'ms', bound: inForceBoundMs,
	});
	const cpuBefore = process.cpuUsage();
	const bytesBefore = links.countBytes();
	await sleep(2000);
	const cpu = process.cpuUsage(cpuBefore);
	report({
		bench: `state.follow_bytes_per_entry.${count}_entries`, value: (links.countBytes() - bytesBefore) / 2 / count, unit: 'B/s', bound: maxBytesPerSecond,
	});
	report({
		bench: `state.follow_core_share_per_entry.${count}_entries`, value: (cpu.user + cpu.system) / 2e6 / count, unit: 'core', bound: maxCoreShare,
	});

	for (const follower of followers) {
		follower.stop();
	}
}

async function openRunner(folder: string) {
	return createReplicaRunner({
		id: 'a',
		clock,
		store: createLogStore({folder}),
		machine: createStateHost(clock),
		send: () => undefined,
		onFailure(error) {
			throw error as Error;
		},
	});
}

/** Time until a replica has read its disk, after so many changes. */
export async function measureRestart(changes: number, report: Report): Promise<void> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-bench-'));
	const first = await openRunner(folder);
	await first.changeMembers([{
		id: 'a', name: 'a', address: '127.0.0.1:1', isVoter: true,
	}]);

	for (let done = 0; done < changes; done += 100) {
		await Promise.all(Array.from({length: 100}, async (_, index) => first.propose({
			...createClaim(done + index), atMs: done, leaseDeadlineMs: 0, keepDeadlineMs: 1e12,
		})));
	}

	await first.stop();
	const startedMs = clock.readMonotonicMs();
	const second = await openRunner(folder);
	report({
		bench: `state.restart.${changes}_changes`, value: clock.readMonotonicMs() - startedMs, unit: 'ms', bound: 3000,
	});
	await second.stop();
	await fs.rm(folder, {recursive: true});
}

async function runState(report: Report): Promise<void> {
	for (const changes of [100, 1000, 10_000]) {
		await measureRestart(changes, report);
	}

	const system = await startSystem({
		entries: 0, controls: 3, engines: 0, services: 0,
	});
	const keys = await loadClusterKeys(path.join(system.folder, 'cluster.keys'));
	const links = createLinks({getKeys: () => keys});

	try {
		const propose = createCaller(links, system.controls.map(control => control.peerAddress));
		await measureClaims(propose, report);

		for (const count of [5, 20, 50]) {
			await measureInForce(system, {links, propose, count}, report);
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
	description: 'claims, failover, restart and spread with 3 control replicas and real syncs',
	run: runState,
};
