import {rankByRendezvous} from '@fescuestair/core';

/** An entry that keeps beliefs about pieces. */
export type Home = {
	readonly id: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
};

/**
Finds the entry that keeps the beliefs about a prompt, for askers in an availability zone: one of that zone where it has
several, so that a look-up stays within it, else one of all.

@example
```
const home = findHome(entries, {root: hashes[0], availabilityZone: 'north'});
```
*/
export function findHome<Entry extends Home>(entries: readonly Entry[], {root, availabilityZone}: {readonly root: string; readonly availabilityZone: string}): Entry | undefined {
	const near = entries.filter(entry => entry.availabilityZone === availabilityZone);
	const homes = near.length > 1 ? near : entries;
	const [homeId] = rankByRendezvous(root, homes.map(entry => entry.id));

	return homes.find(entry => entry.id === homeId);
}

/** Lists all entries that some zone takes for the home of a prompt: each is told of changes. */
export function listHomes<Entry extends Home>(entries: readonly Entry[], root: string): readonly Entry[] {
	const zones = new Set(entries.map(entry => entry.availabilityZone));
	const homes = [...zones].map(availabilityZone => findHome(entries, {root, availabilityZone}));

	return [...new Set(homes)].filter(home => home !== undefined);
}
