import {
	isArrayOf, isNumberInRange, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {type StreamOrigin} from './decide-continuation.js';

/** What began a stream, as sent between daemons. Carries spans instead of times, since clocks differ. The version is empty where it is not known. */
export type OriginNote = readonly [streamId: string, service: string, softwareVersion: string, leftMs: number, ageMs: number];

/** Longest id of a stream, name of a service or version in a note. */
export const maxOriginNameLength = 1000;
/** One day, far longer than any caller waits. */
const maxSpanMs = 86_400_000;
const maxNotes = 100_000;

const isName = isStringUpTo(maxOriginNameLength);
const isSpanMs = isNumberInRange(0, maxSpanMs);
const isOriginNote = isTupleOf(isName, isName, isName, isSpanMs, isSpanMs) as TypeGuard<unknown> as TypeGuard<OriginNote>;

export const isOriginNotes = isArrayOf(isOriginNote, maxNotes);

export type RecordedOrigin = {
	readonly origin: StreamOrigin;
	/** When the stream began. */
	readonly begunAtMs: number;
	/** When its caller no longer waits for it. */
	readonly deadlineMs: number;
};

/** What began each of the streams that callers may still take up again, by the id of the attempt that brought the first event. Owned by one task. */
export type OriginTable = {
	/**
	Records what began a stream. Two records of one stream that differ make its origin unknown for good. Returns whether anything is known now that was not before,
	but for a deadline that is little later.
	*/
	readonly record: (streamId: string, recorded: RecordedOrigin, nowMs: number) => boolean;
	readonly get: (streamId: string, nowMs: number) => RecordedOrigin | undefined;
	readonly list: (nowMs: number) => Iterable<readonly [streamId: string, recorded: RecordedOrigin]>;
	readonly count: () => number;
	/** Number of records that gave way to newer ones before their deadline, for lack of room. */
	readonly countDropped: () => number;
};

export type OriginTableOptions = {
	/** Records that are kept at most; the oldest give way. */
	readonly maxRecords?: number;
};

const defaultMaxRecords = 100_000;
/** Interval at which expired records are removed. */
const expiryIntervalMs = 1000;
/** Deadlines of one record that was sent twice differ by the time on the way. */
const minLaterMs = 1000;

/**
Creates an empty table.

@example
```
const table = createOriginTable();
table.record('r-1', {origin: {service: 'app', softwareVersion: 'v1'}, begunAtMs: 0, deadlineMs: 10_000}, 0);
table.get('r-1', 5000)?.origin.softwareVersion; //=> 'v1'
```
*/
export function createOriginTable({maxRecords = defaultMaxRecords}: OriginTableOptions = {}): OriginTable {
	const records = new Map<string, RecordedOrigin>();
	let expiresAtMs = Number.NEGATIVE_INFINITY;
	let droppedCount = 0;

	const expire = (nowMs: number) => {
		if (nowMs < expiresAtMs) {
			return;
		}

		expiresAtMs = nowMs + expiryIntervalMs;

		for (const [streamId, {deadlineMs}] of records) {
			if (deadlineMs <= nowMs) {
				records.delete(streamId);
			}
		}
	};

	const get = (streamId: string, nowMs: number) => {
		const recorded = records.get(streamId);

		return recorded !== undefined && recorded.deadlineMs > nowMs ? recorded : undefined;
	};

	return {
		record(streamId, recorded, nowMs) {
			expire(nowMs);
			const known = get(streamId, nowMs);
			const merged = known === undefined ? recorded : mergeOrigins(known, recorded);
			records.set(streamId, merged);

			if (records.size > maxRecords) {
				const [oldest] = records.keys();
				records.delete(oldest!);
				droppedCount++;
			}

			return known === undefined || merged.origin.softwareVersion !== known.origin.softwareVersion || merged.deadlineMs > known.deadlineMs + minLaterMs;
		},
		get,
		* list(nowMs) {
			for (const [streamId, recorded] of records) {
				if (recorded.deadlineMs > nowMs) {
					yield [streamId, recorded];
				}
			}
		},
		count: () => records.size,
		countDropped: () => droppedCount,
	};
}

/**
Merges two records of one stream; where they differ, the version is unknown.

@example
```
mergeOrigins(recordOfV1, recordOfV2).origin.softwareVersion; //=> undefined
```
*/
export function mergeOrigins(known: RecordedOrigin, recorded: RecordedOrigin): RecordedOrigin {
	const isSame = known.origin.service === recorded.origin.service && known.origin.softwareVersion === recorded.origin.softwareVersion;

	return {
		origin: isSame ? known.origin : {service: known.origin.service, softwareVersion: undefined},
		begunAtMs: Math.min(known.begunAtMs, recorded.begunAtMs),
		deadlineMs: Math.max(known.deadlineMs, recorded.deadlineMs),
	};
}

// One note that is not taken would take the others of its message with it.
function encodeSpan(spanMs: number): number {
	return Math.min(maxSpanMs, Math.max(0, Math.round(spanMs)));
}

/** Encodes a record for another daemon; a caller that waits for longer than a day counts as waiting for a day. */
export function encodeOriginNote(streamId: string, {origin, begunAtMs, deadlineMs}: RecordedOrigin, nowMs: number): OriginNote {
	return [streamId, origin.service, origin.softwareVersion ?? '', encodeSpan(deadlineMs - nowMs), encodeSpan(nowMs - begunAtMs)];
}

/**
Decodes a record of another daemon.

@example
```
decodeOriginNote(['r-1', 'app', 'v1', 9000, 1000], 5000); //=> {origin: {service: 'app', softwareVersion: 'v1'}, begunAtMs: 4000, deadlineMs: 14_000}
```
*/
export function decodeOriginNote([, service, softwareVersion, leftMs, ageMs]: OriginNote, nowMs: number): RecordedOrigin {
	return {origin: {service, softwareVersion: softwareVersion === '' ? undefined : softwareVersion}, begunAtMs: nowMs - ageMs, deadlineMs: nowMs + leftMs};
}
