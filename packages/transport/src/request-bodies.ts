import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {createMemoryBudget, pickSlowest, type MemoryBudget} from './memory-budget.js';
import {readMessage} from './read-message.js';

/** How the reading of a request's body ended. */
export enum BodyReadEnd {
	Complete = 'complete',
	/** It has more bytes than the configuration allows. */
	TooLarge = 'too_large',
	/** What is held for all callers leaves no room for it now. */
	NoRoom = 'no_room',
	/** The caller closed the connection before the body was complete. */
	CallerGone = 'caller_gone',
}

/** A complete body counts until it is released. */
export type BodyRead
	= | {readonly end: BodyReadEnd.Complete; readonly body: Buffer; readonly release: () => void}
		| {readonly end: BodyRefusal};

export type BodyRefusal = Exclude<BodyReadEnd, BodyReadEnd.Complete>;

/** The bodies of all requests in progress, which are bounded together. */
export type RequestBodies = {
	/** Throws the reason of the signal once that is given. */
	readonly read: (request: IncomingMessage, maxBodyBytes: number, signal?: AbortSignal) => Promise<BodyRead>;
	readonly countBytes: () => number;
};

export type RequestBodiesOptions = {
	/** Upper bound for all bodies together, those that are still read included, where they have a budget of their own. */
	readonly maxBytes?: number;
	/** The budget in which they count. */
	readonly budget?: Pick<MemoryBudget, 'open'>;
};

const defaultMaxBytes = 64_000_000;
/** Shorter bodies count by what has arrived of them. */
const minReservedBytes = 65_536;

/**
Creates the account of request bodies. Where there is no room for all, one whose body is not complete gives way: the slowest, or else the latest.

@example
```
const bodies = createRequestBodies();
const read = await bodies.read(request, 4_194_304);
```
*/
export function createRequestBodies({maxBytes = defaultMaxBytes, budget = createMemoryBudget({maxBytes, pickVictim: pickSlowest})}: RequestBodiesOptions = {}): RequestBodies {
	let totalBytes = 0;

	return {
		async read(request, maxBodyBytes, signal) {
			const announcedBytes = Number(request.headers['content-length'] ?? 0);

			if (announcedBytes > maxBodyBytes) {
				return {end: BodyReadEnd.TooLarge};
			}

			const abort = new AbortController();
			let bytes = 0;
			let hasRoom = true;
			const holding = budget.open(() => {
				hasRoom = false;
				abort.abort();
			});

			const release = () => {
				totalBytes -= bytes;
				bytes = 0;
				holding.release();
			};

			// The memory of a long body is taken before it has arrived, since that of one that has to give way is not free at once.
			const reservedBytes = announcedBytes >= minReservedBytes ? announcedBytes : 0;

			const canTake = (size: number, memoryBytes: number) => {
				totalBytes += size - bytes;
				bytes = size;

				if (size <= reservedBytes) {
					holding.recordProgress(size);

					return hasRoom;
				}

				return size <= maxBodyBytes && holding.resize(Math.max(size, memoryBytes));
			};

			const forwardAbort = () => {
				abort.abort();
			};

			signal?.addEventListener('abort', forwardAbort);

			try {
				if (reservedBytes > 0) {
					holding.resize(reservedBytes);
				}

				const body = await readMessage(request, {canTake, signal: abort.signal, maxBytes: maxBodyBytes});

				if (body !== undefined) {
					holding.keep();

					return {end: BodyReadEnd.Complete, body, release};
				}
			} catch {
				release();
				signal?.throwIfAborted();

				return {end: hasRoom ? BodyReadEnd.CallerGone : BodyReadEnd.NoRoom};
			} finally {
				signal?.removeEventListener('abort', forwardAbort);
			}

			release();

			return {end: hasRoom ? BodyReadEnd.TooLarge : BodyReadEnd.NoRoom};
		},
		countBytes: () => totalBytes,
	};
}
