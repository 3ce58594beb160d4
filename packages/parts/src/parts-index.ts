import {
	deriveKey, fetchTimeoutMs, clockSkewMarginMs, viewLifetimeMs, type PartKey, type PartLocation, type PartsPoll, type PartsReply, type StoredPart,
} from './types.js';
import {parseSalt} from './part-salt.js';

type IndexedPart = PartLocation & {
	/** On the upstreams' clock. */
	readonly lastUsedAtMs: number;
	/** When the part was withdrawn from what gateways are sent, on the upstreams' clock; `undefined` while it may be fetched. */
	readonly retiredAtMs: number | undefined;
};

/** One revision of the index; `place` is `undefined` for a part that was removed or retired. */
type Change = {readonly revision: number; readonly key: PartKey; readonly place: PartLocation | undefined};

/** Index of all parts in all stores, held by the leading coordinator. Immutable. */
export type PartsIndex = {
	/** The leader's term. Revisions of different epochs are not comparable. */
	readonly epoch: string;
	readonly revision: number;
	readonly parts: ReadonlyMap<PartKey, IndexedPart>;
	/** Keys of retired parts that are not freed yet; may include keys that are no longer in `parts`. */
	readonly retiredKeys: ReadonlySet<PartKey>;
	/** The latest changes, one for each revision. */
	readonly changes: readonly Change[];
};

/** A gateway that is behind by more changes gets the full list. */
const maxChanges = 4000;
/** A store that is filled beyond the high watermark is emptied to the low one, since a save into a full store is lost. */
const highWatermarkShare = 0.9;
const lowWatermarkShare = 0.8;
/** A store that is filled beyond this share of its capacity also retires its idle parts, to make room for new ones. */
const idleRetirementShare = 0.75;
/** A part that no request used for this long counts as idle: prompts that recur do so within seconds, so it is not expected to be used again. */
const idleTimeoutMs = 20_000;

/**
Creates the empty index of a leader's term.

@example
```
const index = addParts(createPartsIndex('4'), {storeAddress, parts, clockMs});
```
*/
export function createPartsIndex(epoch: string): PartsIndex {
	return {
		epoch, revision: 0, parts: new Map(), retiredKeys: new Set(), changes: [],
	};
}

export type AddPartsInput = {readonly storeAddress: string; readonly parts: readonly StoredPart[]; readonly clockMs: number};

/** Adds parts that a store reports as completely written. A part that is already indexed keeps its store. */
export function addParts(index: PartsIndex, {storeAddress, parts, clockMs}: AddPartsInput): PartsIndex {
	return applyStoreEvents(index, {storeAddress, events: parts.map(part => ({isAdded: true, part})), clockMs});
}

export type StoreEventsInput = {
	readonly storeAddress: string;
	readonly events: ReadonlyArray<{readonly isAdded: boolean; readonly part: StoredPart}>;
	readonly clockMs: number;
};

/**
Applies the events of a store, in order. The map of parts is copied once a call and not once an event, since hundreds of parts may be saved
each second.

@example
```
applyStoreEvents(index, {storeAddress, events: [{isAdded: true, part}], clockMs});
```
*/
export function applyStoreEvents(index: PartsIndex, {storeAddress, events, clockMs}: StoreEventsInput): PartsIndex {
	let next: Map<PartKey, IndexedPart> | undefined;
	const changes: Change[] = [];

	const recordChange = (key: PartKey, place: PartLocation | undefined) => {
		changes.push({revision: index.revision + changes.length + 1, key, place});
	};

	for (const {isAdded, part: {salt, id, tokens}} of events) {
		const key = deriveKey({salt, id});
		const existing = (next ?? index.parts).get(key);

		if (isAdded && existing === undefined) {
			const place = {
				salt, id, tokens, storeAddress,
			};
			next ??= new Map(index.parts);
			next.set(key, {...place, lastUsedAtMs: clockMs, retiredAtMs: undefined});
			recordChange(key, place);
		} else if (!isAdded && existing?.storeAddress === storeAddress) {
			next ??= new Map(index.parts);
			next.delete(key);
			recordChange(key, undefined);
		}
	}

	return next === undefined ? index : appendChanges(index, next, changes);
}

/** Removes the parts that a store lost: it restarted, cannot be reached, or no longer lists them. */
export function removeLostParts(index: PartsIndex, isLost: (part: PartLocation) => boolean): PartsIndex {
	const lostKeys = [...index.parts].filter(([, part]) => isLost(part)).map(([key]) => key);

	if (lostKeys.length === 0) {
		return index;
	}

	const next = new Map(index.parts);

	for (const key of lostKeys) {
		next.delete(key);
	}

	return appendChanges(index, next, lostKeys.map((key, position) => ({revision: index.revision + position + 1, key, place: undefined})));
}

function appendChanges(index: PartsIndex, parts: ReadonlyMap<PartKey, IndexedPart>, changes: readonly Change[]): PartsIndex {
	return changes.length === 0
		? index
		: {
			...index, parts, revision: index.revision + changes.length, changes: [...index.changes, ...changes].slice(-maxChanges),
		};
}

/** Answers a poll with the changes that the sender lacks, and records the use of the parts that the poll names. */
export function answerPoll(index: PartsIndex, poll: PartsPoll, clockMs: number): {readonly index: PartsIndex; readonly reply: PartsReply} {
	const baseRevision = index.revision - index.changes.length;
	const isWhole = poll.epoch !== index.epoch || poll.revision < baseRevision || poll.revision > index.revision;
	const missedChanges = isWhole ? [] : index.changes.filter(change => change.revision > poll.revision);
	const latest = new Map(missedChanges.map(change => [change.key, change.place]));

	return {
		index: recordUses(index, poll.used, clockMs),
		reply: {
			epoch: index.epoch,
			revision: index.revision,
			clockMs,
			isWhole,
			added: isWhole
				? [...index.parts.values()].filter(part => part.retiredAtMs === undefined).map(part => toLocation(part))
				: [...latest.values()].filter(place => place !== undefined),
			removed: [...latest].filter(([, place]) => place === undefined).map(([key]) => key),
		},
	};
}

/** Records that requests used parts. Keys that are not indexed are ignored. */
export function recordUses(index: PartsIndex, used: Iterable<PartKey>, clockMs: number): PartsIndex {
	let parts: Map<PartKey, IndexedPart> | undefined;

	for (const key of used) {
		const part = (parts ?? index.parts).get(key);

		if (part !== undefined) {
			parts ??= new Map(index.parts);
			parts.set(key, {...part, lastUsedAtMs: clockMs});
		}
	}

	return parts === undefined ? index : {...index, parts};
}

function toLocation({salt, id, tokens, storeAddress}: IndexedPart): PartLocation {
	return {
		salt, id, tokens, storeAddress,
	};
}

export type RetirePartsInput = {
	/** Tokens that each store holds at most, by its address. */
	readonly capacityTokensByStore: ReadonlyMap<string, number>;
	/** The target weight version of each model; parts made with an older one are of no further use. */
	readonly weights: ReadonlyMap<string, number>;
	readonly clockMs: number;
};

/**
Retires parts: gateways are no longer sent them, and the store may free them once every fetch of them has passed its deadline. Parts of older
weight versions are retired at once, the least recently used ones where a store runs full. Stores don't evict by themselves, so this makes
room where more prompts recur than the stores can hold.
*/
export function retireParts(index: PartsIndex, {capacityTokensByStore, weights, clockMs}: RetirePartsInput): PartsIndex {
	const retired = new Set<PartKey>();
	const partsByStore = new Map<string, Array<[PartKey, IndexedPart]>>([...capacityTokensByStore.keys()].map(address => [address, []]));
	const outdatedBySalt = new Map<string, boolean>();

	for (const [key, part] of index.parts) {
		if (part.retiredAtMs !== undefined) {
			continue;
		}

		const isOutdatedPart = outdatedBySalt.get(part.salt) ?? isOutdated(part, weights);
		outdatedBySalt.set(part.salt, isOutdatedPart);

		if (isOutdatedPart) {
			retired.add(key);
		} else {
			partsByStore.get(part.storeAddress)?.push([key, part]);
		}
	}

	for (const [storeAddress, capacityTokens] of capacityTokensByStore) {
		for (const key of listPartsToRetire(partsByStore.get(storeAddress)!, {capacityTokens, clockMs})) {
			retired.add(key);
		}
	}

	if (retired.size === 0) {
		return index;
	}

	const parts = new Map(index.parts);
	const changes = [...retired].map((key, position) => ({revision: index.revision + position + 1, key, place: undefined}));

	for (const key of retired) {
		parts.set(key, {...parts.get(key)!, retiredAtMs: clockMs});
	}

	return appendChanges({...index, retiredKeys: new Set([...index.retiredKeys, ...retired])}, parts, changes);
}

function isOutdated({salt}: IndexedPart, weights: ReadonlyMap<string, number>): boolean {
	const parsed = parseSalt(salt);

	// A salt in another format was not written by this system: nothing reads the part, and it only takes up room.
	return parsed === undefined || parsed.weightVersion < (weights.get(parsed.model) ?? 0);
}

function listPartsToRetire(storeParts: ReadonlyArray<readonly [PartKey, IndexedPart]>, {capacityTokens, clockMs}: {readonly capacityTokens: number; readonly clockMs: number}): readonly PartKey[] {
	const isIdle = (part: IndexedPart) => clockMs - part.lastUsedAtMs >= idleTimeoutMs;
	let heldTokens = 0;
	let hasIdle = false;

	for (const [, part] of storeParts) {
		heldTokens += part.tokens;
		hasIdle ||= isIdle(part);
	}

	const isFull = heldTokens > capacityTokens * highWatermarkShare;

	// Skips the sort where nothing is to be retired: it covers thousands of parts and runs several times a second.
	if (!isFull && !(hasIdle && heldTokens > capacityTokens * idleRetirementShare)) {
		return [];
	}

	const selected: PartKey[] = [];

	for (const [key, part] of storeParts.toSorted(([, a], [, b]) => a.lastUsedAtMs - b.lastUsedAtMs)) {
		const isIdleExcess = isIdle(part) && heldTokens > capacityTokens * idleRetirementShare;

		if (!isIdleExcess && (!isFull || heldTokens <= capacityTokens * lowWatermarkShare)) {
			break;
		}

		selected.push(key);
		heldTokens -= part.tokens;
	}

	return selected;
}

/** Lists the retired parts of a store that can be freed: the last fetch of them that any gateway may have started has passed its deadline. */
export function listFreeableParts({parts, retiredKeys}: PartsIndex, storeAddress: string, clockMs: number): readonly StoredPart[] {
	return [...retiredKeys].map(key => parts.get(key)).filter(part => part?.storeAddress === storeAddress && part.retiredAtMs !== undefined
		&& clockMs >= part.retiredAtMs + viewLifetimeMs + fetchTimeoutMs + clockSkewMarginMs) as IndexedPart[];
}

/** Removes parts that their store has freed. Gateways are not notified, since they were when the parts were retired. */
export function removeFreedParts(index: PartsIndex, keys: ReadonlySet<PartKey>): PartsIndex {
	return {
		...index,
		parts: new Map([...index.parts].filter(([key]) => !keys.has(key))),
		retiredKeys: new Set([...index.retiredKeys].filter(key => !keys.has(key) && index.parts.get(key)?.retiredAtMs !== undefined)),
	};
}
