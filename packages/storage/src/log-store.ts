import path from 'node:path';
import {type FileHandle} from 'node:fs/promises';
import {type Buffer} from 'node:buffer';
import {createFinding, type Finding, invariant} from '@fescuestair/core';
import {createFileSystem, type FileSystem} from './file-system.js';
import {CorruptFileError, DiskError} from './errors.js';
import {encodeFrame, FrameFault, readFrames} from './frames.js';
import {writeFileDurably} from './durable-file.js';
import {
	type HardState, type LogEntry, type PersistBatch, type Snapshot,
} from './types.js';

export type LogStoreOptions = {
	readonly folder: string;
	readonly fileSystem?: FileSystem;
};

/** What a replica finds on its disk at start. */
export type LoadedLog = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	/** Repairs made while loading, such as a torn tail that was cut off. */
	readonly findings: readonly Finding[];
};

/** The files of one replica: one snapshot, and one log of what came after it. */
export type LogStore = {
	readonly load: () => Promise<LoadedLog>;
	/** Resolves once all batches are synced, with one sync for all. */
	readonly persist: (batches: readonly PersistBatch[]) => Promise<void>;
	/** Replaces all entries up to the snapshot's index; `rest` are the entries kept after it. */
	readonly saveSnapshot: (snapshot: Snapshot, hardState: HardState, rest: readonly LogEntry[]) => Promise<void>;
	readonly close: () => Promise<void>;
};

const initialHardState: HardState = {term: 0, votedFor: undefined};
const indexDigits = 12;

/**
Creates the store of a replica's log and snapshots. Calls must not overlap, but for `load` coming first.

@example
```
const store = createLogStore({folder: '/data/agreement'});
const {entries} = await store.load();
await store.persist([{entries: [{index: 1, term: 1, payload: {kind: 'noop'}}]}]);
```
*/
export function createLogStore(options: LogStoreOptions): LogStore {
	const {folder, fileSystem = createFileSystem()} = options;
	let handle: FileHandle | undefined;
	let size = 0;

	const openLog = async (baseIndex: number, startSize: number) => {
		const file = nameLog(folder, baseIndex);
		await handle?.close();
		handle = await runDisk(file, 'open', async () => fileSystem.open(file, startSize === 0 ? 'w' : 'r+'));
		size = startSize;
	};

	const removeOthers = async (baseIndex: number) => {
		for (const name of await fileSystem.readFolder(folder)) {
			const isObsolete = /^(?:log|snapshot)-/v.test(name) && readIndex(name) < baseIndex;

			if (isObsolete || name.endsWith('.tmp')) {
				await fileSystem.remove(path.join(folder, name));
			}
		}
	};

	return {
		async load() {
			const names = await runDisk(folder, 'listing', async () => fileSystem.readFolder(folder));
			const snapshot = await loadSnapshot(fileSystem, folder, names);
			const log = await loadLog(fileSystem, folder, names);
			await openLog(log.baseIndex, log.goodBytes);

			if (log.isTorn) {
				await handle?.truncate(log.goodBytes);
			}

			const from = (snapshot?.index ?? 0) + 1;

			return {
				hardState: log.hardState,
				snapshot,
				entries: log.entries.filter(entry => entry.index >= from),
				findings: log.findings,
			};
		},
		async persist(batches) {
			invariant(handle !== undefined, 'the store must be loaded before it is written');
			const current = handle;
			const frame = encodeFrame(batches);

			await runDisk(folder, 'append', async () => fileSystem.write(current, frame, size));
			await runDisk(folder, 'sync', async () => fileSystem.sync(current));
			size += frame.length;
		},
		async saveSnapshot(snapshot, hardState, rest) {
			const frame = encodeFrame(snapshot);
			await writeFileDurably(fileSystem, nameSnapshot(folder, snapshot.index), frame);
			const batch = encodeFrame([{hardState, entries: rest}] satisfies PersistBatch[]);
			await writeFileDurably(fileSystem, nameLog(folder, snapshot.index), batch);
			await openLog(snapshot.index, batch.length);
			await removeOthers(snapshot.index);
		},
		async close() {
			await handle?.close();
			handle = undefined;
		},
	};
}

async function loadSnapshot(fileSystem: FileSystem, folder: string, names: readonly string[]): Promise<Snapshot | undefined> {
	const name = findNewest(names, 'snapshot-');

	if (name === undefined) {
		return undefined;
	}

	const file = path.join(folder, name);
	const scan = readFrames(await runDisk(file, 'read', async () => fileSystem.readFile(file)));

	if (scan.fault !== FrameFault.None || scan.payloads.length !== 1) {
		throw new CorruptFileError(file, scan.goodBytes, 'the snapshot does not match its checksum');
	}

	return scan.payloads[0] as Snapshot;
}

type ReplayedLog = {
	readonly baseIndex: number;
	readonly goodBytes: number;
	readonly isTorn: boolean;
	readonly hardState: HardState;
	readonly entries: readonly LogEntry[];
	readonly findings: readonly Finding[];
};

async function loadLog(fileSystem: FileSystem, folder: string, names: readonly string[]): Promise<ReplayedLog> {
	const name = findNewest(names, 'log-');

	if (name === undefined) {
		return {
			baseIndex: 0, goodBytes: 0, isTorn: false, hardState: initialHardState, entries: [], findings: [],
		};
	}

	const file = path.join(folder, name);
	const bytes = await runDisk(file, 'read', async () => fileSystem.readFile(file));
	const scan = readFrames(bytes);

	if (scan.fault === FrameFault.BadChecksum) {
		throw new CorruptFileError(file, scan.goodBytes, 'a log frame does not match its checksum; this replica must rejoin as a new member');
	}

	const isTorn = scan.fault === FrameFault.TornTail;
	const tornBytes = bytes.length - scan.goodBytes;

	return {
		baseIndex: readIndex(name),
		goodBytes: scan.goodBytes,
		isTorn,
		...replayBatches((scan.payloads as ReadonlyArray<readonly PersistBatch[]>).flat()),
		findings: isTorn ? [createFinding(`${file} at byte ${scan.goodBytes}`, `cut off ${tornBytes} bytes of an unfinished write`)] : [],
	};
}

function replayBatches(batches: readonly PersistBatch[]): {hardState: HardState; entries: LogEntry[]} {
	let hardState = initialHardState;
	const entries: LogEntry[] = [];

	for (const batch of batches) {
		hardState = batch.hardState ?? hardState;
		dropFrom(entries, batch.truncateFrom);
		entries.push(...batch.entries ?? []);
	}

	return {hardState, entries};
}

function dropFrom(entries: LogEntry[], index: number | undefined): void {
	const first = entries[0];

	if (index !== undefined && first !== undefined) {
		entries.length = Math.max(0, Math.min(entries.length, index - first.index));
	}
}

function findNewest(names: readonly string[], prefix: string): string | undefined {
	return names.filter(name => name.startsWith(prefix) && !name.endsWith('.tmp')).toSorted((a, b) => readIndex(a) - readIndex(b)).at(-1);
}

function nameLog(folder: string, index: number): string {
	return path.join(folder, `log-${String(index).padStart(indexDigits, '0')}`);
}

function nameSnapshot(folder: string, index: number): string {
	return path.join(folder, `snapshot-${String(index).padStart(indexDigits, '0')}`);
}

function readIndex(name: string): number {
	return Number(name.split('-')[1]);
}

async function runDisk<Result>(file: string, operation: string, call: () => Promise<Result>): Promise<Result> {
	try {
		return await call();
	} catch (error) {
		throw new DiskError(file, operation, error);
	}
}
