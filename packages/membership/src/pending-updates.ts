/** Number of transmissions so far of each update still to be disseminated, by record id. */
export type PendingUpdates = ReadonlyMap<string, number>;

export type UpdateLimits = {
	/** Updates piggybacked on one message. */
	readonly maxPerMessage: number;
	/** Transmissions after which an update is dropped. */
	readonly maxTransmissions: number;
};

/**
Selects the updates for the next message, the least transmitted first, counts the transmission, and drops updates that reached the limit.

@example
```
const {ids, pending} = takeUpdates(before, {maxPerMessage: 24, maxTransmissions: 9});
```
*/
export function takeUpdates(before: PendingUpdates, {maxPerMessage, maxTransmissions}: UpdateLimits): {readonly ids: readonly string[]; readonly pending: PendingUpdates} {
	const chosen = [...before].toSorted((a, b) => a[1] - b[1]).slice(0, maxPerMessage);
	const pending = new Map(before);

	for (const [id, count] of chosen) {
		if (count + 1 >= maxTransmissions) {
			pending.delete(id);
		} else {
			pending.set(id, count + 1);
		}
	}

	return {ids: chosen.map(([id]) => id), pending};
}
