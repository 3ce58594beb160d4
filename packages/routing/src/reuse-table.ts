import {type ReturnRecord} from './export.js';

/** What is known of a prompt's returns, and of those of all prompts. */
export type ReturnAnswer = {
	/** Before this time. */
	readonly timesSeen: number;
	readonly returns: ReturnRecord;
};

/** Counts how often prompts come back. */
export type ReuseTable = {
	readonly note: (root: string) => ReturnAnswer;
};

/**
Creates a table; the prompts seen longest ago are forgotten beyond its size.

@example
```
const {timesSeen, returns} = table.note(hashes[0]);
```
*/
export function createReturnTable({maxRoots}: {readonly maxRoots: number}): ReuseTable {
	// Insertion order is order of use.
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
