import {
	deriveKey, fetchMs, freeMarginMs, viewMs, type PartKey, type PartPlace, type PartsPoll, type PartsReply, type StoredPart,
} from './types.js';
import {parseSalt} from './part-salt.js';

type KeptPart = PartPlace & {
	/** On the upstreams' clock. */
	readonly usedAtMs: number;
	/** From when no gateway is told of it any more; `undefined` while it may be fetched. */
	readonly retiredAtMs: number | undefined;
};

type Change = {readonly revision: number; readonly key: PartKey; readonly place: PartPlace | undefined};

/** All parts in all stores, as their one keeper knows them. Immutable. */
export type Keeper = {
	readonly epoch: string;
	readonly revision: number;
	readonly parts: ReadonlyMap<PartKey, KeptPart>;
	/** Keys of parts that are retired and not freed yet; some may be gone. */
	readonly retired: ReadonlySet<PartKey>;
	readonly changes: readonly Change[];
};

/** Gateways that lag further are told everything. */
const maxChanges = 4000;
/** A store is emptied down to this share of its room once it is fuller than the other: a save without room is lost. */
const fullShare = 0.9;
const emptiedShare = 0.8;
/** From this share on, parts that were not asked for in a while make room for new ones. */
const crowdedShare = 0.75;
/** A part that was not asked for in this long is taken for one that does not return; such prompts as return do so within seconds. */
const idleMs = 20_000;

/**
Creates the keeper of one term of office.

@example
```
const keeper = addParts(createKeeper('4/core-1'), {storeAddress, parts, clockMs});
```
*/
export function createKeeper(epoch: string): Keeper {
	return {
		epoch, revision: 0, parts: new Map(), retired: new Set(), changes: [],
	};
}

export type AddInput = {readonly storeAddress: string; readonly parts: readonly StoredPart[]; readonly clockMs: number};

/** Adds parts that a store says are whole. A part that another store holds already stays there. */
export function addParts(keeper: Keeper, {storeAddress, parts, clockMs}: AddInput): Keeper {
	return applyStoreEvents(keeper, {storeAddress, events: parts.map(part => ({isAdded: true, part})), clockMs});
}

export type StoreEventsInput = {
	readonly storeAddress: string;
	readonly events: ReadonlyArray<{readonly isAdded: boolean; readonly part: StoredPart}>;
	readonly clockMs: number;
};

/**
Takes what a store says came and went, in order. Answers the load pattern of hundreds of parts saved a second: what is kept is copied once
for all events of a call.

@example
```
applyStoreEvents(keeper, {storeAddress, events: [{isAdded: true, part}], clockMs});
```
*/
export function applyStoreEvents(keeper: Keeper, {storeAddress, events, clockMs}: StoreEventsInput): Keeper {
	let next: Map<PartKey, KeptPart> | undefined;
	const changes: Change[] = [];

	const note = (key: PartKey, place: PartPlace | undefined) => {
		changes.push({revision: keeper.revision + changes.length + 1, key, place});
	};

	for (const {isAdded, part: {salt, id, tokens}} of events) {
		const key = deriveKey({salt, id});
		const known = (next ?? keeper.parts).get(key);

		if (isAdded && known === undefined) {
			const place = {
				salt, id, tokens, storeAddress,
			};
			next ??= new Map(keeper.parts);
			next.set(key, {...place, usedAtMs: clockMs, retiredAtMs: undefined});
			note(key, place);
		} else if (!isAdded && known?.storeAddress === storeAddress) {
			next ??= new Map(keeper.parts);
			next.delete(key);
			note(key, undefined);
		}
	}

	return next === undefined ? keeper : advance(keeper, next, changes);
}

/** Drops the parts of a store that are gone: it restarted, it cannot be reached, or it says so. */
export function dropParts(keeper: Keeper, isDropped: (part: PartPlace) => boolean): Keeper {
	const dropped = [...keeper.parts].filter(([, part]) => isDropped(part)).map(([key]) => key);

	if (dropped.length === 0) {
		return keeper;
	}

	const next = new Map(keeper.parts);

	for (const key of dropped) {
		next.delete(key);
	}

	return advance(keeper, next, dropped.map((key, position) => ({revision: keeper.revision + position + 1, key, place: undefined})));
}

function advance(keeper: Keeper, parts: ReadonlyMap<PartKey, KeptPart>, changes: readonly Change[]): Keeper {
	return changes.length === 0
		? keeper
		: {
			...keeper, parts, revision: keeper.revision + changes.length, changes: [...keeper.changes, ...changes].slice(-maxChanges),
		};
}

/** Takes a poll: notes what was used, and tells what the gateway lacks. */
export function answerPoll(keeper: Keeper, poll: PartsPoll, clockMs: number): {readonly keeper: Keeper; readonly reply: PartsReply} {
	const reached = keeper.revision - keeper.changes.length;
	const isWhole = poll.epoch !== keeper.epoch || poll.revision < reached || poll.revision > keeper.revision;
	const missed = isWhole ? [] : keeper.changes.filter(change => change.revision > poll.revision);
	const latest = new Map(missed.map(change => [change.key, change.place]));

	return {
		keeper: recordUses(keeper, poll.used, clockMs),
		reply: {
			epoch: keeper.epoch,
			revision: keeper.revision,
			clockMs,
			isWhole,
			added: isWhole
				? [...keeper.parts.values()].filter(part => part.retiredAtMs === undefined).map(part => toPlace(part))
				: [...latest.values()].filter(place => place !== undefined),
			removed: [...latest].filter(([, place]) => place === undefined).map(([key]) => key),
		},
	};
}

/** Notes when parts were asked for last. */
export function recordUses(keeper: Keeper, used: Iterable<PartKey>, clockMs: number): Keeper {
	let parts: Map<PartKey, KeptPart> | undefined;

	for (const key of used) {
		const part = (parts ?? keeper.parts).get(key);

		if (part !== undefined) {
			parts ??= new Map(keeper.parts);
			parts.set(key, {...part, usedAtMs: clockMs});
		}
	}

	return parts === undefined ? keeper : {...keeper, parts};
}

function toPlace({salt, id, tokens, storeAddress}: KeptPart): PartPlace {
	return {
		salt, id, tokens, storeAddress,
	};
}

export type RetireInput = {
	readonly capacities: ReadonlyMap<string, number>;
	/** The weights named last, by model: parts made for older ones serve nobody. */
	readonly weights: ReadonlyMap<string, number>;
	readonly clockMs: number;
};

/**
Retires parts: gateways are told of them no more, and they are freed once no fetch of them can still count. Those of older weights go at
once, and those used least recently where a store gets full. Answers the load pattern of more returning prompts than the stores hold.
*/
export function retireParts(keeper: Keeper, {capacities, weights, clockMs}: RetireInput): Keeper {
	const retired = new Set<PartKey>();
	const live = new Map<string, Array<[PartKey, KeptPart]>>([...capacities.keys()].map(address => [address, []]));
	const outdatedBySalt = new Map<string, boolean>();

	for (const [key, part] of keeper.parts) {
		if (part.retiredAtMs !== undefined) {
			continue;
		}

		const outdated = outdatedBySalt.get(part.salt) ?? isOutdated(part, weights);
		outdatedBySalt.set(part.salt, outdated);

		if (outdated) {
			retired.add(key);
		} else {
			live.get(part.storeAddress)?.push([key, part]);
		}
	}

	for (const [storeAddress, capacity] of capacities) {
		for (const key of listExcess(live.get(storeAddress)!, {capacity, clockMs})) {
			retired.add(key);
		}
	}

	if (retired.size === 0) {
		return keeper;
	}

	const parts = new Map(keeper.parts);
	const changes = [...retired].map((key, position) => ({revision: keeper.revision + position + 1, key, place: undefined}));

	for (const key of retired) {
		parts.set(key, {...parts.get(key)!, retiredAtMs: clockMs});
	}

	return advance({...keeper, retired: new Set([...keeper.retired, ...retired])}, parts, changes);
}

function isOutdated({salt}: KeptPart, weights: ReadonlyMap<string, number>): boolean {
	const parsed = parseSalt(salt);

	// What is under no salt of the system's own was saved by nobody known and only takes room.
	return parsed === undefined || parsed.weightVersion < (weights.get(parsed.model) ?? 0);
}

function listExcess(here: ReadonlyArray<readonly [PartKey, KeptPart]>, {capacity, clockMs}: {readonly capacity: number; readonly clockMs: number}): readonly PartKey[] {
	const isIdle = (part: KeptPart) => clockMs - part.usedAtMs >= idleMs;
	let held = 0;
	let hasIdle = false;

	for (const [, part] of here) {
		held += part.tokens;
		hasIdle ||= isIdle(part);
	}

	const isFull = held > capacity * fullShare;

	// Sorting thousands of parts a few times a second is worth it only where some go.
	if (!isFull && !(hasIdle && held > capacity * crowdedShare)) {
		return [];
	}

	const excess: PartKey[] = [];

	for (const [key, part] of here.toSorted(([, a], [, b]) => a.usedAtMs - b.usedAtMs)) {
		const isSpare = isIdle(part) && held > capacity * crowdedShare;

		if (!isSpare && (!isFull || held <= capacity * emptiedShare)) {
			break;
		}

		excess.push(key);
		held -= part.tokens;
	}

	return excess;
}

/** Lists the retired parts of a store of which no fetch can count any more: those that began before are thrown away by now. */
export function listFreeable({parts, retired}: Keeper, storeAddress: string, clockMs: number): readonly StoredPart[] {
	return [...retired].map(key => parts.get(key)).filter(part => part?.storeAddress === storeAddress && part.retiredAtMs !== undefined
		&& clockMs >= part.retiredAtMs + viewMs + fetchMs + freeMarginMs) as KeptPart[];
}

/** Forgets parts that were freed. */
export function forgetParts(keeper: Keeper, keys: ReadonlySet<PartKey>): Keeper {
	return {
		...keeper,
		parts: new Map([...keeper.parts].filter(([key]) => !keys.has(key))),
		retired: new Set([...keeper.retired].filter(key => !keys.has(key) && keeper.parts.get(key)?.retiredAtMs !== undefined)),
	};
}
