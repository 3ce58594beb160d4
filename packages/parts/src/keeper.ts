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
	readonly changes: readonly Change[];
};

/** Gateways that lag further are told everything. */
const maxChanges = 4000;
/** A store is emptied down to this share of its room once it is fuller than the other: a save without room is lost. */
const fullShare = 0.9;
const emptiedShare = 0.8;

/**
Creates the keeper of one term of office.

@example
```
const keeper = addParts(createKeeper('4/core-1'), {storeAddress, parts, clockMs});
```
*/
export function createKeeper(epoch: string): Keeper {
	return {
		epoch, revision: 0, parts: new Map(), changes: [],
	};
}

export type AddInput = {readonly storeAddress: string; readonly parts: readonly StoredPart[]; readonly clockMs: number};

/** Adds parts that a store says are whole. A part that another store holds already stays there. */
export function addParts(keeper: Keeper, {storeAddress, parts, clockMs}: AddInput): Keeper {
	const next = new Map(keeper.parts);
	const changes: Change[] = [];

	for (const {salt, id, tokens} of parts) {
		const key = deriveKey({salt, id});
		const place = {
			salt, id, tokens, storeAddress,
		};

		if (!next.has(key)) {
			next.set(key, {...place, usedAtMs: clockMs, retiredAtMs: undefined});
			changes.push({revision: keeper.revision + changes.length + 1, key, place});
		}
	}

	return advance(keeper, next, changes);
}

/** Drops the parts of a store that are gone: it restarted, it cannot be reached, or it says so. */
export function dropParts(keeper: Keeper, isDropped: (part: PartPlace) => boolean): Keeper {
	const next = new Map(keeper.parts);
	const changes: Change[] = [];

	for (const [key, part] of keeper.parts) {
		if (isDropped(part)) {
			next.delete(key);
			changes.push({revision: keeper.revision + changes.length + 1, key, place: undefined});
		}
	}

	return advance(keeper, next, changes);
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
	const parts = new Map(keeper.parts);

	for (const key of poll.used) {
		const part = parts.get(key);

		if (part !== undefined) {
			parts.set(key, {...part, usedAtMs: clockMs});
		}
	}

	const reached = keeper.revision - keeper.changes.length;
	const isWhole = poll.epoch !== keeper.epoch || poll.revision < reached || poll.revision > keeper.revision;
	const missed = isWhole ? [] : keeper.changes.filter(change => change.revision > poll.revision);
	const latest = new Map(missed.map(change => [change.key, change.place]));

	return {
		keeper: poll.used.length === 0 ? keeper : {...keeper, parts},
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

	for (const [key, part] of keeper.parts) {
		if (part.retiredAtMs === undefined && isOutdated(part, weights)) {
			retired.add(key);
		}
	}

	for (const [storeAddress, capacity] of capacities) {
		for (const key of listExcess(keeper, {storeAddress, capacity, retired})) {
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

	return advance(keeper, parts, changes);
}

function isOutdated({salt}: KeptPart, weights: ReadonlyMap<string, number>): boolean {
	const parsed = parseSalt(salt);

	// What is under no salt of the system's own was saved by nobody known and only takes room.
	return parsed === undefined || parsed.weightVersion < (weights.get(parsed.model) ?? 0);
}

type ExcessInput = {readonly storeAddress: string; readonly capacity: number; readonly retired: ReadonlySet<PartKey>};

function listExcess(keeper: Keeper, {storeAddress, capacity, retired}: ExcessInput): readonly PartKey[] {
	const here = [...keeper.parts].filter(([key, part]) => part.storeAddress === storeAddress && part.retiredAtMs === undefined && !retired.has(key));
	let held = 0;

	for (const [, part] of here) {
		held += part.tokens;
	}

	if (held <= capacity * fullShare) {
		return [];
	}

	const excess: PartKey[] = [];

	for (const [key, part] of here.toSorted(([, a], [, b]) => a.usedAtMs - b.usedAtMs)) {
		if (held <= capacity * emptiedShare) {
			break;
		}

		excess.push(key);
		held -= part.tokens;
	}

	return excess;
}

/** Lists the retired parts of a store of which no fetch can count any more: those that began before are thrown away by now. */
export function listFreeable(keeper: Keeper, storeAddress: string, clockMs: number): readonly StoredPart[] {
	return [...keeper.parts.values()].filter(part => part.storeAddress === storeAddress && part.retiredAtMs !== undefined
		&& clockMs >= part.retiredAtMs + viewMs + fetchMs + freeMarginMs);
}

/** Forgets parts that were freed. */
export function forgetParts(keeper: Keeper, keys: ReadonlySet<PartKey>): Keeper {
	return {...keeper, parts: new Map([...keeper.parts].filter(([key]) => !keys.has(key)))};
}
