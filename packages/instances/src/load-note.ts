/** What one gateway has at one instance, or several have together. */
export type InstanceShare = readonly [instanceId: string, requests: number, heldTokens: number];

/** Work that a gateway sent to an instance, and by how much it found the instance's queue to be longer or shorter than was told. */
export type WorkShare = readonly [instanceId: string, workMs: number, correctionMs: number];

/** What a daemon tells of the load that gateways make. */
export type LoadNote = {
	/** All that its gateways have; left out of notes that only tell of work, which are many. */
	readonly shares?: readonly InstanceShare[];
	/** Since the note before. */
	readonly work: readonly WorkShare[];
};

/**
Sums shares by instance.

@example
```
sumShares([[['i-1', 2, 400]], [['i-1', 1, 100]]]); //=> [['i-1', 3, 500]]
```
*/
export function sumShares(lists: Iterable<readonly InstanceShare[]>): readonly InstanceShare[] {
	const sums = new Map<string, InstanceShare>();

	for (const list of lists) {
		for (const [id, requests, heldTokens] of list) {
			const sum = sums.get(id);
			sums.set(id, [id, requests + (sum?.[1] ?? 0), heldTokens + (sum?.[2] ?? 0)]);
		}
	}

	return [...sums.values()];
}

/** Sums work by instance; entries that cancel each other out are left out. */
export function sumWork(lists: Iterable<readonly WorkShare[]>): readonly WorkShare[] {
	const sums = new Map<string, WorkShare>();

	for (const list of lists) {
		for (const [id, workMs, correctionMs] of list) {
			const sum = sums.get(id);
			sums.set(id, [id, workMs + (sum?.[1] ?? 0), correctionMs + (sum?.[2] ?? 0)]);
		}
	}

	return [...sums.values()].filter(([, workMs, correctionMs]) => workMs !== 0 || correctionMs !== 0);
}
