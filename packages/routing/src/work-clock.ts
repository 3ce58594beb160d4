/**
When an instance will have read the prompts that were sent to it: it reads one after the other, so each adds to the end of the queue.
All daemons keep the same clock by telling each other what they add.
*/
export type WorkClock = {
	readonly busyUntilMs: number;
	/** Sum of all corrections so far: what two prompts in one queue see is one delay, not two. */
	readonly correctedMs: number;
};

/** What was expected of one prompt as it was sent. */
export type WorkEstimate = {
	readonly workMs: number;
	readonly doneAtMs: number;
	readonly correctedMs: number;
};

/** One prompt that took long for reasons of its own moves the clock no further than this. */
const maxCorrectionMs = 1500;

/** Creates the clock of an instance that nothing was sent to. */
export function createWorkClock(): WorkClock {
	return {busyUntilMs: Number.NEGATIVE_INFINITY, correctedMs: 0};
}

/**
Adds the work of a prompt; a negative amount takes work back that will not be done.

@example
```
const clock = addWork(createWorkClock(), 340, nowMs);
computeWaitMs(clock, nowMs + 100); //=> 240
```
*/
export function addWork(clock: WorkClock, workMs: number, nowMs: number): WorkClock {
	return {...clock, busyUntilMs: Math.max(nowMs, clock.busyUntilMs) + workMs};
}

/** Computes how long a prompt that is sent now waits before it is read. */
export function computeWaitMs(clock: WorkClock, nowMs: number): number {
	return Math.max(0, clock.busyUntilMs - nowMs);
}

/** Notes what is expected of a prompt that was just added. */
export function estimateWork(clock: WorkClock, workMs: number): WorkEstimate {
	return {workMs, doneAtMs: clock.busyUntilMs, correctedMs: clock.correctedMs};
}

/** Computes by how much the clock is off, as told by a prompt whose first piece came now. */
export function computeCorrectionMs(clock: WorkClock, estimate: WorkEstimate, nowMs: number): number {
	const offMs = nowMs - estimate.doneAtMs - (clock.correctedMs - estimate.correctedMs);

	return Math.min(maxCorrectionMs, Math.max(-maxCorrectionMs, offMs));
}

/** Tells whether a prompt should have given its first piece by now. */
export function isOverdue(clock: WorkClock, estimate: WorkEstimate, nowMs: number): boolean {
	return nowMs > estimate.doneAtMs + (clock.correctedMs - estimate.correctedMs);
}

/** Resets the clock of an instance that has nothing to read. */
export function resetClock(clock: WorkClock): WorkClock {
	return {...clock, busyUntilMs: Number.NEGATIVE_INFINITY};
}

/** Corrects the clock. */
export function correctClock(clock: WorkClock, correctionMs: number, nowMs: number): WorkClock {
	return {busyUntilMs: Math.max(nowMs, clock.busyUntilMs) + correctionMs, correctedMs: clock.correctedMs + correctionMs};
}
