/**
Estimate of an instance's prefill backlog. An instance processes prompts one after the other, so each prompt extends the time until it is
idle. Daemons exchange the work that they add, so that all of them keep the same estimate.
*/
export type WorkBacklog = {
	readonly busyUntilMs: number;
	/** Sum of all corrections so far; with it, a delay that several prompts in one queue see is corrected only once. */
	readonly totalCorrectionMs: number;
};

/** Estimate for one prompt at the time when it was sent. */
export type WorkEstimate = {
	readonly workMs: number;
	readonly doneAtMs: number;
	readonly totalCorrectionMs: number;
};

/** Bound on the correction by one prompt, which may have been slow for reasons that do not concern the queue. */
const maxCorrectionMs = 1500;

/** Creates the backlog of an instance to which no prompt was sent. */
export function createWorkBacklog(): WorkBacklog {
	return {busyUntilMs: Number.NEGATIVE_INFINITY, totalCorrectionMs: 0};
}

/**
Adds the prefill time of a prompt; a negative amount removes work that was cancelled.

@example
```
const backlog = addWork(createWorkBacklog(), 340, nowMs);
computeWaitMs(backlog, nowMs + 100); //=> 240
```
*/
export function addWork(backlog: WorkBacklog, workMs: number, nowMs: number): WorkBacklog {
	return {...backlog, busyUntilMs: Math.max(nowMs, backlog.busyUntilMs) + workMs};
}

/** Computes how long a prompt that is sent now waits for its prefill. */
export function computeWaitMs(backlog: WorkBacklog, nowMs: number): number {
	return Math.max(0, backlog.busyUntilMs - nowMs);
}

/** Creates the estimate for the prompt that was added last. */
export function estimateWork(backlog: WorkBacklog, workMs: number): WorkEstimate {
	return {workMs, doneAtMs: backlog.busyUntilMs, totalCorrectionMs: backlog.totalCorrectionMs};
}

/** Computes the error of the backlog from a prompt whose first piece arrived now. */
export function computeCorrectionMs(backlog: WorkBacklog, estimate: WorkEstimate, nowMs: number): number {
	const errorMs = nowMs - estimate.doneAtMs - (backlog.totalCorrectionMs - estimate.totalCorrectionMs);

	return Math.min(maxCorrectionMs, Math.max(-maxCorrectionMs, errorMs));
}

/** Returns whether the first piece of a prompt is overdue. */
export function isOverdue(backlog: WorkBacklog, estimate: WorkEstimate, nowMs: number): boolean {
	return nowMs > estimate.doneAtMs + (backlog.totalCorrectionMs - estimate.totalCorrectionMs);
}

/** Resets the backlog of an instance that has no prompts waiting for prefill. */
export function resetBacklog(backlog: WorkBacklog): WorkBacklog {
	return {...backlog, busyUntilMs: Number.NEGATIVE_INFINITY};
}

/** Applies a correction to the backlog. */
export function correctBacklog(backlog: WorkBacklog, correctionMs: number, nowMs: number): WorkBacklog {
	return {busyUntilMs: Math.max(nowMs, backlog.busyUntilMs) + correctionMs, totalCorrectionMs: backlog.totalCorrectionMs + correctionMs};
}
