import {
	isArrayOf, isFiniteNumber, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {maxOriginNameLength, type RecordedOrigin} from './origin-table.js';

/** What began a stream, as kept on a disk: with times of the wall clock, since the monotonic one does not survive the process. The version is empty where it is not known. */
export type SavedOrigin = readonly [streamId: string, service: string, softwareVersion: string, begunAtWallMs: number, deadlineWallMs: number];

/** Both clocks at one moment. */
export type ClockReading = {readonly nowMs: number; readonly wallMs: number};

const maxSavedOrigins = 100_000;
const isName = isStringUpTo(maxOriginNameLength);
const isSavedOrigin = isTupleOf(isName, isName, isName, isFiniteNumber, isFiniteNumber) as TypeGuard<unknown> as TypeGuard<SavedOrigin>;

export const isSavedOrigins = isArrayOf(isSavedOrigin, maxSavedOrigins);

/**
Encodes a record for the disk.

@example
```
encodeSavedOrigin('r-1', recorded, {nowMs: 5000, wallMs: 1_700_000_005_000});
```
*/
export function encodeSavedOrigin(streamId: string, {origin, begunAtMs, deadlineMs}: RecordedOrigin, {nowMs, wallMs}: ClockReading): SavedOrigin {
	const toWallMs = (atMs: number) => Math.round(wallMs + atMs - nowMs);

	return [streamId, origin.service, origin.softwareVersion ?? '', toWallMs(begunAtMs), toWallMs(deadlineMs)];
}

/**
Decodes a record from the disk. The wall clock may have jumped since: where it was set ahead, the record expires early; where it was set back, the record stays for no
longer than its caller waited in all.

@example
```
decodeSavedOrigin(['r-1', 'app', 'v1', 0, 10_000], {nowMs: 50, wallMs: 4000}); //=> {origin: {service: 'app', softwareVersion: 'v1'}, begunAtMs: -3950, deadlineMs: 6050}
```
*/
export function decodeSavedOrigin([, service, softwareVersion, begunAtWallMs, deadlineWallMs]: SavedOrigin, {nowMs, wallMs}: ClockReading): RecordedOrigin {
	const leftMs = Math.min(deadlineWallMs - wallMs, deadlineWallMs - begunAtWallMs);

	return {
		origin: {service, softwareVersion: softwareVersion === '' ? undefined : softwareVersion},
		begunAtMs: nowMs - Math.max(0, wallMs - begunAtWallMs),
		deadlineMs: nowMs + leftMs,
	};
}
