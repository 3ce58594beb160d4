import path from 'node:path';
import {type FileHandle} from 'node:fs/promises';
import {type Buffer} from 'node:buffer';
import {createFinding, type Finding, invariant} from '@fescuestair/core';
import {createFileSystem, type FileSystem} from './file-system.js';
import {CorruptFileError, DiskError} from './errors.js';
import {encodeFrame, FrameFault, readFrames} from './frames.js';
import {syncFolder, writeFileAtomically} from './atomic-file.js';
import {
	type HardState, type LogEntry, type PersistBatch, type Snapshot,
} from './types.js';

export type LogStoreOptions = {
	readonly folder: string;
	readonly fileSystem?: FileSystem;
};

/** State of a replica as loaded from its data folder at start-up. */
export type LoadedLog = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	/** Repairs made during loading, such as the truncation of a torn tail. */
	readonly findings: readonly Finding[];
};

/** Files of one replica: the latest snapshot, and a log of the entries that follow it. */
export type LogStore = {
	/** Resolves once all that was loaded is synced. */
	readonly load: () => Promise<LoadedLog>;
	/** Appends the batches as one frame; resolves after a single sync that covers all of them. */
	readonly persist: (batches: readonly PersistBatch[]) => Promise<void>;
	/** Writes the snapshot and a new log that begins with `remainingEntries`, the entries after the snapshot's index; then removes the older files. */
	readonly saveSnapshot: (snapshot: Snapshot, hardState: HardState, remainingEntries: readonly LogEntry[]) => Promise<void>;
	readonly close: () => Promise<void>;
};

const initialHardState: HardState = {term: 0, votedFor: undefined};
const indexDigitCount = 12;

/**
Creates the store of a replica's log and snapshots. `load` must be called first. Calls must not overlap.

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
	let logSize = 0;

	const openLog = async (baseIndex: number, validBytes: number) => {
		const file = buildLogPath(folder, baseIndex);
		await handle?.close();
		handle = await runDiskOperation(file, 'open', async () => fileSystem.open(file, validBytes === 0 ? 'w' : 'r+'));
		logSize = validBytes;
	};

	const removeObsoleteFiles = async (baseIndex: number) => {
		for (const name of await fileSystem.readFolder(folder)) {
			const isObsolete = /^(?:log|snapshot)-/v.test(name) && parseIndex(name) < baseIndex;

			if (isObsolete || name.endsWith('.tmp')) {
				await fileSystem.remove(path.join(folder, name));
			}
		}
	};

	// An earlier process may have been killed between a write, or a rename, and its sync. What is loaded counts as durable from here on: this
	// replica answers for it without another sync.
	const syncLoaded = async () => {
		const logHandle = handle;
		invariant(logHandle !== undefined, 'the log is open');
		await runDiskOperation(folder, 'sync', async () => fileSystem.sync(logHandle));
		await runDiskOperation(folder, 'sync', async () => syncFolder(fileSystem, folder));
	};

	return {
		async load() {
			const names = await runDiskOperation(folder, 'listing', async () => fileSystem.readFolder(folder));
			const snapshot = await loadSnapshot(fileSystem, folder, names);
			const log = await loadLog(fileSystem, folder, names);
			await openLog(log.baseIndex, log.validBytes);

			if (log.hasTornTail) {
				await handle?.truncate(log.validBytes);
			}

			await syncLoaded();

			const firstIndex = (snapshot?.index ?? 0) + 1;

			return {
				hardState: log.hardState,
				snapshot,
				entries: log.entries.filter(entry => entry.index >= firstIndex),
				findings: log.findings,
			};
		},
		async persist(batches) {
			invariant(handle !== undefined, 'the store must be loaded before persist() is called');
			const logHandle = handle;
			const batchFrame = encodeFrame(batches);

			await runDiskOperation(folder, 'append', async () => fileSystem.write(logHandle, batchFrame, logSize));

			try {
				await runDiskOperation(folder, 'sync', async () => fileSystem.sync(logHandle));
			} catch (error) {
				// The system may take the written pages for clean now, so that a later sync would succeed and store nothing.
				await runDiskOperation(folder, 'truncation', async () => logHandle.truncate(logSize));

				throw error;
			}

			logSize += batchFrame.length;
		},
		async saveSnapshot(snapshot, hardState, remainingEntries) {
			const snapshotFrame = encodeFrame(snapshot);
			await writeFileAtomically(fileSystem, buildSnapshotPath(folder, snapshot.index), snapshotFrame);
			const logFrame = encodeFrame([{hardState, entries: remainingEntries}] satisfies PersistBatch[]);
			await writeFileAtomically(fileSystem, buildLogPath(folder, snapshot.index), logFrame);
			await openLog(snapshot.index, logFrame.length);
			await removeObsoleteFiles(snapshot.index);
		},
		async close() {
			await handle?.close();
			handle = undefined;
		},
	};
}

async function loadSnapshot(fileSystem: FileSystem, folder: string, names: readonly string[]): Promise<Snapshot | undefined> {
	const name = findNewestFile(names, 'snapshot-');

	if (name === undefined) {
		return undefined;
	}

	const file = path.join(folder, name);
	const scan = readFrames(await runDiskOperation(file, 'read', async () => fileSystem.readFile(file)));

	if (scan.fault !== FrameFault.None || scan.payloads.length !== 1) {
		throw new CorruptFileError(file, scan.validBytes, 'the snapshot does not match its checksum');
	}

	return scan.payloads[0] as Snapshot;
}

type ReplayedLog = {
	readonly baseIndex: number;
	readonly validBytes: number;
	readonly hasTornTail: boolean;
	readonly hardState: HardState;
	readonly entries: readonly LogEntry[];
	readonly findings: readonly Finding[];
};

async function loadLog(fileSystem: FileSystem, folder: string, names: readonly string[]): Promise<ReplayedLog> {
	const name = findNewestFile(names, 'log-');

	if (name === undefined) {
		return {
			baseIndex: 0, validBytes: 0, hasTornTail: false, hardState: initialHardState, entries: [], findings: [],
		};
	}

	const file = path.join(folder, name);
	const bytes = await runDiskOperation(file, 'read', async () => fileSystem.readFile(file));
	const scan = readFrames(bytes);

	if (scan.fault === FrameFault.ChecksumMismatch) {
		throw new CorruptFileError(file, scan.validBytes, 'a log frame does not match its checksum; this replica must rejoin as a new member');
	}

	const hasTornTail = scan.fault === FrameFault.TornTail;
	const tornBytes = bytes.length - scan.validBytes;

	return {
		baseIndex: parseIndex(name),
		validBytes: scan.validBytes,
		hasTornTail,
		...replayBatches((scan.payloads as ReadonlyArray<readonly PersistBatch[]>).flat()),
		findings: hasTornTail ? [createFinding(`${file} at byte ${scan.validBytes}`, `cut off ${tornBytes} bytes of an unfinished write`)] : [],
	};
}

function replayBatches(batches: readonly PersistBatch[]): {hardState: HardState; entries: LogEntry[]} {
	let hardState = initialHardState;
	const entries: LogEntry[] = [];

	for (const batch of batches) {
		hardState = batch.hardState ?? hardState;
		removeEntriesFrom(entries, batch.truncateFrom);
		entries.push(...batch.entries ?? []);
	}

	return {hardState, entries};
}

function removeEntriesFrom(entries: LogEntry[], index: number | undefined): void {
	const first = entries[0];

	if (index !== undefined && first !== undefined) {
		entries.length = Math.max(0, Math.min(entries.length, index - first.index));
	}
}

function findNewestFile(names: readonly string[], prefix: string): string | undefined {
	return names.filter(name => name.startsWith(prefix) && !name.endsWith('.tmp')).toSorted((a, b) => parseIndex(a) - parseIndex(b)).at(-1);
}

function buildLogPath(folder: string, index: number): string {
	return path.join(folder, `log-${String(index).padStart(indexDigitCount, '0')}`);
}

function buildSnapshotPath(folder: string, index: number): string {
	return path.join(folder, `snapshot-${String(index).padStart(indexDigitCount, '0')}`);
}

function parseIndex(name: string): number {
	return Number(name.split('-')[1]);
}

async function runDiskOperation<Result>(file: string, operation: string, execute: () => Promise<Result>): Promise<Result> {
	try {
		return await execute();
	} catch (error) {
		throw new DiskError(file, operation, error);
	}
}
