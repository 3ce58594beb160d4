/** What a daemon knows about the rate of requests that an instance accepts from all daemons together. Immutable. */
export type RequestLimit = {
	/** `undefined` where the instance names no limit. */
	readonly perSecond: number | undefined;
	/** When the answer that says so arrived, on the monotonic clock of this daemon. */
	readonly observedAtMs: number;
};

/** What one answer says about the limit of its instance. */
export type LimitStatement = {
	/** `undefined` where the answer names no limit; NaN where the limit that it names cannot be parsed. */
	readonly perSecond: number | undefined;
	/** Whether the instance ran the request. A rejection that names no limit does not end one. */
	readonly hasRun: boolean;
	/** When the request was sent. */
	readonly sentAtMs: number;
};

export const noRequestLimit: RequestLimit = {perSecond: undefined, observedAtMs: Number.NEGATIVE_INFINITY};

/** Relative change of a limit from which other daemons are told; smaller ones they learn from their own answers. */
const minReportedChange = 0.05;

/** Returns whether a named limit is valid: a finite number that is not negative. */
export function isValidRequestLimit(perSecond: number): boolean {
	return Number.isFinite(perSecond) && perSecond >= 0;
}

/**
Records what an answer says about the limit. An answer without a limit ends the known one only if its request was sent after that limit
became known: an earlier request may have been answered before the instance named its limit.

@example
```
recordRequestLimit(noRequestLimit, {perSecond: 3.3, hasRun: true, sentAtMs: 990}, 1000).perSecond; //=> 3.3
```
*/
export function recordRequestLimit(known: RequestLimit, {perSecond, hasRun, sentAtMs}: LimitStatement, nowMs: number): RequestLimit {
	if (perSecond !== undefined) {
		return isValidRequestLimit(perSecond) ? {perSecond, observedAtMs: nowMs} : known;
	}

	return known.perSecond === undefined || !hasRun || sentAtMs <= known.observedAtMs ? known : {perSecond: undefined, observedAtMs: nowMs};
}

/** Merges what two daemons know about the limit of an instance: the newer observation wins. */
export function mergeRequestLimits(known: RequestLimit, other: RequestLimit): RequestLimit {
	return other.observedAtMs > known.observedAtMs ? other : known;
}

/** Returns whether a limit began, ended or changed enough for other daemons to be told. */
export function isLimitChange(before: RequestLimit, after: RequestLimit): boolean {
	if (before.perSecond === undefined || after.perSecond === undefined) {
		return before.perSecond !== after.perSecond;
	}

	return Math.abs(after.perSecond - before.perSecond) > minReportedChange * Math.max(before.perSecond, after.perSecond);
}
