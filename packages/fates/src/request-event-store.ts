import path from 'node:path';
import fs from 'node:fs/promises';
import {readIdTimeMs} from '@fescuestair/core';
import {encodeFrame, readFrames} from '@fescuestair/storage';
import {type RequestEvent} from '@fescuestair/protocol';

export type RequestEventStoreOptions = {
	readonly folder: string;
	/** Segments older than this are deleted. */
	readonly retentionHours?: number;
	/** Interval at which appended events are written and synced to disk. */
	readonly syncIntervalMs?: number;
	readonly readWallMs: () => number;
	readonly onError: (error: unknown) => void;
};

/** Store of request events on one disk. */
export type RequestEventStore = {
	readonly append: (events: readonly RequestEvent[]) => void;
	readonly findEvents: (requestId: string) => Promise<readonly RequestEvent[]>;
	readonly flush: () => Promise<void>;
	readonly close: () => Promise<void>;
};

const segmentDurationMs = 60_000;
const segmentNumberDigits = 10;
const hourMs = 3_600_000;

/**
Creates a store of request events: what happened to each request and how it ended. There is one segment file per minute. The timestamp in
a request's id selects the segment of all its events, so a look-up reads one file and needs no index in memory.

@example
```
const store = createRequestEventStore({folder: '/data/fates', readWallMs: Date.now, onError: console.error});
store.append([event]);
```
*/
export function createRequestEventStore(options: RequestEventStoreOptions): RequestEventStore {
	const {
		folder, retentionHours = 48, syncIntervalMs = 200, readWallMs, onError,
	} = options;
	let pending = new Map<number, RequestEvent[]>();
	let lastWrite = Promise.resolve();

	const flush = async () => {
		const batch = pending;
		pending = new Map();
		const previous = lastWrite;
		lastWrite = (async () => {
			await previous;
			await writeBatch(folder, batch);
		})();

		await lastWrite;
	};

	const flushOrReport = async () => {
		try {
			await flush();
		} catch (error) {
			// Later batches wait for `lastWrite` and must not fail with this one.
			lastWrite = Promise.resolve();
			onError(error);
		}
	};

	const removeExpired = async () => {
		try {
			await removeSegmentsBefore(folder, readWallMs() - (retentionHours * hourMs));
		} catch (error) {
			onError(error);
		}
	};

	const flushTimer = setInterval(() => {
		void flushOrReport();
	}, syncIntervalMs);
	const expiryTimer = setInterval(() => {
		void removeExpired();
	}, segmentDurationMs);

	return {
		append(events) {
			for (const event of events) {
				const segment = computeSegment(event.requestId);

				if (segment !== undefined) {
					const segmentEvents = pending.get(segment) ?? [];
					segmentEvents.push(event);
					pending.set(segment, segmentEvents);
				}
			}
		},
		async findEvents(requestId) {
			const segment = computeSegment(requestId);

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
			clearInterval(expiryTimer);
			await flush();
		},
	};
}

function computeSegment(requestId: string): number | undefined {
	const timeMs = readIdTimeMs(requestId);

	return timeMs === undefined ? undefined : Math.floor(timeMs / segmentDurationMs);
}

function formatSegmentPath(folder: string, segment: number): string {
	return path.join(folder, `fates-${String(segment).padStart(segmentNumberDigits, '0')}`);
}

async function writeBatch(folder: string, batch: ReadonlyMap<number, readonly RequestEvent[]>): Promise<void> {
	for (const [segment, events] of batch) {
		const handle = await fs.open(formatSegmentPath(folder, segment), 'a');

		try {
			await handle.appendFile(encodeFrame(events));
			await handle.datasync();
		} finally {
			await handle.close();
		}
	}
}

async function readSegment(folder: string, segment: number): Promise<readonly RequestEvent[]> {
	try {
		const scan = readFrames(await fs.readFile(formatSegmentPath(folder, segment)));

		return (scan.payloads as ReadonlyArray<readonly RequestEvent[]>).flat();
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return [];
		}

		throw error;
	}
}

async function removeSegmentsBefore(folder: string, timeMs: number): Promise<void> {
	const firstKept = Math.floor(timeMs / segmentDurationMs);

	for (const name of await fs.readdir(folder)) {
		if (name.startsWith('fates-') && Number(name.split('-')[1]) < firstKept) {
			await fs.rm(path.join(folder, name), {force: true});
		}
	}
}
