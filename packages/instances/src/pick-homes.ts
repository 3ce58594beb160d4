import {rankByRendezvous} from '@fescuestair/core';

/** A coordinator from the point of view of a gateway. */
export type HomeCandidate = {
	readonly address: string;
	/** `undefined` for a seed that has not answered yet. */
	readonly availabilityZone: string | undefined;
	/** It answered the last hello, and was in contact with a leader recently. */
	readonly isHealthy: boolean;
	/** It leads the group, and so has more work than the other coordinators. */
	readonly isLeader: boolean;
};

/** A primary, which relays loads and answers look-ups of stored parts, and a standby that can take over within one hello round. */
const homeCount = 2;

/**
Picks the coordinators that a gateway uses as its homes, the primary first. Rendezvous hashing spreads the gateways over the coordinators
without coordination. Coordinators in the same availability zone are preferred, to keep traffic within it. The leader, which also maintains
the index of stored parts, is picked only if there are not enough other healthy coordinators, and unhealthy ones come last.

@example
```
pickHomes('front-1', 'north', candidates); //=> ['10.1.0.4:7700', '10.2.0.4:7700']
```
*/
export function pickHomes(name: string, availabilityZone: string, candidates: readonly HomeCandidate[]): readonly string[] {
	return rankCandidates(name, candidates, ({isHealthy, isLeader, availabilityZone: zone}) => (isHealthy ? 0 : 4) + (isLeader ? 2 : 0) + (zone === availabilityZone ? 0 : 1)).slice(0, homeCount);
}

/**
Picks the coordinators that keep a gateway's records: the primary home and a healthy one in another availability zone, or in the same one if there is none.

@example
```
pickRecordKeepers('front-1', '10.1.0.4:7700', candidates); //=> ['10.1.0.4:7700', '10.3.0.4:7700']
```
*/
export function pickRecordKeepers(name: string, home: string | undefined, candidates: readonly HomeCandidate[]): readonly string[] {
	if (home === undefined) {
		return [];
	}

	const homeZone = candidates.find(({address}) => address === home)?.availabilityZone;
	const others = candidates.filter(({address}) => address !== home);
	const [second] = rankCandidates(name, others, ({isHealthy, availabilityZone}) => (isHealthy ? 0 : 2) + (availabilityZone === homeZone ? 1 : 0));

	return second === undefined ? [home] : [home, second];
}

// Lists the addresses of candidates with the least penalty first, and those with the same penalty in an order of the gateway's own.
function rankCandidates(name: string, candidates: readonly HomeCandidate[], getPenalty: (candidate: HomeCandidate) => number): readonly string[] {
	const byAddress = new Map(candidates.map(candidate => [candidate.address, candidate]));

	return rankByRendezvous(name, [...byAddress.keys()]).toSorted((a, b) => getPenalty(byAddress.get(a)!) - getPenalty(byAddress.get(b)!));
}
