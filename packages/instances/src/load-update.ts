/** Requests in flight at one instance, and the tokens they hold there, for one gateway or summed over several. */
export type InstanceShare = readonly [instanceId: string, requests: number, heldTokens: number];

/**
Change of the work that gateways have sent to an instance, and a correction by the difference between the instance's actual queue and the
estimate, both in ms.
*/
export type WorkDelta = readonly [instanceId: string, workMs: number, correctionMs: number];

/** Factor of the time that work takes at an instance now, as one of its responses told. */
export type PaceNote = readonly [instanceId: string, slowdown: number];

/** Load that gateways put on instances, as sent between gateways and coordinators. */
export type LoadUpdate = {
	/** Complete current shares; omitted from updates that only carry work, which are frequent. */
	readonly shares?: readonly InstanceShare[];
	/** Changes since the previous update. */
	readonly work: readonly WorkDelta[];
	/** Instances that were found slow since the previous update, and those that are no longer. */
	readonly paces?: readonly PaceNote[];
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

/** Sums work by instance and omits instances whose sums are 0. */
export function sumWork(lists: Iterable<readonly WorkDelta[]>): readonly WorkDelta[] {
	const sums = new Map<string, WorkDelta>();

	for (const list of lists) {
		for (const [id, workMs, correctionMs] of list) {
			const sum = sums.get(id);
			sums.set(id, [id, workMs + (sum?.[1] ?? 0), correctionMs + (sum?.[2] ?? 0)]);
		}
	}

	return [...sums.values()].filter(([, workMs, correctionMs]) => workMs !== 0 || correctionMs !== 0);
}
