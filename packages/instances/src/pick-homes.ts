import {rankByRendezvous} from '@fescuestair/core';

/** A coordinator as a gateway knows it. */
export type HomeCandidate = {
	readonly address: string;
	/** Unknown for a seed that has not answered yet. */
	readonly availabilityZone: string | undefined;
	/** It answered the last call, and had heard from a leader lately. */
	readonly isSound: boolean;
	/** It has other work for the whole group. */
	readonly isLeader: boolean;
};

/** One home is told of loads and asked for stored parts; the other takes over within a round. */
const homes = 2;

/**
Picks the coordinators that a gateway has as its homes, the primary first. Gateways spread over coordinators without a message; those in
the same availability zone go first, so that bytes stay within it; the one that leads the group, which also keeps the parts for all, is taken where no
other is sound, and one that is lost or cut off comes last.

@example
```
pickHomes('front-1', 'north', candidates); //=> ['10.1.0.4:7700', '10.2.0.4:7700']
```
*/
export function pickHomes(name: string, availabilityZone: string, candidates: readonly HomeCandidate[]): readonly string[] {
	const byAddress = new Map(candidates.map(candidate => [candidate.address, candidate]));
	const ranked = rankByRendezvous(name, [...byAddress.keys()]);
	const rank = (address: string) => {
		const {isSound, isLeader, availabilityZone: zone} = byAddress.get(address)!;

		return (isSound ? 0 : 4) + (isLeader ? 2 : 0) + (zone === availabilityZone ? 0 : 1);
	};

	return ranked.toSorted((a, b) => rank(a) - rank(b)).slice(0, homes);
}
