import path from 'node:path';
import {type FileHandle} from 'node:fs/promises';
import {createFinding, type Clock, type Finding} from '@fescuestair/core';
import {syncFolder} from './atomic-file.js';
import {DiskError} from './errors.js';
import {createFileSystem, type FileSystem} from './file-system.js';
import {encodeFrame, FrameFault, readFrames} from './frames.js';

export type SegmentStoreOptions = {
	/** Must exist, and hold nothing else. */
	readonly folder: string;
	readonly fileSystem?: FileSystem;
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	/** Bytes that all segments may take together; the oldest give way. */
	readonly maxBytes?: number;
	/** Bytes after which a new segment is begun. */
	readonly maxSegmentBytes?: number;
	/** Time after which a new segment is begun. */
	readonly maxSegmentAgeMs?: number;
	/** Called with each repair, such as the bytes of an unfinished write that were left out. */
	readonly onFinding: (finding: Finding) => void;
};

/**
Values that count only until a deadline, in a bounded number of files. A file is removed once all of its values have expired; none is changed after the process
that began it has ended, or after a write to it has failed. Calls must not overlap.
*/
export type SegmentStore = {
	/**
	Reads all values, expired or not, in the order in which they were appended; `getDeadlineMs` tells until when one counts. What cannot be read is reported and
	left out. Throws a `DiskError` if the folder cannot be read.
	*/
	readonly load: (getDeadlineMs: (value: unknown) => number) => Promise<readonly unknown[]>;
	/** Appends a value; resolves after a single sync. Throws a `DiskError`; the value may be loaded later all the same. */
	readonly append: (value: unknown, deadlineMs: number) => Promise<void>;
	readonly countBytes: () => number;
	readonly close: () => Promise<void>;
};

type Segment = {readonly file: string; readonly bytes: number; readonly deadlineMs: number};
type OpenSegment = {readonly handle: FileHandle; readonly begunAtMs: number};

const defaultMaxBytes = 24_000_000;
const defaultMaxSegmentBytes = 1_000_000;
const defaultMaxSegmentAgeMs = 10_000;
const numberDigitCount = 12;
const unreadableSuffix = '.unreadable';

/**
Creates a store of values with deadlines.

@example
```
const store = createSegmentStore({folder: '/data/origins', clock, onFinding});
const values = await store.load(value => value.deadlineMs);
await store.append({id: 'r-1', deadlineMs}, deadlineMs);
```
*/
export function createSegmentStore(options: SegmentStoreOptions): SegmentStore {
	const {
		folder, fileSystem = createFileSystem(), clock, maxBytes = defaultMaxBytes, maxSegmentBytes = defaultMaxSegmentBytes,
		maxSegmentAgeMs = defaultMaxSegmentAgeMs, onFinding,
	} = options;
	/** Oldest first. While a segment is open, it is the last one. */
	let segments: readonly Segment[] = [];
	let open: OpenSegment | undefined;
	let nextNumber = 1;

	const countBytes = () => {
		let sum = 0;

		for (const {bytes} of segments) {
			sum += bytes;
		}

		return sum;
	};

	const closeSegment = async () => {
		const handle = open?.handle;
		open = undefined;
		await handle?.close();
	};

	const openSegment = async () => {
		const file = path.join(folder, `segment-${String(nextNumber).padStart(numberDigitCount, '0')}`);
		nextNumber++;
		const handle = await fileSystem.open(file, 'w');
		open = {handle, begunAtMs: clock.readMonotonicMs()};
		segments = [...segments, {file, bytes: 0, deadlineMs: Number.NEGATIVE_INFINITY}];
		await syncFolder(fileSystem, folder);

		return handle;
	};

	// The open segment stays, since its handle is in use.
	const removeSegments = async (isObsolete: (segment: Segment) => boolean) => {
		for (const segment of open === undefined ? segments : segments.slice(0, -1)) {
			if (isObsolete(segment)) {
				await fileSystem.remove(segment.file);
				segments = segments.filter(other => other !== segment);
			}
		}
	};

	const makeRoom = async (addedBytes: number) => {
		const nowMs = clock.readMonotonicMs();
		const {bytes: openBytes} = (open === undefined ? undefined : segments.at(-1)) ?? {bytes: 0};

		if (openBytes + addedBytes > maxSegmentBytes || (open !== undefined && nowMs - open.begunAtMs >= maxSegmentAgeMs)) {
			await closeSegment();
		}

		await removeSegments(({deadlineMs}) => deadlineMs <= nowMs);
		await removeSegments(() => countBytes() + addedBytes > maxBytes);
	};

	// Frees the space of a write that failed, and what follows goes to another file: after a failed sync, a later one may succeed and store nothing.
	const abandonSegment = async () => {
		if (open === undefined) {
			return;
		}

		const segment = segments.at(-1)!;
		const {handle} = open;
		open = undefined;

		try {
			await handle.truncate(segment.bytes);
			await handle.close();
		} catch (error) {
			onFinding(createFinding(segment.file, `could not be cut off after a failed write: ${String(error)}`));
		}
	};

	const write = async (bytes: Uint8Array) => {
		await makeRoom(bytes.length);

		try {
			const handle = open?.handle ?? await openSegment();
			await fileSystem.write(handle, bytes, segments.at(-1)!.bytes);
			await fileSystem.sync(handle);
		} catch (error) {
			await abandonSegment();

			throw error;
		}
	};

	const setAside = async (name: string, error: unknown) => {
		const file = path.join(folder, name);
		onFinding(createFinding(file, `set aside, since it cannot be read: ${String(error)}`));

		try {
			await fileSystem.rename(file, `${file}${unreadableSuffix}`);
		} catch (renamingError) {
			onFinding(createFinding(file, `could not be set aside: ${String(renamingError)}`));
		}
	};

	const loadSegment = async (name: string) => {
		const file = path.join(folder, name);

		try {
			const bytes = await fileSystem.readFile(file);

			return {file, bytes: bytes.length, scan: readFrames(bytes)};
		} catch (error) {
			await setAside(name, error);

			return undefined;
		}
	};

	return {
		async load(getDeadlineMs) {
			const values: unknown[] = [];
			segments = [];

			try {
				await closeSegment();
				const names = await fileSystem.readFolder(folder);
				const segmentNames = names.filter(name => /^segment-\d+$/v.test(name)).toSorted();
				nextNumber = 1 + Math.max(0, ...names.map(name => parseNumber(name)));

				// One file that was set aside is kept for a look at it.
				for (const name of names.filter(each => each.endsWith(unreadableSuffix)).toSorted().slice(0, -1)) {
					await fileSystem.remove(path.join(folder, name));
				}

				for (const name of segmentNames) {
					const loaded = await loadSegment(name);

					if (loaded === undefined) {
						continue;
					}

					const {file, bytes, scan} = loaded;

					if (scan.fault !== FrameFault.None) {
						onFinding(createFinding(`${file} at byte ${scan.validBytes}`, `left out ${bytes - scan.validBytes} bytes: ${scan.fault}`));
					}

					let deadlineMs = Number.NEGATIVE_INFINITY;

					for (const value of scan.payloads) {
						deadlineMs = Math.max(deadlineMs, getDeadlineMs(value));
						values.push(value);
					}

					segments = [...segments, {file, bytes, deadlineMs}];
				}
			} catch (error) {
				throw new DiskError(folder, 'listing', error);
			}

			return values;
		},
		async append(value, deadlineMs) {
			const frame = encodeFrame(value);

			try {
				await write(frame);
			} catch (error) {
				throw new DiskError(folder, 'append', error);
			}

			const {file, bytes, deadlineMs: latestMs} = segments.at(-1)!;
			segments = [...segments.slice(0, -1), {file, bytes: bytes + frame.length, deadlineMs: Math.max(latestMs, deadlineMs)}];
		},
		countBytes,
		close: closeSegment,
	};
}

function parseNumber(name: string): number {
	return Number(/^segment-(?<number>\d+)/v.exec(name)?.groups!.number ?? 0);
}
