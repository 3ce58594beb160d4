import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {readMessage} from '@fescuestair/transport';

/** How the reading of a request's body ended. */
export enum BodyReadEnd {
	Complete = 'complete',
	/** It has more bytes than the configuration allows. */
	TooLarge = 'too_large',
	/** The bodies of all requests in progress leave no room for it now. */
	NoRoom = 'no_room',
	/** The caller closed the connection before the body was complete. */
	CallerGone = 'caller_gone',
}

export type BodyRead = {readonly end: BodyReadEnd.Complete; readonly body: Buffer} | {readonly end: Exclude<BodyReadEnd, BodyReadEnd.Complete>};

/** The bodies of all requests in progress, which are bounded together. */
export type RequestBodies = {
	/** Reads the body of a request. One that is complete counts until `release` is called. */
	readonly read: (request: IncomingMessage, maxBodyBytes: number) => Promise<BodyRead>;
	readonly release: (body: Buffer) => void;
	readonly countBytes: () => number;
};

export type RequestBodiesOptions = {
	/** Upper bound for all bodies together, those that are still read included. */
	readonly maxBytes?: number;
};

const defaultMaxBytes = 64_000_000;

/**
Creates the account of request bodies.

@example
```
const bodies = createRequestBodies();
const read = await bodies.read(request, 4_194_304);
```
*/
export function createRequestBodies({maxBytes = defaultMaxBytes}: RequestBodiesOptions = {}): RequestBodies {
	let totalBytes = 0;
	/** Bodies that are not complete, in the order in which their requests came. */
	const reading = new Set<ReadingBody>();

	const drop = (partial: ReadingBody, end: BodyReadEnd.NoRoom | BodyReadEnd.CallerGone) => {
		reading.delete(partial);
		totalBytes -= partial.bytes;
		partial.bytes = 0;
		partial.refusal = end;
	};

	// The latest request gives way, so that those before it come to their end.
	const makeRoom = (addedBytes: number, asking: ReadingBody) => {
		for (const latest of [...reading].toReversed()) {
			if (totalBytes + addedBytes <= maxBytes || latest === asking) {
				return;
			}

			drop(latest, BodyReadEnd.NoRoom);
			latest.abort.abort();
		}
	};

	return {
		async read(request, maxBodyBytes) {
			const partial: ReadingBody = {bytes: 0, abort: new AbortController(), refusal: BodyReadEnd.TooLarge};
			reading.add(partial);

			const canTake = (size: number) => {
				const addedBytes = size - partial.bytes;

				if (size > maxBodyBytes) {
					return false;
				}

				makeRoom(addedBytes, partial);

				if (totalBytes + addedBytes > maxBytes) {
					drop(partial, BodyReadEnd.NoRoom);

					return false;
				}

				totalBytes += addedBytes;
				partial.bytes = size;

				return true;
			};

			try {
				const body = await readMessage(request, {canTake, signal: partial.abort.signal});

				if (body !== undefined) {
					reading.delete(partial);

					return {end: BodyReadEnd.Complete, body};
				}
			} catch {
				if (!partial.abort.signal.aborted) {
					drop(partial, BodyReadEnd.CallerGone);
				}
			}

			reading.delete(partial);
			totalBytes -= partial.bytes;

			return {end: partial.refusal};
		},
		release(body) {
			totalBytes -= body.length;
		},
		countBytes: () => totalBytes,
	};
}

type ReadingBody = {bytes: number; readonly abort: AbortController; refusal: Exclude<BodyReadEnd, BodyReadEnd.Complete>};
