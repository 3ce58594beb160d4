import path from 'node:path';
import fs from 'node:fs/promises';
import {readIdTimeMs} from '@fescuestair/core';
import {encodeFrame, readFrames} from '@fescuestair/storage';
import {type FateEvent} from '@fescuestair/protocol';

export type FateStoreOptions = {
	readonly folder: string;
	/** Segments older than this are removed. */
	readonly keepHours?: number;
	/** Events wait at most this long for their sync. */
	readonly syncMs?: number;
	readonly readWallMs: () => number;
	readonly onError: (error: unknown) => void;
};

/** The fate events kept on one disk. */
export type FateStore = {
	readonly append: (events: readonly FateEvent[]) => void;
	readonly findEvents: (requestId: string) => Promise<readonly FateEvent[]>;
	readonly flush: () => Promise<void>;
	readonly close: () => Promise<void>;
};

const segmentMs = 60_000;
const segmentDigits = 10;
const hourMs = 3_600_000;

/**
Creates a store of fate events. A request's events all stand in the segment of the minute that its id carries, so that
a look-up reads one file and no index is kept in memory.

@example
```
const store = createFateStore({folder: '/data/fates', readWallMs: Date.now, onError: console.error});
store.append([event]);
```
*/
export function createFateStore(options: FateStoreOptions): FateStore {
	const {
		folder, keepHours = 48, syncMs = 200, readWallMs, onError,
	} = options;
	let pending = new Map<number, FateEvent[]>();
	let writing = Promise.resolve();

	const flush = async () => {
		const batch = pending;
		pending = new Map();
		const previous = writing;
		writing = (async () => {
			await previous;
			await writeBatch(folder, batch);
		})();

		await writing;
	};

	const flushOrReport = async () => {
		try {
			await flush();
		} catch (error) {
			writing = Promise.resolve();
			onError(error);
		}
	};

	const removeOld = async () => {
		try {
			await removeSegmentsBefore(folder, readWallMs() - (keepHours * hourMs));
		} catch (error) {
			onError(error);
		}
	};

	const flushTimer = setInterval(() => {
		void flushOrReport();
	}, syncMs);
	const removeTimer = setInterval(() => {
		void removeOld();
	}, segmentMs);

	return {
		append(events) {
			for (const event of events) {
				const segment = findSegment(event.requestId);

				if (segment !== undefined) {
					const waiting = pending.get(segment) ?? [];
					waiting.push(event);
					pending.set(segment, waiting);
				}
			}
		},
		async findEvents(requestId) {
			const segment = findSegment(requestId);

			if (segment === undefined) {
				return [];
			}

			await flush();

			const events = await readSegment(folder, segment);

			return events.filter(event => event.requestId === requestId);
		},
		flush,
		async close() {
			clearInterval(flushTimer);
			clearInterval(removeTimer);
			await flush();
		},
	};
}

function findSegment(requestId: string): number | undefined {
	const timeMs = readIdTimeMs(requestId);

	return timeMs === undefined ? undefined : Math.floor(timeMs / segmentMs);
}

function nameSegment(folder: string, segment: number): string {
	return path.join(folder, `fates-${String(segment).padStart(segmentDigits, '0')}`);
}

async function writeBatch(folder: string, batch: ReadonlyMap<number, readonly FateEvent[]>): Promise<void> {
	for (const [segment, events] of batch) {
		const handle = await fs.open(nameSegment(folder, segment), 'a');

		try {
			await handle.appendFile(encodeFrame(events));
			await handle.datasync();
		} finally {
			await handle.close();
		}
	}
}

async function readSegment(folder: string, segment: number): Promise<readonly FateEvent[]> {
	try {
		const scan = readFrames(await fs.readFile(nameSegment(folder, segment)));

		return (scan.payloads as ReadonlyArray<readonly FateEvent[]>).flat();
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return [];
		}

		throw error;
	}
}

async function removeSegmentsBefore(folder: string, timeMs: number): Promise<void> {
	const oldest = Math.floor(timeMs / segmentMs);

	for (const name of await fs.readdir(folder)) {
		if (name.startsWith('fates-') && Number(name.split('-')[1]) < oldest) {
			await fs.rm(path.join(folder, name), {force: true});
		}
	}
}
