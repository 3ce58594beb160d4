import {pickByRendezvous} from '@fescuestair/core';

export type StoreCandidate = {
	readonly address: string;
	readonly capacityTokens: number;
	readonly firstByteMs: number;
};

/** Share of a store's capacity that one part may take up, so that a few large parts don't displace all others. */
const maxPartShare = 1 / 32;
/** Limit for the virtual nodes of a store: it gets at most this many times the weight of the smallest store. */
const maxVirtualNodes = 32;

/** Share of its capacity up to which a store accepts new parts; beyond it, parts that were not used recently have to be retired first. */
const maxFillShare = 0.85;

/**
Chooses the store for a new part: of those large enough, the fastest that is not full; all daemons make the same choice among equally fast ones.
Where all are full, parts are spread in proportion to capacity, so that they stay for the same time in every store. If more prompts recur
than the fast stores can hold, these keep the parts that they have, and the other parts go to the slower stores.

@example
```
chooseStore(stores, {id: '5c1e07a2', tokens: 246}, address => view.heldTokens.get(address) ?? 0)?.address;
```
*/
export function chooseStore(
	stores: readonly StoreCandidate[],
	part: {readonly id: string; readonly tokens: number},
	getHeldTokens: (address: string) => number,
): StoreCandidate | undefined {
	const eligible = stores.filter(store => part.tokens <= store.capacityTokens * maxPartShare);
	const candidates = eligible.length > 0 ? eligible : listLargest(stores, part.tokens);
	const available = candidates.filter(store => getHeldTokens(store.address) + part.tokens <= store.capacityTokens * maxFillShare);

	if (available.length === 0) {
		return pickByCapacity(candidates, part.id);
	}

	const lowestFirstByteMs = Math.min(...available.map(store => store.firstByteMs));
	const fastest = available.filter(store => store.firstByteMs === lowestFirstByteMs);
	const address = pickByRendezvous(part.id, fastest.map(store => store.address));

	return fastest.find(store => store.address === address);
}

// Weighted rendezvous hashing: a store gets a virtual node for each time that it holds the smallest store's capacity.
function pickByCapacity(stores: readonly StoreCandidate[], id: string): StoreCandidate | undefined {
	const smallest = Math.min(...stores.map(store => store.capacityTokens));
	const virtualNodes = stores.flatMap(store => Array.from({length: Math.min(maxVirtualNodes, Math.round(store.capacityTokens / smallest))}, (_, nodeNumber) => `${nodeNumber} ${store.address}`));
	const picked = pickByRendezvous(id, virtualNodes);

	return picked === undefined ? undefined : stores.find(store => picked.endsWith(` ${store.address}`));
}

// A part larger than `maxPartShare` of every store goes to the largest one, where it displaces the smallest proportion of the other parts.
function listLargest(stores: readonly StoreCandidate[], tokens: number): readonly StoreCandidate[] {
	const largest = Math.max(...stores.map(store => store.capacityTokens));

	return stores.filter(store => store.capacityTokens === largest && tokens <= store.capacityTokens);
}
