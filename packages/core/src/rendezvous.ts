import {computeHash} from './hash.js';

/**
Ranks names for a key by rendezvous hashing (highest random weight): every process with the same names computes the same
order, and removing a name moves only the keys that were assigned to it.

@example
```
const [home, replica] = rankByRendezvous('request-1', ['control-1', 'control-2', 'control-3']);
```
*/
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
	return computeWeights(key, names)
		.toSorted((a, b) => compareWeights(a, b))
		.map(entry => entry.name);
}

/**
Picks the name that ranks first for a key, without sorting the others; `undefined` if there are no names.

@example
```
pickByRendezvous('part-1', ['i-1', 'i-2']) === rankByRendezvous('part-1', ['i-1', 'i-2'])[0]; //=> true
```
*/
export function pickByRendezvous(key: string, names: readonly string[]): string | undefined {
	let best: WeightedName | undefined;

	for (const candidate of computeWeights(key, names)) {
		best = best === undefined || compareWeights(candidate, best) < 0 ? candidate : best;
	}

	return best?.name;
}

function computeWeights(key: string, names: readonly string[]): WeightedName[] {
	return names.map(name => ({name, weight: computeHash(`${name}/${key}`)}));
}

type WeightedName = {readonly name: string; readonly weight: bigint};

function compareWeights(a: WeightedName, b: WeightedName): number {
	if (a.weight === b.weight) {
		return a.name < b.name ? -1 : 1;
	}

	return a.weight > b.weight ? -1 : 1;
}
