import {computeHash} from './hash.js';

/**
Ranks names for a key by highest random weight: every process that knows the same names computes the same
order, and the loss of one name moves only the keys that it held.

@example
```
const [home, replica] = rankByRendezvous('request-1', ['control-1', 'control-2', 'control-3']);
```
*/
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
	return names
		.map(name => ({name, weight: computeHash(`${name}/${key}`)}))
		.toSorted((a, b) => compareWeights(a, b))
		.map(entry => entry.name);
}

type Weighted = {readonly name: string; readonly weight: bigint};

function compareWeights(a: Weighted, b: Weighted): number {
	if (a.weight === b.weight) {
		return a.name < b.name ? -1 : 1;
	}

	return a.weight > b.weight ? -1 : 1;
}
