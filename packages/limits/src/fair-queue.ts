/** A request that waits, and the organisation that it is of. */
export type QueuedRequest<Item> = {readonly item: Item; readonly owner: string};

/** Requests that wait at an entry for a place, in order, with the pace at which they have been served. */
export type FairQueue<Item> = {
	readonly waiting: ReadonlyArray<QueuedRequest<Item>>;
	/** Smoothed time between two that left; undefined until two have. */
	readonly meanIntervalMs: number | undefined;
	readonly lastDepartureMs: number | undefined;
};

const smoothingFactor = 0.2;
const initialIntervalMs = 500;

/**
Creates an empty queue.

@example
```
const queue = enterHold(createHoldQueue<string>(), {item: requestId, owner: organisation}, nowMs);
```
*/
export function createHoldQueue<Item>(): FairQueue<Item> {
	return {waiting: [], meanIntervalMs: undefined, lastDepartureMs: undefined};
}

/**
Adds a request: organisations take turns, each in its own order, so that one that floods waits for itself. An empty queue
starts to count anew: idle time is not the time of serving one.
*/
export function enterHold<Item>(queue: FairQueue<Item>, held: QueuedRequest<Item>, nowMs: number): FairQueue<Item> {
	return {...queue, waiting: queue.waiting.toSpliced(findPosition(queue, held.owner), 0, held), lastDepartureMs: queue.waiting.length === 0 ? nowMs : queue.lastDepartureMs};
}

// Behind all that are at most as many-eth of their organisation as the new one would be of its own.
function findPosition({waiting}: FairQueue<unknown>, owner: string): number {
	const round = waiting.filter(held => held.owner === owner).length;
	const nextRounds = new Map<string, number>();

	for (const [position, held] of waiting.entries()) {
		const heldRound = nextRounds.get(held.owner) ?? 0;
		nextRounds.set(held.owner, heldRound + 1);

		if (heldRound > round) {
			return position;
		}
	}

	return waiting.length;
}

/** Takes a request out, wherever it stands. */
export function leaveHold<Item>(queue: FairQueue<Item>, item: Item, nowMs: number): FairQueue<Item> {
	const waiting = queue.waiting.filter(held => held.item !== item);

	if (waiting.length === queue.waiting.length) {
		return queue;
	}

	const intervalMs = nowMs - (queue.lastDepartureMs ?? nowMs);
	const previousMeanMs = queue.meanIntervalMs ?? intervalMs;

	return {waiting, meanIntervalMs: previousMeanMs + (smoothingFactor * (intervalMs - previousMeanMs)), lastDepartureMs: nowMs};
}

/**
Estimates how long a request of an organisation that enters now would wait.

@example
```
estimateWaitMs(queue, {owner: organisation, nowMs}) > deadlineMs - nowMs; // refuse at once
```
*/
export function estimateWaitMs(queue: FairQueue<unknown>, {owner, nowMs}: {readonly owner: string; readonly nowMs: number}): number {
	const sinceLastMs = queue.waiting.length === 0 ? 0 : nowMs - (queue.lastDepartureMs ?? nowMs);
	// A queue that has stopped moving is slower than its past.
	const intervalMs = Math.max(queue.meanIntervalMs ?? initialIntervalMs, sinceLastMs);

	return (findPosition(queue, owner) + 1) * intervalMs;
}
