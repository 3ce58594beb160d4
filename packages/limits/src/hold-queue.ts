/** Requests that wait at an entry for a place, in order, with the pace at which they have been served. */
export type HoldQueue<Item> = {
	readonly waiting: readonly Item[];
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
const queue = enterHold(createHoldQueue<string>(), requestId, nowMs);
```
*/
export function createHoldQueue<Item>(): HoldQueue<Item> {
	return {waiting: [], meanIntervalMs: undefined, lastLeftMs: undefined};
}

/** Adds a request at the end. An empty queue starts to count anew: idle time is not the time of serving one. */
export function enterHold<Item>(queue: HoldQueue<Item>, item: Item, nowMs: number): HoldQueue<Item> {
	return {...queue, waiting: [...queue.waiting, item], lastLeftMs: queue.waiting.length === 0 ? nowMs : queue.lastLeftMs};
}

/** Takes a request out, wherever it stands. */
export function leaveHold<Item>(queue: HoldQueue<Item>, item: Item, nowMs: number): HoldQueue<Item> {
	const waiting = queue.waiting.filter(other => other !== item);

	if (waiting.length === queue.waiting.length) {
		return queue;
	}

	const intervalMs = nowMs - (queue.lastLeftMs ?? nowMs);
	const before = queue.meanIntervalMs ?? intervalMs;

	return {waiting, meanIntervalMs: before + (smoothing * (intervalMs - before)), lastLeftMs: nowMs};
}

/**
Estimates how long a request that enters now would wait.

@example
```
estimateWaitMs(queue, nowMs) > deadlineMs - nowMs; // refuse at once
```
*/
export function estimateWaitMs(queue: HoldQueue<unknown>, nowMs: number): number {
	const sinceLastMs = queue.waiting.length === 0 ? 0 : nowMs - (queue.lastLeftMs ?? nowMs);
	// A queue that has stopped moving is slower than its past.
	const intervalMs = Math.max(queue.meanIntervalMs ?? firstGuessMs, sinceLastMs);

	return (queue.waiting.length + 1) * intervalMs;
}
