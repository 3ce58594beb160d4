import {type ReuseCounts} from './export.js';

/** Reuse of one prompt and of all prompts. */
export type ReuseStatistics = {
	/** How often the prompt was seen before this request. */
	readonly timesSeen: number;
	readonly returns: ReuseCounts;
};

/** Counts how often prompts are requested again, by the hash of their first piece. */
export type ReuseTable = {
	readonly note: (root: string) => ReuseStatistics;
};

/**
Creates a table of at most `maxRoots` prompts; the least recently seen are evicted.

@example
```
const {timesSeen, returns} = table.note(hashes[0]);
```
*/
export function createReuseTable({maxRoots}: {readonly maxRoots: number}): ReuseTable {
	// Insertion order is LRU order.
	const seen = new Map<string, number>();
	let seenOnce = 0;
	let returned = 0;

	return {
		note(root) {
			const timesSeen = seen.get(root) ?? 0;
			seen.delete(root);
			seen.set(root, timesSeen + 1);
			seenOnce += timesSeen === 0 ? 1 : 0;
			returned += timesSeen === 1 ? 1 : 0;

			if (seen.size > maxRoots) {
				seen.delete(seen.keys().next().value!);
			}

			return {timesSeen, returns: {seenOnce, returned}};
		},
	};
}
