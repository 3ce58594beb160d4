/** What a gateway does with a request that an instance could take now. */
export enum WaitDecision {
	Send = 'send',
	/** It is asked again soon: instances free up. */
	Wait = 'wait',
	/** It cannot be answered before its caller gives up. */
	Refuse = 'refuse',
}

export type WaitQuestion = {
	/** Expected time to the first piece, where it would be sent now. */
	readonly expectedMs: number;
	/** Time that the instance needs before it begins to read it. */
	readonly queueMs: number;
	/** Time that it takes an engine by itself. */
	readonly workMs: number;
	/** Time until the instance has memory for it, where it is large. */
	readonly memoryWaitMs: number;
	readonly waitedMs: number;
	/** Time after which those that wait before it will have been sent. */
	readonly aheadMs: number;
	/** An answer within this is worth most. */
	readonly targetMs: number;
	/** The caller leaves without a first piece after this. */
	readonly patienceMs: number;
};

/** Shorter ones delay nobody and are sent on at once. */
const minLongWorkMs = 60;
/** An instance whose queue is shorter than this is taken to be free. */
export const freeQueueMs = 80;

/**
Decides about a request that takes an engine long. One that will be late anyway waits here and not in the engine, where it would make
those late that come after it; it is sent as soon as an instance is free. One whose turn would come too late is refused at once. Answers the load pattern of all callers that come back at once
after an outage, and of bursts: the work of some seconds arrives within one.

@example
```
decideWait({expectedMs: 2400, queueMs: 1900, workMs: 480, memoryWaitMs: 0, waitedMs: 0, aheadMs: 0, targetMs: 800, patienceMs: 3200}); //=> WaitDecision.Wait
```
*/
export function decideWait({expectedMs, queueMs, workMs, memoryWaitMs, waitedMs, aheadMs, targetMs, patienceMs}: WaitQuestion): WaitDecision {
	// In an engine without memory for it, it would only stand before short ones.
	if (memoryWaitMs > 0) {
		return waitedMs + Math.max(aheadMs, memoryWaitMs) + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
	}

	const isInTime = waitedMs + expectedMs <= targetMs;

	if (isInTime || (queueMs < freeQueueMs && waitedMs + expectedMs < patienceMs)) {
		return WaitDecision.Send;
	}

	if (workMs >= minLongWorkMs) {
		return waitedMs + aheadMs + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
	}

	return waitedMs + expectedMs < patienceMs ? WaitDecision.Send : WaitDecision.Refuse;
}

export type BackoffInput = {
	/** Until the first instance ends its rest. */
	readonly restLeftMs: number;
	/** Time that the request takes an instance by itself. */
	readonly workMs: number;
	readonly waitedMs: number;
	readonly patienceMs: number;
};

/**
Decides about a request while every instance has asked for a rest: it waits where it can be answered after the first of them ends. Answers
the load pattern of a whole service that turns its callers away at once.

@example
```
decideRest({restLeftMs: 2500, workMs: 60, waitedMs: 0, patienceMs: 1500}); //=> WaitDecision.Refuse
```
*/
export function decideRest({restLeftMs, workMs, waitedMs, patienceMs}: BackoffInput): WaitDecision.Wait | WaitDecision.Refuse {
	return waitedMs + restLeftMs + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
}
