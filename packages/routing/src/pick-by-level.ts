/** One of the things to choose from, and its cost. */
export type LeveledOption = {
	readonly cost: number;
	/** By how much one more request raises the cost. */
	readonly costPerRequest: number;
};

export type LevelInput = {
	/** Requests that others have sent and whose cost is not known. */
	readonly unseenRequests: number;
	/** From 0 to 1; differs between those who choose. */
	readonly draw: number;
};

/**
Picks at random among the options that others, who see the same costs, may be choosing at the same moment: those that the unseen requests would
raise to one common level if they went to the cheapest first. Each is picked in proportion to the requests that it takes up to that level, so
that all who choose together leave the costs even (basic load interpretation: M. Dahlin, "Interpreting stale load information", IEEE TPDS 11(10),
2000). With no unseen requests the cheapest options remain.

@example
```
pickByLevel([{cost: 5, costPerRequest: 8}, {cost: 6, costPerRequest: 8}, {cost: 90, costPerRequest: 8}], {unseenRequests: 3, draw: 0.7}); //=> the second
```
*/
export function pickByLevel<Option extends LeveledOption>(options: readonly Option[], {unseenRequests, draw}: LevelInput): Option | undefined {
	const sorted = options.toSorted((a, b) => a.cost - b.cost);
	let takenPerMs = 0;
	let takenAtZero = 0;
	let level = Number.NEGATIVE_INFINITY;
	let count = 0;

	for (const {cost, costPerRequest} of sorted) {
		// The level that the requests reach with the options so far; it ends at the first option whose cost is above it.
		if (count > 0 && cost > level) {
			break;
		}

		const perMs = 1 / Math.max(minCostPerRequest, costPerRequest);
		takenPerMs += perMs;
		takenAtZero += cost * perMs;
		level = (Math.max(minUnseenRequests, unseenRequests) + takenAtZero) / takenPerMs;
		count++;
	}

	let left = draw * Math.max(minUnseenRequests, unseenRequests);

	for (const option of sorted.slice(0, count)) {
		left -= (level - option.cost) / Math.max(minCostPerRequest, option.costPerRequest);

		if (left < 0) {
			return option;
		}
	}

	return sorted[Math.max(0, count - 1)];
}

const minCostPerRequest = 0.01;
/** Keeps the proportions defined where nothing is unseen: options of equal cost are equally likely. */
const minUnseenRequests = 0.001;
