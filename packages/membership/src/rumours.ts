/** News still to be passed on, by record, with how often it has been. */
export type Rumours = ReadonlyMap<string, number>;

export type RumourLimits = {
	/** News that rides on one message. */
	readonly perMessage: number;
	/** Times that each is told. */
	readonly tellings: number;
};

/**
Takes the news that the next message carries, the least told first, and drops what has been told often enough.

@example
```
const {ids, rumours} = takeRumours(before, {perMessage: 24, tellings: 9});
```
*/
export function takeRumours(before: Rumours, {perMessage, tellings}: RumourLimits): {readonly ids: readonly string[]; readonly rumours: Rumours} {
	const chosen = [...before].toSorted((a, b) => a[1] - b[1]).slice(0, perMessage);
	const rumours = new Map(before);

	for (const [id, count] of chosen) {
		if (count + 1 >= tellings) {
			rumours.delete(id);
		} else {
			rumours.set(id, count + 1);
		}
	}

	return {ids: chosen.map(([id]) => id), rumours};
}
