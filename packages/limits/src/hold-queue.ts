/** A request that waits, and the organisation that it is of. */
export type Held<Item> = {readonly item: Item; readonly owner: string};

/** Requests that wait at an entry for a place, in order, with the pace at which they have been served. */
export type HoldQueue<Item> = {
	readonly waiting: ReadonlyArray<Held<Item>>;
	/** Smoothed time between two that left; undefined until two have. */
	readonly meanIntervalMs: number | undefined;
	readonly lastLeftMs: number | undefined;
};

const smoothing = 0.2;
const firstGuessMs = 500;

/**
Creates an empty queue.

@example
```
const queue = enterHold(createHoldQueue<string>(), {item: requestId, owner: organisation}, nowMs);
```
*/
export function createHoldQueue<Item>(): HoldQueue<Item> {
	return {waiting: [], meanIntervalMs: undefined, lastLeftMs: undefined};
}

/**
Adds a request: organisations take turns, each in its own order, so that one that floods waits for itself. An empty queue
starts to count anew: idle time is not the time of serving one.
*/
export function enterHold<Item>(queue: HoldQueue<Item>, held: Held<Item>, nowMs: number): HoldQueue<Item> {
	return {...queue, waiting: queue.waiting.toSpliced(findPlace(queue, held.owner), 0, held), lastLeftMs: queue.waiting.length === 0 ? nowMs : queue.lastLeftMs};
}

// Behind all that are at most as many-eth of their organisation as the new one would be of its own.
function findPlace({waiting}: HoldQueue<unknown>, owner: string): number {
	const turn = waiting.filter(held => held.owner === owner).length;
	const turns = new Map<string, number>();

	for (const [position, held] of waiting.entries()) {
		const heldTurn = turns.get(held.owner) ?? 0;
		turns.set(held.owner, heldTurn + 1);

		if (heldTurn > turn) {
			return position;
		}
	}

	return waiting.length;
}

/** Takes a request out, wherever it stands. */
export function leaveHold<Item>(queue: HoldQueue<Item>, item: Item, nowMs: number): HoldQueue<Item> {
	const waiting = queue.waiting.filter(held => held.item !== item);

	if (waiting.length === queue.waiting.length) {
		return queue;
	}

	const intervalMs = nowMs - (queue.lastLeftMs ?? nowMs);
	const before = queue.meanIntervalMs ?? intervalMs;

	return {waiting, meanIntervalMs: before + (smoothing * (intervalMs - before)), lastLeftMs: nowMs};
}

/**
Estimates how long a request of an organisation that enters now would wait.

@example
```
estimateWaitMs(queue, {owner: organisation, nowMs}) > deadlineMs - nowMs; // refuse at once
```
*/
export function estimateWaitMs(queue: HoldQueue<unknown>, {owner, nowMs}: {readonly owner: string; readonly nowMs: number}): number {
	const sinceLastMs = queue.waiting.length === 0 ? 0 : nowMs - (queue.lastLeftMs ?? nowMs);
	// A queue that has stopped moving is slower than its past.
	const intervalMs = Math.max(queue.meanIntervalMs ?? firstGuessMs, sinceLastMs);

	return (findPlace(queue, owner) + 1) * intervalMs;
}
