import {rankByRendezvous} from '@fescuestair/core';

/** An entry that can keep the directory of a prompt's pieces: which upstream holds which of them. */
export type HomeCandidate = {
	readonly id: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
};

/**
Finds the home of a prompt for a client in an availability zone: the entry that keeps the directory of the prompt's pieces. It is an
entry of that zone where the zone has several, so that the look-up stays within the zone; otherwise one of all entries.

@example
```
const home = findHome(entries, {root: hashes[0], availabilityZone: 'north'});
```
*/
export function findHome<Entry extends HomeCandidate>(entries: readonly Entry[], {root, availabilityZone}: {readonly root: string; readonly availabilityZone: string}): Entry | undefined {
	const sameZone = entries.filter(entry => entry.availabilityZone === availabilityZone);
	const candidates = sameZone.length > 1 ? sameZone : entries;
	const [homeId] = rankByRendezvous(root, candidates.map(entry => entry.id));

	return candidates.find(entry => entry.id === homeId);
}

/** Lists the homes of a prompt for all zones; each has to be notified when an upstream's pieces of it change. */
export function listHomes<Entry extends HomeCandidate>(entries: readonly Entry[], root: string): readonly Entry[] {
	const zones = new Set(entries.map(entry => entry.availabilityZone));
	const homes = [...zones].map(availabilityZone => findHome(entries, {root, availabilityZone}));

	return [...new Set(homes)].filter(home => home !== undefined);
}
