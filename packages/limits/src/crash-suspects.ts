import {
	isArrayOf, isNumberInRange, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';

/** Requests, by fingerprint, that may have crashed the instances that ran them. Immutable. */
export type CrashSuspects = {
	/** Requests that lost their connection to an instance that may have crashed, by the incarnation of the instance. */
	readonly unconfirmed: ReadonlyMap<string, UnconfirmedCrash>;
	readonly suspects: ReadonlyMap<string, Suspect>;
};

type UnconfirmedCrash = {readonly fingerprints: ReadonlySet<string>; readonly lastLossAtMs: number};

type Suspect = {
	/** Incarnations that crashed while they ran the request. */
	readonly crashed: ReadonlySet<string>;
	/** Crashed incarnations after which the request finished elsewhere; the request did not cause these crashes. */
	readonly cleared: ReadonlySet<string>;
	readonly keepDeadlineMs: number;
};

/** Update about a suspect between daemons. Both sets only grow when merged, so updates may arrive late, twice or in any order. */
export type SuspectUpdate = {
	readonly fingerprint: string;
	readonly crashed: readonly string[];
	readonly cleared: readonly string[];
	/** Remaining retention time; a duration because the clocks of daemons differ. */
	readonly keepLeftMs: number;
};

const maxNameLength = 500;
/** Bound on the incarnations of one update, and on the updates of one message: far more than the crashes that quarantine a request. */
const maxIncarnations = 1000;
const isIncarnations = isArrayOf(isStringUpTo(maxNameLength), maxIncarnations);

/** Validates updates from another daemon. */
export const isSuspectUpdates: TypeGuard<readonly SuspectUpdate[]> = isArrayOf(isObjectWith({
	fingerprint: isStringUpTo(maxNameLength), crashed: isIncarnations, cleared: isIncarnations, keepLeftMs: isNumberInRange(0, 86_400_000),
}), maxIncarnations);

/** Number of crashes after which a request is quarantined; two may be coincidence when many instances are lost. */
const crashesToQuarantine = 3;
/** Time within which a crashed instance is found unreachable or announces a new incarnation: restarts take some seconds. */
const confirmationWindowMs = 10_000;
/** Retention of a suspect: the least time in which such a fault is repaired. Callers that retry receive the end of the quarantine. */
const suspectRetentionMs = 600_000;
/** Bounds the memory used when very many requests lose their connections. */
const maxFingerprints = 10_000;

/** Creates the state of a daemon that has seen no crash. */
export function createCrashSuspects(): CrashSuspects {
	return {unconfirmed: new Map(), suspects: new Map()};
}

/** Records that a request lost its connection to an instance: the instance may have crashed, or only the connection was lost. */
export function recordConnectionLoss(state: CrashSuspects, {fingerprint, incarnation, nowMs}: ConnectionLossInput): CrashSuspects {
	const unconfirmed = new Map([...state.unconfirmed].filter(([, one]) => nowMs - one.lastLossAtMs < confirmationWindowMs));
	const known = unconfirmed.get(incarnation);

	if ((known?.fingerprints.size ?? 0) < maxFingerprints) {
		unconfirmed.set(incarnation, {fingerprints: new Set([...known?.fingerprints ?? [], fingerprint]), lastLossAtMs: nowMs});
	}

	return {...state, unconfirmed};
}

export type ConnectionLossInput = {readonly fingerprint: string; readonly incarnation: string; readonly nowMs: number};

/** Drops connection losses at an instance that has answered a request sent after the last of them: it did not crash. */
export function forgetConnectionLosses(state: CrashSuspects, {incarnation, sentAtMs}: {readonly incarnation: string; readonly sentAtMs: number}): CrashSuspects {
	const known = state.unconfirmed.get(incarnation);

	if (known === undefined || sentAtMs <= known.lastLossAtMs) {
		return state;
	}

	const unconfirmed = new Map(state.unconfirmed);
	unconfirmed.delete(incarnation);

	return {...state, unconfirmed};
}

/** Removes and returns the requests that were running on an instance whose crash is confirmed. */
export function takeCrashedRequests(state: CrashSuspects, {incarnation, nowMs}: {readonly incarnation: string; readonly nowMs: number}): {
	readonly state: CrashSuspects;
	readonly fingerprints: readonly string[];
} {
	const known = state.unconfirmed.get(incarnation);

	if (known === undefined || nowMs - known.lastLossAtMs >= confirmationWindowMs) {
		return {state, fingerprints: []};
	}

	const unconfirmed = new Map(state.unconfirmed);
	unconfirmed.delete(incarnation);

	return {state: {...state, unconfirmed}, fingerprints: [...known.fingerprints]};
}

/**
Records a crash against all requests that the instance was running. Load pattern: a request that crashes every instance that runs it and
is retried by its caller; without a quarantine it would crash one instance after the other.

@example
```
const next = recordCrash(state, {fingerprints, incarnation: 'i-1 1700000000000', nowMs});
getQuarantineDeadline(next, fingerprint, nowMs); //=> ten minutes from now, after the third crash
```
*/
export function recordCrash(state: CrashSuspects, {fingerprints, incarnation, nowMs}: CrashInput): CrashSuspects {
	return mergeSuspects(state, fingerprints.map(fingerprint => ({
		fingerprint, crashed: [incarnation], cleared: [], keepLeftMs: suspectRetentionMs,
	})), nowMs);
}

export type CrashInput = {readonly fingerprints: readonly string[]; readonly incarnation: string; readonly nowMs: number};

/** Clears a request that has finished: it did not cause the crashes recorded so far. */
export function clearSuspect(state: CrashSuspects, fingerprint: string): CrashSuspects {
	const known = state.suspects.get(fingerprint);

	return known === undefined ? state : {...state, suspects: new Map(state.suspects).set(fingerprint, {...known, cleared: known.crashed})};
}

/** Merges updates about suspects. */
export function mergeSuspects(state: CrashSuspects, notes: readonly SuspectUpdate[], nowMs: number): CrashSuspects {
	const suspects = new Map([...state.suspects].filter(([, one]) => one.keepDeadlineMs > nowMs));

	for (const note of notes) {
		const known = suspects.get(note.fingerprint);

		if (known !== undefined || suspects.size < maxFingerprints) {
			suspects.set(note.fingerprint, {
				crashed: new Set([...known?.crashed ?? [], ...note.crashed]),
				cleared: new Set([...known?.cleared ?? [], ...note.cleared]),
				keepDeadlineMs: Math.max(known?.keepDeadlineMs ?? 0, nowMs + Math.min(note.keepLeftMs, suspectRetentionMs)),
			});
		}
	}

	return {...state, suspects};
}

/** Creates the update about a suspect for other daemons; `undefined` for an unknown fingerprint. */
export function createSuspectUpdate({suspects}: CrashSuspects, fingerprint: string, nowMs: number): SuspectUpdate | undefined {
	const known = suspects.get(fingerprint);

	return known && {
		fingerprint, crashed: [...known.crashed], cleared: [...known.cleared], keepLeftMs: Math.max(0, known.keepDeadlineMs - nowMs),
	};
}

/**
Lists the suspects that one more crash would quarantine; only these are worth sending again. The loss of an instance makes many requests
suspects by coincidence, and most of those are never sent again.
*/
export function listNearQuarantine({suspects}: CrashSuspects): readonly string[] {
	return [...suspects].filter(([, one]) => countCrashes(one) >= crashesToQuarantine - 1).map(([fingerprint]) => fingerprint);
}

/** Returns whether a request has crashes that are not cleared. */
export function isSuspect({suspects}: CrashSuspects, fingerprint: string): boolean {
	return countCrashes(suspects.get(fingerprint)) > 0;
}

/** Returns the end of a request's quarantine; `undefined` if it may run. */
export function getQuarantineDeadline({suspects}: CrashSuspects, fingerprint: string, nowMs: number): number | undefined {
	const known = suspects.get(fingerprint);

	return countCrashes(known) >= crashesToQuarantine && known!.keepDeadlineMs > nowMs ? known!.keepDeadlineMs : undefined;
}

function countCrashes(suspect: Suspect | undefined): number {
	return suspect === undefined ? 0 : [...suspect.crashed].filter(incarnation => !suspect.cleared.has(incarnation)).length;
}
