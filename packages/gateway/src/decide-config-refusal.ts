export type ConfigRefusal
	/** No newer configuration that allows the request can have been accepted for longer than it may take to come into force. */
	= | {readonly isFinal: true}
		/** A newer configuration may allow it; the caller may come back then. */
		| {readonly isFinal: false; readonly retryAfterMs: number};

export type ConfigRefusalInput = {
	readonly nowMs: number;
	/** The latest time for which it is known that the configuration in force here was the newest; `undefined` where there is none. */
	readonly knownAtMs: number | undefined;
	/** Of this process. The one before may have had a newer configuration in force. */
	readonly startedAtMs: number;
	/** Time within which an accepted configuration has to be in force. */
	readonly configApplyMs: number;
};

/** About the interval of hellos, by which a gateway finds out. */
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;

/**
Decides how to refuse a request that the configuration in force does not allow. Load pattern: a gateway that has been without coordinators for a while, or stood still, gets requests that only a newer
configuration allows, together with those that none allows. The latter are not invited back without end: each return has to wait for as long as the gateway has been in doubt.

@example
```
decideConfigRefusal({nowMs: 9000, knownAtMs: 8200, startedAtMs: 0, configApplyMs: 2000}); //=> {isFinal: true}
decideConfigRefusal({nowMs: 9000, knownAtMs: 5000, startedAtMs: 0, configApplyMs: 2000}); //=> {isFinal: false, retryAfterMs: 4000}
```
*/
export function decideConfigRefusal({nowMs, knownAtMs, startedAtMs, configApplyMs}: ConfigRefusalInput): ConfigRefusal {
	const sinceMs = Math.max(knownAtMs ?? Number.NEGATIVE_INFINITY, startedAtMs);
	const isKnownSinceStart = knownAtMs !== undefined && knownAtMs >= startedAtMs;

	return isKnownSinceStart && nowMs - knownAtMs <= configApplyMs
		? {isFinal: true}
		: {isFinal: false, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, nowMs - sinceMs))};
}
