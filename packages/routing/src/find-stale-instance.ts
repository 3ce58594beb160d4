import {type InstanceOption} from './choose-instance.js';
import {computeSampleWeight, defaultServiceTimeMs, estimateOtherRequests} from './instance-load.js';

/** What decides whether a call may go to an instance that has not been asked for some time. */
export type RevisitInput = {
	/** Calls sent to the service since the last one that went to such an instance. */
	readonly callsSince: number;
	/** Time that the caller leaves for the call. */
	readonly timeLeftMs: number;
};

/** Lets at most every 50th call find out whether an instance is as slow as it was. */
const minCallsBetween = 50;
const minUnaskedMs = 2000;
/** Factor of the time that a call is believed to take: the time without calls before an instance is asked again. */
const unaskedFactor = 20;
/** An instance is asked again only by callers that have this many times the time that the call is believed to take. */
const timeLeftFactor = 2;
const maxFailureShare = 0.05;

/**
Finds the instance that has been without calls for longest, of those that are to be asked again: the mean time of an instance's calls, and the share that
failed, change only by its own answers, so that one that was slow once would stay out of use for good.

@example
```
findStaleInstance(options, {callsSince: 60, timeLeftMs: 1000, nowMs})?.id; //=> 'i-3'
```
*/
export function findStaleInstance(options: readonly InstanceOption[], {callsSince, timeLeftMs, nowMs}: RevisitInput & {readonly nowMs: number}): InstanceOption | undefined {
	if (callsSince < minCallsBetween) {
		return undefined;
	}

	let longestMs = Math.min(...options.map(option => measureUnaskedMs(option, nowMs)));
	let stale: InstanceOption | undefined;

	for (const option of options) {
		const unaskedMs = measureUnaskedMs(option, nowMs);

		// Others have been preferred to it.
		if (unaskedMs > longestMs && canBeAsked(option, nowMs) && timeLeftMs >= timeLeftFactor * estimateBelievedMs(option, nowMs)) {
			longestMs = unaskedMs;
			stale = option;
		}
	}

	return stale;
}

function measureUnaskedMs({load}: InstanceOption, nowMs: number): number {
	return nowMs - (load.lastCallAtMs ?? Number.NEGATIVE_INFINITY);
}

// Whether no call has been sent there for so long that what was seen is no reason any more to leave it out.
function canBeAsked(option: InstanceOption, nowMs: number): boolean {
	const {load, slots, failureShare, coldLeftMs = 0} = option;

	return load.own === 0 && coldLeftMs === 0 && estimateOtherRequests(load, nowMs) < slots
		&& measureUnaskedMs(option, nowMs) >= Math.max(minUnaskedMs, unaskedFactor * estimateBelievedMs(option, nowMs))
		&& failureShare * computeSampleWeight(load.lastCallAtMs, nowMs) <= maxFailureShare;
}

/** Estimates the time of a call at an instance by samples that may be old. */
export function estimateBelievedMs({load}: Pick<InstanceOption, 'load'>, nowMs: number): number {
	return (load.meanMs ?? defaultServiceTimeMs) * computeSampleWeight(load.meanAtMs, nowMs);
}
