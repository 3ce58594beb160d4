/**
When an instance will have read the prompts that were sent to it: it reads one after the other, so each adds to the end of the queue.
All daemons keep the same clock by telling each other what they add.
*/
export type WorkBacklog = {
	readonly busyUntilMs: number;
	/** Sum of all corrections so far: what two prompts in one queue see is one delay, not two. */
	readonly totalCorrectionMs: number;
};

/** What was expected of one prompt as it was sent. */
export type WorkEstimate = {
	readonly workMs: number;
	readonly doneAtMs: number;
	readonly totalCorrectionMs: number;
};

/** One prompt that took long for reasons of its own moves the clock no further than this. */
const maxCorrectionMs = 1500;

/** Creates the clock of an instance that nothing was sent to. */
export function createWorkBacklog(): WorkBacklog {
	return {busyUntilMs: Number.NEGATIVE_INFINITY, totalCorrectionMs: 0};
}

/**
Adds the work of a prompt; a negative amount takes work back that will not be done.

@example
```
const backlog = addWork(createWorkClock(), 340, nowMs);
computeWaitMs(backlog, nowMs + 100); //=> 240
```
*/
export function addWork(backlog: WorkBacklog, workMs: number, nowMs: number): WorkBacklog {
	return {...backlog, busyUntilMs: Math.max(nowMs, backlog.busyUntilMs) + workMs};
}

/** Computes how long a prompt that is sent now waits before it is read. */
export function computeWaitMs(backlog: WorkBacklog, nowMs: number): number {
	return Math.max(0, backlog.busyUntilMs - nowMs);
}

/** Notes what is expected of a prompt that was just added. */
export function estimateWork(backlog: WorkBacklog, workMs: number): WorkEstimate {
	return {workMs, doneAtMs: backlog.busyUntilMs, totalCorrectionMs: backlog.totalCorrectionMs};
}

/** Computes by how much the clock is off, as told by a prompt whose first piece came now. */
export function computeCorrectionMs(backlog: WorkBacklog, estimate: WorkEstimate, nowMs: number): number {
	const errorMs = nowMs - estimate.doneAtMs - (backlog.totalCorrectionMs - estimate.totalCorrectionMs);

	return Math.min(maxCorrectionMs, Math.max(-maxCorrectionMs, errorMs));
}

/** Tells whether a prompt should have given its first piece by now. */
export function isOverdue(backlog: WorkBacklog, estimate: WorkEstimate, nowMs: number): boolean {
	return nowMs > estimate.doneAtMs + (backlog.totalCorrectionMs - estimate.totalCorrectionMs);
}

/** Resets the clock of an instance that has nothing to read. */
export function resetClock(backlog: WorkBacklog): WorkBacklog {
	return {...backlog, busyUntilMs: Number.NEGATIVE_INFINITY};
}

/** Corrects the clock. */
export function correctClock(backlog: WorkBacklog, correctionMs: number, nowMs: number): WorkBacklog {
	return {busyUntilMs: Math.max(nowMs, backlog.busyUntilMs) + correctionMs, totalCorrectionMs: backlog.totalCorrectionMs + correctionMs};
}
