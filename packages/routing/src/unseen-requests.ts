/** Moving average of the requests that this gateway sends to a service. Immutable. */
export type DispatchRate = {readonly perMs: number; readonly atMs: number};

/** Time over which the rate is averaged. */
const averagingMs = 2000;
/** Time that the work of other gateways takes to become known here: collected, relayed and sent twice. */
const exchangeMs = 25;
/** Bound on the age that counts: after a longer silence the instances have worked off what was sent at its beginning. */
const maxAgeMs = 1000;

/** Creates the rate of a gateway that has sent nothing. */
export function createDispatchRate(): DispatchRate {
	return {perMs: 0, atMs: 0};
}

/** Adds one request that is sent now. */
export function recordDispatch({perMs, atMs}: DispatchRate, nowMs: number): DispatchRate {
	return {perMs: (perMs * Math.exp((atMs - nowMs) / averagingMs)) + (1 / averagingMs), atMs: nowMs};
}

/**
Estimates how many requests the other gateways have sent to a service that this one does not know of yet, as if each of them sent as many as
this one does. It grows with the time for which nothing was heard of them: while this gateway was cut off, or did not run.

@example
```
estimateUnseenRequests({rate, otherGateways: 88, heardAtMs: nowMs - 10, nowMs}); //=> 14.2
```
*/
export function estimateUnseenRequests({rate, otherGateways, heardAtMs, nowMs}: {
	readonly rate: DispatchRate; readonly otherGateways: number; readonly heardAtMs: number; readonly nowMs: number;
}): number {
	const ageMs = exchangeMs + Math.min(maxAgeMs, Math.max(0, nowMs - heardAtMs));

	return Math.max(0, otherGateways) * rate.perMs * ageMs;
}
