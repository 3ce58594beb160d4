import fs from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStateMachine} from '@fescuestair/control';
import {createStreamOriginsHost, type StreamOriginsHost} from '@fescuestair/coordinator';
import {createSystemClock} from '@fescuestair/core';
import {createLinkCommands, LinkMessageKind, type LinkReply} from '@fescuestair/protocol';
import {createReplicaRunner} from '@fescuestair/replication';
import {createLogger} from '@fescuestair/runtime';
import {CommandKind} from '@fescuestair/state';
import {
	createFileSystem, createLogStore, createSegmentStore, type FileSystem,
} from '@fescuestair/storage';
import {encodeOriginNote} from '@fescuestair/streams';
import {createHistogram, type Histogram} from './model/histogram.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
/** 10,000 streams/s, each recorded at two of seven coordinators. */
const recordsPerSecond = 2860;
const recordIntervalMs = 10;
const lifetimeMs = 32_000;
const roundMs = 10_000;
const roundCount = 3;
/** Longer than what is recorded may wait for its batch. */
const flushMs = 500;
/** Delay between two changes, which are made one at a time. */
const changeIntervalMs = 20;

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

type Usage = {bytes: number; syncs: number; readonly writeMs: Histogram};

type Host = {
	readonly host: StreamOriginsHost;
	readonly usage: Usage;
	readonly record: (count: number) => void;
	readonly find: (streamId: string) => LinkReply | undefined;
	readonly readGauge: (name: string) => number;
};

function startHost(folder: string, overrides: Partial<FileSystem> = {}): Host {
	const fileSystem = createFileSystem(overrides);
	const usage: Usage = {bytes: 0, syncs: 0, writeMs: createHistogram()};
	const commands = createLinkCommands({onFault: () => undefined});
	const gauges = new Map<string, () => number>();
	const store = createSegmentStore({
		folder, clock,
		fileSystem: {
			...fileSystem,
			async write(handle, bytes, position) {
				usage.bytes += bytes.length;
				await fileSystem.write(handle, bytes, position);
			},
			async sync(handle) {
				usage.syncs++;
				await fileSystem.sync(handle);
			},
		},
		onFinding({place, message}) {
			throw new Error(`${place}: ${message}`);
		},
	});
	const host = createStreamOriginsHost({
		clock, commands,
		log: createLogger({instance: 'bench', isTerminal: false, writeLine: () => true}),
		metrics: {
			registerGauge(name, _help, read) {
				gauges.set(name, read);
			},
		},
		store: {
			...store,
			async append(value, deadlineMs) {
				const startedMs = clock.readMonotonicMs();
				await store.append(value, deadlineMs);
				usage.writeMs.record(clock.readMonotonicMs() - startedMs);
			},
		},
	});
	let recorded = 0;

	return {
		host, usage,
		record(count) {
			const nowMs = clock.readMonotonicMs();

			// A message of a gateway carries one record or few.
			for (let index = 0; index < count; index++) {
				const note = encodeOriginNote(formatStreamId(recorded++), {origin: {service: 'answer-models', softwareVersion: '2.14.3'}, begunAtMs: nowMs, deadlineMs: nowMs + lifetimeMs}, nowMs);
				commands.dispatch({kind: LinkMessageKind.RecordStreamOrigins, origins: [note]}, undefined);
			}
		},
		find(streamId) {
			let answer: LinkReply | undefined;
			commands.dispatch({kind: LinkMessageKind.FindStreamOrigin, streamId}, reply => {
				answer = reply;
			});

			return answer;
		},
		readGauge: name => gauges.get(name)!(),
	};
}

function formatStreamId(number: number): string {
	return `organisation-${number % 1700} 01981f6e-${String(number).padStart(12, '0')}-bench`;
}

/** Records at the rate of the target size until it is stopped. */
function startRecords({record}: Host): () => void {
	const startedMs = clock.readMonotonicMs();
	let count = 0;
	const timer = setInterval(() => {
		const due = Math.floor((clock.readMonotonicMs() - startedMs) / 1000 * recordsPerSecond) - count;
		count += due;
		record(due);
	}, recordIntervalMs);

	return () => {
		clearInterval(timer);
	};
}

async function openReplica(folder: string) {
	await fs.mkdir(folder, {recursive: true});
	const replica = await createReplicaRunner({
		id: 'a', clock, store: createLogStore({folder}), machine: createStateMachine(clock), send: () => undefined,
		onFailure(error) {
			throw error as Error;
		},
	});
	await replica.changeMembers([{
		id: 'a', name: 'a', address: '127.0.0.1:1', isVoter: true,
	}]);

	return replica;
}

/** How the disk is used beside the changes. */
enum Load {
	None = 'without_origins',
	Synced = 'with_origins',
	Unsynced = 'with_origins_unsynced',
}

async function measureChanges(folder: string, report: ReportMeasurement): Promise<void> {
	const replica = await openReplica(path.join(folder, 'agreement'));
	const latencies = new Map(Object.values(Load).map(load => [load, createHistogram()]));
	let change = 0;

	const makeChanges = async (latency: Histogram) => {
		const endMs = clock.readMonotonicMs() + roundMs;

		while (clock.readMonotonicMs() < endMs) {
			const startedMs = clock.readMonotonicMs();
			change++;
			await replica.propose({
				kind: CommandKind.Claim, organisation: 'o', key: `k${change}`, bodyDigest: 'd', requestId: `r${change}`, entryId: 'bench', atMs: 0, leaseDeadlineMs: 0, keepDeadlineMs: 1e12,
			});
			latency.record(clock.readMonotonicMs() - startedMs);
			await sleep(changeIntervalMs);
		}
	};

	// In turn, since the machine is shared.
	for (let round = 0; round < roundCount; round++) {
		for (const load of Object.values(Load)) {
			const originsFolder = path.join(folder, `${load}-${round}`);
			await fs.mkdir(originsFolder);
			const host = load === Load.None ? undefined : startHost(originsFolder, load === Load.Unsynced ? {sync: async () => undefined} : {});
			const stopRecords = host && startRecords(host);
			const cpuBefore = process.cpuUsage();
			await makeChanges(latencies.get(load)!);
			const cpu = process.cpuUsage(cpuBefore);
			stopRecords?.();
			report({bench: `origins.core_share.${load}.${round}`, value: (cpu.user + cpu.system) / 1000 / roundMs, unit: 'core'});

			if (host !== undefined) {
				report({bench: `origins.bytes_per_second.${load}.${round}`, value: host.usage.bytes / roundMs * 1000, unit: 'B/s'});
				report({bench: `origins.syncs_per_second.${load}.${round}`, value: host.usage.syncs / roundMs * 1000, unit: '1/s'});
				report({bench: `origins.append_p50.${load}.${round}`, value: host.usage.writeMs.getPercentile(50), unit: 'ms'});
				report({bench: `origins.append_p99.${load}.${round}`, value: host.usage.writeMs.getPercentile(99), unit: 'ms'});
				await host.host.stop();
			}
		}
	}

	for (const [load, latency] of latencies) {
		report({bench: `origins.change_p50.${load}`, value: latency.getPercentile(50), unit: 'ms'});
		report({bench: `origins.change_p99.${load}`, value: latency.getPercentile(99), unit: 'ms'});
		report({bench: `origins.changes.${load}`, value: latency.getCount(), unit: ''});
	}

	await replica.stop();
}

/** Measures how long a coordinator takes to load what a whole lifetime of records left. */
async function measureLoad(folder: string, report: ReportMeasurement): Promise<void> {
	await fs.mkdir(folder);
	const writer = startHost(folder);
	const stopRecords = startRecords(writer);
	await sleep(lifetimeMs);
	stopRecords();
	await sleep(flushMs);
	report({bench: 'origins.disk_bytes', value: writer.readGauge('stream_origins_disk_bytes'), unit: 'B'});
	report({bench: 'origins.records_written', value: writer.readGauge('stream_origins_held'), unit: ''});
	await writer.host.stop();
	collectGarbage();
	const bytesBefore = process.memoryUsage().heapUsed;
	const startedMs = clock.readMonotonicMs();
	const loaded = startHost(folder);

	while (loaded.find('none')?.kind === 'error') {
		await sleep(1);
	}

	report({bench: 'origins.load_ms', value: clock.readMonotonicMs() - startedMs, unit: 'ms'});
	collectGarbage();
	report({bench: 'origins.loaded_records', value: loaded.readGauge('stream_origins_held'), unit: ''});
	report({bench: 'origins.loaded_heap', value: process.memoryUsage().heapUsed - bytesBefore, unit: 'B'});
	await loaded.host.stop();
}

export const originsBenchmark: Benchmark = {
	area: 'origins',
	isDefault: false,
	description: 'origins of streams on the disk of a coordinator at the target size, beside accepted changes of one replica',
	async run(report) {
		const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fescuestair-bench-'));
		await measureChanges(folder, report);
		await measureLoad(path.join(folder, 'load'), report);
		await fs.rm(folder, {recursive: true});
	},
};
