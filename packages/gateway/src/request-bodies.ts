import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {readMessage} from '@fescuestair/transport';
import {createMemoryBudget, pickLatest} from './memory-budget.js';

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

/** A complete body counts until it is released. */
export type BodyRead
	= | {readonly end: BodyReadEnd.Complete; readonly body: Buffer; readonly release: () => void}
		| {readonly end: BodyRefusal};

export type BodyRefusal = Exclude<BodyReadEnd, BodyReadEnd.Complete>;

/** The bodies of all requests in progress, which are bounded together. */
export type RequestBodies = {
	readonly read: (request: IncomingMessage, maxBodyBytes: number) => Promise<BodyRead>;
	readonly countBytes: () => number;
};

export type RequestBodiesOptions = {
	/** Upper bound for all bodies together, those that are still read included. */
	readonly maxBytes?: number;
};

const defaultMaxBytes = 64_000_000;

/**
Creates the account of request bodies. Where there is no room for all, the latest request whose body is not complete gives way.

@example
```
const bodies = createRequestBodies();
const read = await bodies.read(request, 4_194_304);
```
*/
export function createRequestBodies({maxBytes = defaultMaxBytes}: RequestBodiesOptions = {}): RequestBodies {
	const budget = createMemoryBudget({maxBytes, pickVictim: pickLatest});

	return {
		async read(request, maxBodyBytes) {
			const abort = new AbortController();
			const {resize, keep, release} = budget.open(() => {
				abort.abort();
			});

			try {
				const body = await readMessage(request, {canTake: size => size <= maxBodyBytes && resize(size), signal: abort.signal});

				if (body !== undefined) {
					keep();

					return {end: BodyReadEnd.Complete, body, release};
				}
			} catch {
				release();

				return {end: abort.signal.aborted ? BodyReadEnd.NoRoom : BodyReadEnd.CallerGone};
			}

			release();

			return {end: BodyReadEnd.TooLarge};
		},
		countBytes: budget.countBytes,
	};
}
