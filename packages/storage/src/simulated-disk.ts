import path from 'node:path';
import {type FileHandle} from 'node:fs/promises';
import {type FileSystem} from './file-system.js';

/** The file system of one process. After its end, operations in progress never settle. */
export type SimulatedProcess = {
	readonly fileSystem: FileSystem;
	/** Ends the process, as a kill does. What it wrote stays, synced or not. */
	readonly kill: () => void;
};

/** A disk in memory for tests, which loses what was not synced when its power is lost. */
export type SimulatedDisk = {
	/** Starts a process; `beforeOperation` is awaited before each operation, so a test can delay or end it there. */
	readonly startProcess: (beforeOperation?: (operation: keyof FileSystem) => Promise<void>) => SimulatedProcess;
	/**
	Of each write that was not synced, all, nothing or a part stays. Names that were created, changed or removed without a sync of their
	folder are kept or lost independently. Processes on the disk must have been killed.
	*/
	readonly losePower: (random: () => number) => void;
	readonly wipe: () => void;
};

type File = {content: Uint8Array; syncedContent: Uint8Array; writes: Write[]};
type Write = {readonly position: number; readonly bytes: Uint8Array} | {readonly length: number};
type NameChange = {readonly folder: string; readonly file: File; readonly isCreation: boolean; readonly apply: (names: Map<string, File>) => void};
type Handle = {readonly file: File | undefined; readonly path: string};

const neverSettles = new Promise<never>(() => {
	// The process has ended.
});
/** A torn write that keeps its length reads as zeros in a range that is at least this long. */
const minLostRangeBytes = 64;

/**
Creates an empty disk for tests.

@example
```
const disk = createSimulatedDisk();
const store = createLogStore({folder: '/data', fileSystem: disk.startProcess().fileSystem});
```
*/
export function createSimulatedDisk(): SimulatedDisk {
	let names = new Map<string, File>();
	let syncedNames = new Map<string, File>();
	let nameChanges: NameChange[] = [];

	const changeNames = (change: NameChange) => {
		change.apply(names);
		nameChanges.push(change);
	};

	const syncNames = (isSynced: (change: NameChange) => boolean) => {
		for (const change of nameChanges.filter(one => isSynced(one))) {
			change.apply(syncedNames);
		}

		nameChanges = nameChanges.filter(change => !isSynced(change));
	};

	const requireFile = (name: string) => {
		const file = names.get(name);

		if (file === undefined) {
			throw Object.assign(new Error(`ENOENT: ${name}`), {code: 'ENOENT'});
		}

		return file;
	};

	const openFile = (name: string, flags: string): Handle => {
		if (flags === 'w' && !names.has(name)) {
			const file: File = {content: new Uint8Array(), syncedContent: new Uint8Array(), writes: []};
			changeNames({
				folder: path.dirname(name), file, isCreation: true, apply: map => map.set(name, file),
			});
		}

		// A name without a file is a folder.
		const file = flags === 'r' && !names.has(name) ? undefined : requireFile(name);

		if (flags === 'w' && file !== undefined) {
			changeFile(file, {length: 0});
		}

		return {file, path: name};
	};

	const syncHandle = ({file, path: name}: Handle) => {
		if (file === undefined) {
			syncNames(change => change.folder === name);

			return;
		}

		file.syncedContent = file.content;
		file.writes = [];
		syncNames(change => change.isCreation && change.file === file);
	};

	const startProcess: SimulatedDisk['startProcess'] = (beforeOperation = async () => undefined) => {
		let isAlive = true;

		const run = async <Result>(operation: keyof FileSystem, execute: () => Result): Promise<Result> => {
			await beforeOperation(operation);

			return isAlive ? execute() : neverSettles;
		};

		const fileSystem: FileSystem = {
			open: async (name, flags) => run('open', () => createHandle(openFile(name, flags))),
			write: async (handle, bytes, position) => run('write', () => {
				changeFile(getHandle(handle).file!, {position, bytes: new Uint8Array(bytes)});
			}),
			sync: async handle => run('sync', () => {
				syncHandle(getHandle(handle));
			}),
			readFile: async name => run('readFile', () => new Uint8Array(requireFile(name).content)),
			readFolder: async folder => run('readFolder', () => [...names.keys()].filter(name => path.dirname(name) === folder).map(name => path.basename(name))),
			rename: async (from, to) => run('rename', () => {
				const file = requireFile(from);
				changeNames({
					folder: path.dirname(to), file, isCreation: false, apply(map) {
						map.delete(from);
						map.set(to, file);
					},
				});
			}),
			remove: async name => run('remove', () => {
				const file = names.get(name);

				if (file !== undefined) {
					changeNames({
						folder: path.dirname(name), file, isCreation: false, apply: map => map.delete(name),
					});
				}
			}),
		};

		return {
			fileSystem,
			kill() {
				isAlive = false;
			},
		};
	};

	return {
		startProcess,
		losePower(random) {
			const isAllLost = random() < 0.3;
			const isKept = () => !isAllLost && random() < 0.5;
			syncNames(() => isKept());
			nameChanges = [];
			names = new Map(syncedNames);

			for (const file of new Set(names.values())) {
				const lostWrites = file.writes;
				file.content = file.syncedContent;

				for (const write of lostWrites) {
					if (!isAllLost) {
						file.content = applyWrite(file.content, dropWritePart(write, random));
					}
				}

				file.syncedContent = file.content;
				file.writes = [];
			}
		},
		wipe() {
			names = new Map();
			syncedNames = new Map();
			nameChanges = [];
		},
	};
}

function changeFile(file: File, write: Write): void {
	file.content = applyWrite(file.content, write);
	file.writes.push(write);
}

function applyWrite(content: Uint8Array, write: Write | undefined): Uint8Array {
	if (write === undefined) {
		return content;
	}

	if ('length' in write) {
		return content.slice(0, write.length);
	}

	const changed = new Uint8Array(Math.max(content.length, write.position + write.bytes.length));
	changed.set(content);
	changed.set(write.bytes, write.position);

	return changed;
}

// The write is kept, lost, cut off, or keeps its length with its end missing.
function dropWritePart(write: Write, random: () => number): Write | undefined {
	const choice = random();

	if (choice < 0.5 || 'length' in write) {
		return choice < 0.25 ? undefined : write;
	}

	const keptBytes = Math.floor(random() * write.bytes.length);

	if (choice < 0.75 || write.bytes.length - keptBytes < minLostRangeBytes) {
		return {position: write.position, bytes: write.bytes.subarray(0, keptBytes)};
	}

	const bytes = new Uint8Array(write.bytes);
	bytes.fill(0, keptBytes);

	return {position: write.position, bytes};
}

const handles = new WeakMap<FileHandle, Handle>();

function createHandle(handle: Handle): FileHandle {
	const fileHandle = {
		async close() {
			handles.delete(fileHandle);
		},
		async truncate(length: number) {
			changeFile(handle.file!, {length});
		},
	} as unknown as FileHandle;
	handles.set(fileHandle, handle);

	return fileHandle;
}

function getHandle(handle: FileHandle): Handle {
	return handles.get(handle)!;
}
