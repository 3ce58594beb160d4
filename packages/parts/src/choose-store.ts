import {pickByRendezvous} from '@fescuestair/core';

export type StoreChoice = {
	readonly address: string;
	readonly capacityTokens: number;
	readonly firstByteMs: number;
};

/** A store takes parts up to this share of its room, so that a few large ones do not drive out all others. */
const largestPartShare = 1 / 32;
/** A store counts for no more than this many times the smallest. */
const mostShares = 32;

/** A store takes new parts up to this share of its room; what is kept above it makes room by what was not asked for lately. */
const openShare = 0.85;

/**
Chooses the store for a part: of those with room for its size the quickest that is not full, and among equals the same for all daemons. Where
all are full, they take new parts by their capacity, so that a part is driven out after the same time everywhere. Answers the load pattern of
more returning prompts than the quick stores hold: these keep what they have, and the rest goes to the slower ones.

@example
```
chooseStore(stores, {id: '5c1e07a2', tokens: 246}, address => view.heldTokens.get(address) ?? 0)?.address;
```
*/
export function chooseStore(
	stores: readonly StoreChoice[],
	part: {readonly id: string; readonly tokens: number},
	getHeldTokens: (address: string) => number,
): StoreChoice | undefined {
	const fitting = stores.filter(store => part.tokens <= store.capacityTokens * largestPartShare);
	const candidates = fitting.length > 0 ? fitting : listLargest(stores, part.tokens);
	const open = candidates.filter(store => getHeldTokens(store.address) + part.tokens <= store.capacityTokens * openShare);

	if (open.length === 0) {
		return pickByCapacity(candidates, part.id);
	}

	const quickestMs = Math.min(...open.map(store => store.firstByteMs));
	const quickest = open.filter(store => store.firstByteMs === quickestMs);
	const address = pickByRendezvous(part.id, quickest.map(store => store.address));

	return quickest.find(store => store.address === address);
}

// Each store is named once for each share of the smallest store's room that it has.
function pickByCapacity(stores: readonly StoreChoice[], id: string): StoreChoice | undefined {
	const smallest = Math.min(...stores.map(store => store.capacityTokens));
	const names = stores.flatMap(store => Array.from({length: Math.min(mostShares, Math.round(store.capacityTokens / smallest))}, (_, share) => `${share} ${store.address}`));
	const picked = pickByRendezvous(id, names);

	return picked === undefined ? undefined : stores.find(store => picked.endsWith(` ${store.address}`));
}

// What is too large for any store's share does least harm in the largest.
function listLargest(stores: readonly StoreChoice[], tokens: number): readonly StoreChoice[] {
	const largest = Math.max(...stores.map(store => store.capacityTokens));

	return stores.filter(store => store.capacityTokens === largest && tokens <= store.capacityTokens);
}
