export type ReturnQuery = {
	/** When the first request may be sent again. */
	readonly reopeningMs: number;
	/** Time in which one request of this daemon is sent, given the limits and what other daemons send. */
	readonly spacingMs: number;
	readonly nowMs: number;
};

/** Callers are told to return no later than this, since a limit may end at any time. */
const maxReturnMs = 5000;

/**
Decides when a refused caller should return: each refused caller gets a turn of its own, at the rate at which requests can be sent. Load pattern:
far more callers than the instances take; told the same time, they would all return together and be refused again.

@example
```
planReturn(undefined, {reopeningMs: 1300, spacingMs: 500, nowMs: 1000}); //=> {returnAtMs: 1300, nextReturnMs: 1800}
```
*/
export function planReturn(nextReturnMs: number | undefined, {reopeningMs, spacingMs, nowMs}: ReturnQuery): {readonly returnAtMs: number; readonly nextReturnMs: number} {
	const returnAtMs = Math.max(reopeningMs, Math.min(nextReturnMs ?? reopeningMs, nowMs + maxReturnMs));

	return {returnAtMs, nextReturnMs: returnAtMs + spacingMs};
}
