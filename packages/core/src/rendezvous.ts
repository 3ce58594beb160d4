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
	return computeWeights(key, names)
		.toSorted((a, b) => compareWeights(a, b))
		.map(entry => entry.name);
}

/**
Picks the name that ranks first for a key, without ranking the others; `undefined` where there are none.

@example
```
pickByRendezvous('part-1', ['i-1', 'i-2']) === rankByRendezvous('part-1', ['i-1', 'i-2'])[0]; //=> true
```
*/
export function pickByRendezvous(key: string, names: readonly string[]): string | undefined {
	let best: Weighted | undefined;

	for (const one of computeWeights(key, names)) {
		best = best === undefined || compareWeights(one, best) < 0 ? one : best;
	}

	return best?.name;
}

function computeWeights(key: string, names: readonly string[]): Weighted[] {
	return names.map(name => ({name, weight: computeHash(`${name}/${key}`)}));
}

type Weighted = {readonly name: string; readonly weight: bigint};

function compareWeights(a: Weighted, b: Weighted): number {
	if (a.weight === b.weight) {
		return a.name < b.name ? -1 : 1;
	}

	return a.weight > b.weight ? -1 : 1;
}
