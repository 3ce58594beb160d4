import {type Clock} from '@fescuestair/core';
import {type Logger} from '@fescuestair/runtime';
import {type SegmentStore} from '@fescuestair/storage';
import {
	decodeSavedOrigin, encodeSavedOrigin, isSavedOrigins, mergeOrigins, type ClockReading, type OriginTable, type RecordedOrigin, type SavedOrigin,
} from '@fescuestair/streams';

export type OriginWriterOptions = {
	readonly clock: Clock;
	readonly log: Pick<Logger, 'info' | 'warn'>;
	readonly store: Pick<SegmentStore, 'load' | 'append'>;
	/** Is given what the disk holds, and is read for what is to be written. */
	readonly table: OriginTable;
	/** Records that wait for the disk at most; the oldest give way. At least as many as the table keeps. */
	readonly maxUnsaved?: number;
	/** Calls a function once after a delay; returns a function that cancels this. */
	readonly delay?: (callback: () => void, delayMs: number) => () => void;
};

/** Writes the records of a table to a disk after they were taken: nothing waits for it. */
export type OriginWriter = {
	/** Reads the disk into the table. Resolves also where the disk fails; what it holds is then read before the next write. */
	readonly load: () => Promise<void>;
	/** Whether `load` is over, so that the table holds all that can be known here. */
	readonly hasLoaded: () => boolean;
	/** Writes the record of a stream with the next batch. */
	readonly add: (streamId: string) => void;
	/** Number of records that are not on the disk yet. */
	readonly countUnsaved: () => number;
	/** Writes what is left; resolves once this was tried. */
	readonly stop: () => Promise<void>;
};

/** Records of so short a time share a write and its sync. */
const batchDelayMs = 50;
/** Records in one write: all that come in a second at the target size. */
const maxBatchRecords = 3000;
/** Delay of the next write after one that failed. */
const retryDelayMs = 1000;
/** A write that takes this long is reported. */
const stallMs = 2000;
const defaultMaxUnsaved = 100_000;

/**
Creates the writer of a table. At most one write is under way; what is added meanwhile goes with the next one.

@example
```
const writer = createOriginWriter({clock, log, store, table});
await writer.load();
writer.add('r-1');
```
*/
export function createOriginWriter({clock, log, store, table, maxUnsaved = defaultMaxUnsaved, delay = startDelay}: OriginWriterOptions): OriginWriter {
	/** Ids in the order in which they came; the records are read from the table when they are written. */
	let unsaved = new Set<string>();
	let writing: readonly string[] = [];
	let underWay: Promise<void> | undefined;
	let cancelNext: (() => void) | undefined;
	let hasLoaded = false;
	let isRead = false;
	let isDisturbed = false;

	const readClock = (): ClockReading => ({nowMs: clock.readMonotonicMs(), wallMs: clock.readWallMs()});

	const reportDisturbance = (reason: string) => {
		if (!isDisturbed) {
			isDisturbed = true;
			log.warn('origins of streams are not saved for now', {reason, unsaved: countUnsaved()});
		}
	};

	const countUnsaved = () => unsaved.size + writing.length;

	const limitUnsaved = () => {
		while (unsaved.size > maxUnsaved) {
			const [oldest] = unsaved;
			unsaved.delete(oldest!);
		}
	};

	const readDisk = async () => {
		const reading = readClock();

		const values = await store.load(value => findLastDeadline((isSavedOrigins(value) ? value : []).map(saved => decodeSavedOrigin(saved, reading))));
		const merged = new Map<string, RecordedOrigin>();

		for (const saved of values.flatMap(value => isSavedOrigins(value) ? value : [])) {
			const [streamId] = saved;
			const known = merged.get(streamId);
			const recorded = decodeSavedOrigin(saved, reading);
			// Expired records too: the clock may have been another when each of two that differ was written.
			merged.set(streamId, known === undefined ? recorded : mergeOrigins(known, recorded));
		}

		isRead = true;
		const nowMs = clock.readMonotonicMs();
		let count = 0;

		for (const [streamId, recorded] of merged) {
			if (recorded.deadlineMs <= nowMs) {
				continue;
			}

			table.record(streamId, recorded, nowMs);
			count++;

			// Written again as one record, so that neither of the two outlives the other on the disk.
			if (table.get(streamId, nowMs)?.origin.softwareVersion === undefined) {
				unsaved.add(streamId);
			}
		}

		log.info('origins of streams were loaded', {streams: count, expired: merged.size - count, unknownValues: values.filter(value => !isSavedOrigins(value)).length});
		scheduleWrite(batchDelayMs);
	};

	const encodeBatch = (streamIds: readonly string[]) => {
		const reading = readClock();
		const recorded = streamIds.flatMap(streamId => {
			const known = table.get(streamId, reading.nowMs);

			return known === undefined ? [] : [[streamId, known] as const];
		});

		return {
			rows: recorded.map(([streamId, known]): SavedOrigin => encodeSavedOrigin(streamId, known, reading)),
			deadlineMs: findLastDeadline(recorded.map(([, known]) => known)),
		};
	};

	const writeBatch = async () => {
		const cancelStallReport = delay(() => {
			reportDisturbance(`a write has taken ${stallMs} ms`);
		}, stallMs);

		try {
			if (!isRead) {
				await readDisk();
			}

			writing = [...unsaved].slice(0, maxBatchRecords);
			unsaved = new Set([...unsaved].slice(maxBatchRecords));
			const {rows, deadlineMs} = encodeBatch(writing);

			if (rows.length > 0) {
				await store.append(rows, deadlineMs);
			}

			writing = [];

			if (isDisturbed) {
				isDisturbed = false;
				log.info('origins of streams are saved again', {unsaved: countUnsaved()});
			}
		} catch (error) {
			unsaved = new Set([...writing, ...unsaved]);
			writing = [];
			limitUnsaved();
			reportDisturbance(String(error));
		} finally {
			cancelStallReport();
		}
	};

	const runWrite = async () => {
		underWay = writeBatch();
		await underWay;
		underWay = undefined;
		scheduleWrite(isDisturbed ? retryDelayMs : batchDelayMs);
	};

	const scheduleWrite = (delayMs: number) => {
		if (unsaved.size === 0 || underWay !== undefined || !hasLoaded) {
			return;
		}

		cancelNext ??= delay(() => {
			cancelNext = undefined;
			void runWrite();
		}, delayMs);
	};

	const cancelScheduled = () => {
		cancelNext?.();
		cancelNext = undefined;
	};

	return {
		async load() {
			try {
				await readDisk();
			} catch (error) {
				reportDisturbance(String(error));
			}

			hasLoaded = true;
			scheduleWrite(isDisturbed ? retryDelayMs : batchDelayMs);
		},
		hasLoaded: () => hasLoaded,
		add(streamId) {
			unsaved.add(streamId);
			limitUnsaved();
			scheduleWrite(batchDelayMs);
		},
		countUnsaved,
		async stop() {
			cancelScheduled();
			await underWay;
			cancelScheduled();

			if (unsaved.size > 0 && hasLoaded) {
				await writeBatch();
			}
		},
	};
}

function findLastDeadline(records: readonly RecordedOrigin[]): number {
	let lastMs = Number.NEGATIVE_INFINITY;

	for (const {deadlineMs} of records) {
		lastMs = Math.max(lastMs, deadlineMs);
	}

	return lastMs;
}

function startDelay(callback: () => void, delayMs: number): () => void {
	const timer = setTimeout(callback, delayMs);

	return () => {
		clearTimeout(timer);
	};
}
