import {
	deriveKey, fetchTimeoutMs, viewLifetimeMs, type PartKey, type PartLocation, type PartsReply,
} from './types.js';

/** A daemon's copy of the parts index. Immutable. */
export type PartsView = {
	readonly epoch: string | undefined;
	readonly revision: number;
	readonly locations: ReadonlyMap<PartKey, PartLocation>;
	/** Tokens of these parts, by the store's address. */
	readonly heldTokens: ReadonlyMap<string, number>;
	/** Time on the upstreams' clock when the latest reply was made. */
	readonly clockMs: number;
	/** This daemon's monotonic time when that reply was requested, less the age of the mirror that answered. */
	readonly requestedAtMs: number;
};

/** A fetch that has less time than this is not started. */
const minFetchMs = 200;

/** Creates the view of a daemon that has received no reply yet. */
export function createPartsView(): PartsView {
	return {
		epoch: undefined, revision: 0, locations: new Map(), heldTokens: new Map(), clockMs: 0, requestedAtMs: Number.NEGATIVE_INFINITY,
	};
}

/**
Applies a reply to a view.

@example
```
view = applyPartsReply(view, reply, requestedAtMs);
```
*/
export function applyPartsReply(view: PartsView, reply: PartsReply, requestedAtMs: number): PartsView {
	if (!reply.isWhole && reply.added.length === 0 && reply.removed.length === 0) {
		return {
			...view, revision: reply.revision, clockMs: reply.clockMs, requestedAtMs,
		};
	}

	const places = new Map(reply.isWhole ? [] : view.locations);

	for (const place of reply.added) {
		places.set(deriveKey(place), place);
	}

	for (const key of reply.removed) {
		places.delete(key);
	}

	return {
		epoch: reply.epoch, revision: reply.revision, locations: places, heldTokens: sumTokensByStore(places.values()), clockMs: reply.clockMs, requestedAtMs,
	};
}

function sumTokensByStore(places: Iterable<PartLocation>): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();

	for (const {storeAddress, tokens} of places) {
		sums.set(storeAddress, (sums.get(storeAddress) ?? 0) + tokens);
	}

	return sums;
}

/**
Computes the deadline, on the upstreams' clock, of a fetch that begins now; `undefined` where the view is too old. The leader frees a part
only after the last deadline that any view with the part allows. If this daemon's clock stalls, the deadline gets earlier, never later.
*/
export function computeFetchDeadline(view: PartsView, nowMs: number): number | undefined {
	const elapsedMs = nowMs - view.requestedAtMs;

	// An upper bound: the reply was made after it was requested, so no more than this has passed since `clockMs`.
	return elapsedMs > viewLifetimeMs - minFetchMs ? undefined : Math.floor(view.clockMs + Math.min(elapsedMs, viewLifetimeMs) + fetchTimeoutMs - minFetchMs);
}

export type RequestedPart = {readonly id: string; readonly tokens: number};

/** Finds the location of each part of a prompt, in order; `undefined` where no store is known to hold all of its tokens. */
export function locateParts(view: PartsView, salt: string, parts: readonly RequestedPart[]): ReadonlyArray<PartLocation | undefined> {
	return parts.map(({id, tokens}) => {
		const place = view.locations.get(deriveKey({salt, id}));

		return place !== undefined && place.tokens >= tokens ? place : undefined;
	});
}
