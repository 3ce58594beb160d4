/** A waiting request and its organisation. */
export type QueuedRequest<Item> = {readonly item: Item; readonly owner: string};

/** Requests that wait at an entry for a slot, in service order, with their service rate. */
export type FairQueue<Item> = {
	readonly waiting: ReadonlyArray<QueuedRequest<Item>>;
	/** Moving average of the time between departures; undefined until the first departure. */
	readonly meanIntervalMs: number | undefined;
	readonly lastDepartureMs: number | undefined;
};

/** Weight of the newest interval in the moving average. */
const smoothingFactor = 0.2;
/** Interval that is assumed until the first departure. */
const initialIntervalMs = 500;

/**
Creates an empty queue.

@example
```
const queue = enterQueue(createFairQueue<string>(), {item: requestId, owner: organisation}, nowMs);
```
*/
export function createFairQueue<Item>(): FairQueue<Item> {
	return {waiting: [], meanIntervalMs: undefined, lastDepartureMs: undefined};
}

/**
Adds a request. Organisations are served round-robin and each in FIFO order, so that one with many requests delays only
itself. An empty queue restarts the interval measurement, since idle time is not service time.
*/
export function enterQueue<Item>(queue: FairQueue<Item>, queued: QueuedRequest<Item>, nowMs: number): FairQueue<Item> {
	return {...queue, waiting: queue.waiting.toSpliced(findPosition(queue, queued.owner), 0, queued), lastDepartureMs: queue.waiting.length === 0 ? nowMs : queue.lastDepartureMs};
}

// With n waiting requests of its organisation, the new one belongs to round n: behind every request of rounds 0 to n.
function findPosition({waiting}: FairQueue<unknown>, owner: string): number {
	const round = waiting.filter(queued => queued.owner === owner).length;
	const nextRounds = new Map<string, number>();

	for (const [position, queued] of waiting.entries()) {
		const queuedRound = nextRounds.get(queued.owner) ?? 0;
		nextRounds.set(queued.owner, queuedRound + 1);

		if (queuedRound > round) {
			return position;
		}
	}

	return waiting.length;
}

/** Removes a request from any position. */
export function leaveQueue<Item>(queue: FairQueue<Item>, item: Item, nowMs: number): FairQueue<Item> {
	const waiting = queue.waiting.filter(queued => queued.item !== item);

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
	// If the queue has stalled, the time since the last departure is a better estimate than the mean.
	const intervalMs = Math.max(queue.meanIntervalMs ?? initialIntervalMs, sinceLastMs);

	return (findPosition(queue, owner) + 1) * intervalMs;
}
