import {computeHash} from '@fescuestair/core';

/** The last instant at which a daemon used its share of an instance. Immutable. */
export type SafeShare = {readonly usedAtMs: number};

export type SafeShareQuery = {
	readonly daemon: string;
	readonly instance: string;
	/** Daemons that share the instance, as far as this one knows. */
	readonly daemons: number;
	/** Requests per second of all these daemons together. */
	readonly perSecond: number;
	/** Longest time for which the request can wait. */
	readonly maxWaitMs: number;
	readonly nowMs: number;
};

export type SafeSharePlan = {
	readonly share: SafeShare | undefined;
	/** When the request may be sent; `undefined` where it may not. */
	readonly startAtMs: number | undefined;
	/** When this daemon may send one next. */
	readonly nextAtMs: number;
};

/** An instant that is not used for this long is lost. */
const instantValidityMs = 250;
const hashRange = 2 ** 32;
const msPerSecond = 1000;

/**
Decides whether a daemon that reaches no granting daemon may send a request to an instance. Without a message, each daemon has instants of its own, at
a distance of the number of daemons over the rate; a hash spreads them, and what is not used is lost. Load pattern: all daemons have requests for the
same few instances and none knows what the others send.

@example
```
const {share, startAtMs} = planSafeShare(undefined, {daemon: 'gateway-1', instance: 'i-1', daemons: 23, perSecond: 4, maxWaitMs: 500, nowMs});
```
*/
export function planSafeShare(previous: SafeShare | undefined, {daemon, instance, daemons, perSecond, maxWaitMs, nowMs}: SafeShareQuery): SafeSharePlan {
	if (perSecond <= 0) {
		return {share: previous, startAtMs: undefined, nextAtMs: Number.POSITIVE_INFINITY};
	}

	const periodMs = Math.max(1, daemons) * msPerSecond / perSecond;
	const phaseMs = periodMs * Number(computeHash(`${daemon}/${instance}`) % BigInt(hashRange)) / hashRange;
	const findInstant = (fromMs: number) => phaseMs + (Math.ceil((fromMs - phaseMs) / periodMs) * periodMs);
	const currentMs = findInstant(nowMs - instantValidityMs);
	// The number of daemons may have changed since the last use.
	const isUsed = previous !== undefined && currentMs - previous.usedAtMs < periodMs / 2;
	const instantMs = isUsed ? findInstant(previous.usedAtMs + (periodMs / 2)) : currentMs;
	const startAtMs = Math.max(nowMs, instantMs);

	return startAtMs - nowMs <= maxWaitMs
		? {share: {usedAtMs: instantMs}, startAtMs, nextAtMs: instantMs + periodMs}
		: {share: previous, startAtMs: undefined, nextAtMs: startAtMs};
}
