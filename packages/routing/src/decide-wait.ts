/** Decision of a gateway about a request. */
export enum WaitDecision {
	Send = 'send',
	/** The request is queued at the gateway and decided again soon, since instances become free. */
	Wait = 'wait',
	/** The request cannot be answered before its caller gives up. */
	Refuse = 'refuse',
}

export type WaitInput = {
	/** Expected time to the first streamed piece if the request is sent now. */
	readonly expectedMs: number;
	/** Time until the instance begins its prefill. */
	readonly queueMs: number;
	/** Prefill time on an engine. */
	readonly workMs: number;
	/** Time until the instance has memory for a large prompt; 0 for others. */
	readonly memoryWaitMs: number;
	/** Time already spent in the gateway's queue. */
	readonly waitedMs: number;
	/** Time until all requests ahead of it in the gateway's queue have been sent. */
	readonly aheadMs: number;
	/** Latency target: a first piece within this time has full value. */
	readonly targetMs: number;
	/** Time after which the caller leaves if it has not received a first piece. */
	readonly patienceMs: number;
};

/** Prefill that is shorter than this delays no other request, so the request never waits at the gateway. */
const minLongWorkMs = 60;
/** An instance with a shorter queue counts as idle. */
export const maxIdleQueueMs = 80;

/**
Decides whether a request is sent, waits at the gateway or is refused. A request with a long prefill that would miss its target waits at the
gateway until an instance is idle: in an engine's queue it would delay the requests behind it. A request that cannot be answered in time
is refused at once. Load pattern: all callers reconnect at once after an outage, or a burst brings several seconds of work within one.

@example
```
decideWait({
	expectedMs: 2400, queueMs: 1900, workMs: 480, memoryWaitMs: 0, waitedMs: 0, aheadMs: 0, targetMs: 800, patienceMs: 3200,
}); //=> WaitDecision.Wait
```
*/
export function decideWait({expectedMs, queueMs, workMs, memoryWaitMs, waitedMs, aheadMs, targetMs, patienceMs}: WaitInput): WaitDecision {
	// In the queue of an engine that lacks memory for it, it would only block short prompts.
	if (memoryWaitMs > 0) {
		return waitedMs + Math.max(aheadMs, memoryWaitMs) + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
	}

	const isInTime = waitedMs + expectedMs <= targetMs;

	if (isInTime || (queueMs < maxIdleQueueMs && waitedMs + expectedMs < patienceMs)) {
		return WaitDecision.Send;
	}

	if (workMs >= minLongWorkMs) {
		return waitedMs + aheadMs + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
	}

	return waitedMs + expectedMs < patienceMs ? WaitDecision.Send : WaitDecision.Refuse;
}

export type ReopeningInput = {
	/** Time until the first instance ends a back-off; `undefined` where none backs off at its own request. */
	readonly restLeftMs: number | undefined;
	/** Time until the first limit that instances name leaves room again; `undefined` where none closes an instance. */
	readonly limitLeftMs: number | undefined;
	/** Whether the request may have run or its response has begun, so that it would be lost. */
	readonly isUnderWay: boolean;
	readonly workMs: number;
	readonly waitedMs: number;
	readonly patienceMs: number;
};

/**
Decides about a request while no instance takes any: returns the time for which it waits, or `undefined` if it is refused. Room that a limit leaves may go
to requests of other daemons, so only a request that would be lost waits for it. Load pattern: some instances back off and the limits of the others
are used up.

@example
```
decideReopening({restLeftMs: undefined, limitLeftMs: 700, isUnderWay: false, workMs: 60, waitedMs: 0, patienceMs: 1500}); //=> undefined
```
*/
export function decideReopening({restLeftMs, limitLeftMs, isUnderWay, ...rest}: ReopeningInput): number | undefined {
	const leftMs = Math.min(restLeftMs ?? Number.POSITIVE_INFINITY, (isUnderWay ? limitLeftMs : undefined) ?? Number.POSITIVE_INFINITY);

	return decideBackoff({...rest, restLeftMs: leftMs}) === WaitDecision.Wait ? leftMs : undefined;
}

export type BackoffInput = {
	/** Time until the first instance ends its back-off. */
	readonly restLeftMs: number;
	/** Time that an instance needs for the request. */
	readonly workMs: number;
	readonly waitedMs: number;
	readonly patienceMs: number;
};

/**
Decides about a request while all instances are backing off at their own request: it waits only if it can be answered in time after the first back-off
ends. Load pattern: all instances of a service reject requests at the same time.

@example
```
decideBackoff({restLeftMs: 2500, workMs: 60, waitedMs: 0, patienceMs: 1500}); //=> WaitDecision.Refuse
```
*/
export function decideBackoff({restLeftMs, workMs, waitedMs, patienceMs}: BackoffInput): WaitDecision.Wait | WaitDecision.Refuse {
	return waitedMs + restLeftMs + workMs < patienceMs ? WaitDecision.Wait : WaitDecision.Refuse;
}
