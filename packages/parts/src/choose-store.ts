import {pickByRendezvous} from '@fescuestair/core';

export type StoreChoice = {
	readonly address: string;
	readonly capacityTokens: number;
	readonly firstByteMs: number;
};

/** A store takes parts up to this share of its room, so that a few large ones do not drive out all others. */
const largestPartShare = 1 / 32;

/**
Chooses the store for a part: of those with room for its size the quickest, and among equals the same for all daemons.

@example
```
chooseStore(stores, {id: '5c1e07a2', tokens: 246})?.address;
```
*/
export function chooseStore(stores: readonly StoreChoice[], part: {readonly id: string; readonly tokens: number}): StoreChoice | undefined {
	const fitting = stores.filter(store => part.tokens <= store.capacityTokens * largestPartShare);
	const open = fitting.length > 0 ? fitting : listLargest(stores, part.tokens);
	const quickestMs = Math.min(...open.map(store => store.firstByteMs));
	const quickest = open.filter(store => store.firstByteMs === quickestMs);
	const address = pickByRendezvous(part.id, quickest.map(store => store.address));

	return quickest.find(store => store.address === address);
}

// What is too large for any store's share does least harm in the largest.
function listLargest(stores: readonly StoreChoice[], tokens: number): readonly StoreChoice[] {
	const largest = Math.max(...stores.map(store => store.capacityTokens));

	return stores.filter(store => store.capacityTokens === largest && tokens <= store.capacityTokens);
}
