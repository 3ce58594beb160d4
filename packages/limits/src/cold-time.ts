/** What a service's configuration says about its cold instances. */
export type ColdTerms = {
	/** How long an instance stays cold after a start. */
	readonly durationMs: number;
	/** Requests per second that a cold instance accepts from all daemons together. */
	readonly requestsPerSecond: number;
};

/** By how much a cold instance may be sent more than it accepts, in any one second. */
export type ColdBound = {
	readonly overage: number;
	readonly slackRequests: number;
};

/** What a daemon knows of an instance from its announcements, on the monotonic clock of the daemon. */
export type ColdAnnouncement = {
	/** Time for which the instance said to stay cold; `undefined` where it does not tell. */
	readonly coldLeftMs: number | undefined;
	/** When it said so. */
	readonly heardAtMs: number;
	/** When the daemon first heard of this start, if it knew an earlier one; `undefined` otherwise, as for the first start of the system. */
	readonly restartedAtMs?: number | undefined;
};

/** What answers of an instance, and other daemons, said of the time for which it is cold. Immutable. */
export type ColdTime = {
	readonly endMs: number;
	/** Announcements from before this time are refuted by an answer. */
	readonly refutedBeforeMs: number;
};

export type ColdQuery = {
	readonly terms: ColdTerms;
	readonly announcement: ColdAnnouncement;
	/** Instances whose newest announcement is from before this time count as cold from then on, as after a time in which they got no requests. */
	readonly coldSinceMs?: number | undefined;
};

export const noColdTime: ColdTime = {endMs: Number.NEGATIVE_INFINITY, refutedBeforeMs: Number.NEGATIVE_INFINITY};

/** Upper bound on how long an instance counts as cold after it said so, where its service names no longer time. */
const maxColdMs = 10_000;
/** A later end by less than this is the transit time of the message that names it. */
const coldToleranceMs = 250;
/** Permits of a cold instance that may be used in one second: those that begin in it, those still valid, and those whose answer took longest. */
const countedSeconds = 1.5;
/** The same with answers that take no time. */
const usualCountedSeconds = 1.25;

/** Cold instances get their permits one by one, since a burst comes on top of the permits that are still valid. */
export const coldBurstRequests = 1;

function adjustColdMs(coldLeftMs: number, durationMs: number): number {
	return Math.min(Math.max(0, coldLeftMs), Math.max(maxColdMs, durationMs));
}

/**
Computes until when an instance is cold by its announcements: what it says counts, from when it said so. An instance that says nothing is cold from its
start on, if it was seen to restart; at the first start of a system none are.

@example
```
computeAnnouncedColdEnd({terms: {durationMs: 3000, requestsPerSecond: 23}, announcement: {coldLeftMs: 2000, heardAtMs: 500}}); //=> 2500
```
*/
export function computeAnnouncedColdEnd({terms: {durationMs}, announcement: {coldLeftMs, heardAtMs, restartedAtMs}, coldSinceMs}: ColdQuery): number {
	const silentEndMs = (restartedAtMs ?? Number.NEGATIVE_INFINITY) + durationMs;
	const announcedEndMs = coldLeftMs === undefined ? silentEndMs : heardAtMs + adjustColdMs(coldLeftMs, durationMs);

	return coldSinceMs === undefined || heardAtMs > coldSinceMs ? announcedEndMs : Math.max(announcedEndMs, coldSinceMs + durationMs);
}

/**
Merges until when an instance is cold: the latest end wins, so that no daemon takes for warm what another knows to be cold.

@example
```
mergeColdEnd(noColdTime, 2500).endMs; //=> 2500
```
*/
export function mergeColdEnd(known: ColdTime, endMs: number): ColdTime {
	return endMs > known.endMs + coldToleranceMs ? {...known, endMs} : known;
}

/**
Records what an answer says: it makes the time longer at once, and shorter if its request was sent after everything else was heard.

@example
```
recordColdAnswer(noColdTime, {coldLeftMs: 1200, sentAtMs: 90, announcedEndMs: 0, heardAtMs: 50}, 100).endMs; //=> 1300
```
*/
export function recordColdAnswer(known: ColdTime, {coldLeftMs, sentAtMs, announcedEndMs, heardAtMs, durationMs = maxColdMs}: {
	readonly coldLeftMs: number;
	readonly sentAtMs: number;
	readonly announcedEndMs: number;
	readonly heardAtMs: number;
	readonly durationMs?: number;
}, nowMs: number): ColdTime {
	const endMs = nowMs + adjustColdMs(coldLeftMs, durationMs);
	const knownEndMs = Math.max(known.endMs, announcedEndMs);

	if (endMs > knownEndMs + coldToleranceMs) {
		return {...known, endMs};
	}

	return endMs < knownEndMs - coldToleranceMs && sentAtMs > heardAtMs ? {endMs, refutedBeforeMs: sentAtMs} : known;
}

/**
Records that an instance was found not to run: if it answers again, it has restarted, whether or not its announcement has arrived by then.

@example
```
recordEndedRun(noColdTime, {durationMs: 3000}, 100).endMs; //=> 3100
```
*/
export function recordEndedRun(known: ColdTime, {durationMs}: Pick<ColdTerms, 'durationMs'>, nowMs: number): ColdTime {
	return known.endMs - nowMs > durationMs / 2 ? known : {...known, endMs: nowMs + durationMs};
}

/** Combines the two sources of a cold time. */
export function findColdEnd(known: ColdTime, {announcedEndMs, heardAtMs}: {readonly announcedEndMs: number; readonly heardAtMs: number}): number {
	return heardAtMs < known.refutedBeforeMs ? known.endMs : Math.max(known.endMs, announcedEndMs);
}

/**
Computes the rate of permits for a cold instance, which keeps what all daemons send in any one second under the bound: one permit may begin at the
start of the second, and those from before it are used late.

@example
```
computeColdRate({durationMs: 3000, requestsPerSecond: 23}, {overage: 1.5, slackRequests: 5}); //=> 23
```
*/
export function computeColdRate({requestsPerSecond}: ColdTerms, bound: ColdBound | undefined): number {
	const allowed = computeAllowed(requestsPerSecond, bound);

	return allowed === undefined ? requestsPerSecond : Math.min(requestsPerSecond, Math.max(0, allowed - 1) / countedSeconds);
}

/**
Computes what all daemons that reach no granting daemon may together send a cold instance in a second, beside what others may still be granted: half of
what permits leave, since the requests of several daemons may come at once.

@example
```
computeUngrantedRate({durationMs: 3000, requestsPerSecond: 23}, {overage: 1.5, slackRequests: 5}); //=> 4.875
```
*/
export function computeUngrantedRate(terms: ColdTerms, bound: ColdBound | undefined): number {
	const allowed = computeAllowed(terms.requestsPerSecond, bound) ?? 2 * terms.requestsPerSecond;

	return Math.max(0, allowed - 1 - (usualCountedSeconds * computeColdRate(terms, bound))) / 2;
}

function computeAllowed(requestsPerSecond: number, bound: ColdBound | undefined): number | undefined {
	return bound === undefined ? undefined : (requestsPerSecond * bound.overage) + bound.slackRequests;
}
