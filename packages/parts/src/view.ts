import {
	deriveKey, fetchMs, viewMs, type PartKey, type PartPlace, type PartsReply,
} from './types.js';

/** What a gateway knows of stored parts. Immutable. */
export type PartsView = {
	readonly epoch: string | undefined;
	readonly revision: number;
	readonly places: ReadonlyMap<PartKey, PartPlace>;
	/** Tokens of these by store. */
	readonly heldTokens: ReadonlyMap<string, number>;
	/** The upstreams' clock at the newest reply, and this daemon's when it was asked for. */
	readonly clockMs: number;
	readonly askedAtMs: number;
};

/** A fetch that would have less time than this is not worth its start. */
const leastFetchMs = 200;

/** Creates the view of a gateway that was told nothing yet. */
export function createPartsView(): PartsView {
	return {
		epoch: undefined, revision: 0, places: new Map(), heldTokens: new Map(), clockMs: 0, askedAtMs: Number.NEGATIVE_INFINITY,
	};
}

/**
Takes a reply of the keeper.

@example
```
view = takePartsReply(view, reply, askedAtMs);
```
*/
export function takePartsReply(view: PartsView, reply: PartsReply, askedAtMs: number): PartsView {
	if (!reply.isWhole && reply.added.length === 0 && reply.removed.length === 0) {
		return {
			...view, revision: reply.revision, clockMs: reply.clockMs, askedAtMs,
		};
	}

	const places = new Map(reply.isWhole ? [] : view.places);

	for (const place of reply.added) {
		places.set(deriveKey(place), place);
	}

	for (const key of reply.removed) {
		places.delete(key);
	}

	return {
		epoch: reply.epoch, revision: reply.revision, places, heldTokens: sumTokens(places.values()), clockMs: reply.clockMs, askedAtMs,
	};
}

function sumTokens(places: Iterable<PartPlace>): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();

	for (const {storeAddress, tokens} of places) {
		sums.set(storeAddress, (sums.get(storeAddress) ?? 0) + tokens);
	}

	return sums;
}

/**
Computes until when, on the upstreams' clock, a fetch that begins now counts; `undefined` where the view is too old for one. The keeper
frees a part only after the last such time of any view that has it. Clocks that stood still make the time too early, never too late.
*/
export function computeFetchUntil(view: PartsView, nowMs: number): number | undefined {
	const passedMs = nowMs - view.askedAtMs;

	// The reply was made after it was asked for, so the upstreams' clock is at most this far on.
	return passedMs > viewMs - leastFetchMs ? undefined : Math.floor(view.clockMs + Math.min(passedMs, viewMs) + fetchMs - leastFetchMs);
}

export type NamedPart = {readonly id: string; readonly tokens: number};

/** Finds where the parts of a prompt are kept whole, in order; `undefined` for those that are nowhere. */
export function findPlaces(view: PartsView, salt: string, parts: readonly NamedPart[]): ReadonlyArray<PartPlace | undefined> {
	return parts.map(({id, tokens}) => {
		const place = view.places.get(deriveKey({salt, id}));

		return place !== undefined && place.tokens >= tokens ? place : undefined;
	});
}
