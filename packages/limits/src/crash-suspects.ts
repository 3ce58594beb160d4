import {
	isListOf, isNumberIn, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';

/** Requests that were running when an instance ended, by fingerprint. Immutable. */
export type CrashSuspects = {
	/** Requests whose connection broke at an instance of which it is not known yet whether it crashed, by its incarnation. */
	readonly unclear: ReadonlyMap<string, UnconfirmedCrash>;
	readonly suspects: ReadonlyMap<string, Suspect>;
};

type UnconfirmedCrash = {readonly fingerprints: ReadonlySet<string>; readonly lastLossAtMs: number};

type Suspect = {
	/** Incarnations of instances that crashed while they ran it. */
	readonly crashed: ReadonlySet<string>;
	/** Those of them after which it finished elsewhere: they were not its doing. */
	readonly cleared: ReadonlySet<string>;
	readonly keepDeadlineMs: number;
};

/** A suspect on its way between daemons. It may come late, twice or in any order: what is merged only grows. */
export type SuspectNote = {
	readonly fingerprint: string;
	readonly crashed: readonly string[];
	readonly cleared: readonly string[];
	/** A span, since clocks differ. */
	readonly keepLeftMs: number;
};

const maxNameLength = 500;
/** Incarnations of one note: far more than the crashes that quarantine a request. */
const maxIncarnations = 1000;
const isIncarnations = isListOf(isTextUpTo(maxNameLength), maxIncarnations);

/** Notes of suspects as another daemon may send them. */
export const isSuspectNotes: Guard<readonly SuspectNote[]> = isListOf(isRecordOf({
	fingerprint: isTextUpTo(maxNameLength), crashed: isIncarnations, cleared: isIncarnations, keepLeftMs: isNumberIn(0, 86_400_000),
}), maxIncarnations);

/** Crashes after which a request is run no more; two may be chance where instances are lost in numbers. */
const crashesToQuarantine = 3;
/** A crashed instance is found unreachable, or announces its next start, within this: restarts take some seconds. */
const confirmationWindowMs = 10_000;
/** As long as a fault of its kind takes to be repaired, at least; whoever sends it again is told when it ends. */
const suspectRetentionMs = 600_000;
/** Bounds the memory of a flood of requests that break. */
const maxFingerprints = 10_000;

/** Creates the record of a daemon that saw no crash. */
export function createCrashSuspects(): CrashSuspects {
	return {unclear: new Map(), suspects: new Map()};
}

/** Notes that a request's connection broke at an instance: it may have crashed it, or the connection alone was lost. */
export function addBreak(state: CrashSuspects, {fingerprint, incarnation, nowMs}: ConnectionLossInput): CrashSuspects {
	const unclear = new Map([...state.unclear].filter(([, one]) => nowMs - one.lastLossAtMs < confirmationWindowMs));
	const known = unclear.get(incarnation);

	if ((known?.fingerprints.size ?? 0) < maxFingerprints) {
		unclear.set(incarnation, {fingerprints: new Set([...known?.fingerprints ?? [], fingerprint]), lastLossAtMs: nowMs});
	}

	return {...state, unclear};
}

export type ConnectionLossInput = {readonly fingerprint: string; readonly incarnation: string; readonly nowMs: number};

/** An instance answered a request that was sent to it at some moment: what broke before was its connection. */
export function forgetBreaks(state: CrashSuspects, {incarnation, sentAtMs}: {readonly incarnation: string; readonly sentAtMs: number}): CrashSuspects {
	const known = state.unclear.get(incarnation);

	if (known === undefined || sentAtMs <= known.lastLossAtMs) {
		return state;
	}

	const unclear = new Map(state.unclear);
	unclear.delete(incarnation);

	return {...state, unclear};
}

/** Lists the requests that were running on an instance that has turned out to have crashed; they are unclear no more. */
export function takeCrashed(state: CrashSuspects, {incarnation, nowMs}: {readonly incarnation: string; readonly nowMs: number}): {
	readonly state: CrashSuspects;
	readonly fingerprints: readonly string[];
} {
	const known = state.unclear.get(incarnation);

	if (known === undefined || nowMs - known.lastLossAtMs >= confirmationWindowMs) {
		return {state, fingerprints: []};
	}

	const unclear = new Map(state.unclear);
	unclear.delete(incarnation);

	return {state: {...state, unclear}, fingerprints: [...known.fingerprints]};
}

/**
Notes a crash under the requests that an instance was running. Answers the load pattern of one request that crashes each instance that
runs it and is sent again and again: without it, it takes down one instance after the other.

@example
```
const next = addCrash(state, {fingerprints, incarnation: 'i-1 1700000000000', nowMs});
getQuarantineDeadline(next, fingerprint, nowMs); //=> a moment ten minutes away, after the third
```
*/
export function addCrash(state: CrashSuspects, {fingerprints, incarnation, nowMs}: CrashInput): CrashSuspects {
	return mergeSuspects(state, fingerprints.map(fingerprint => ({
		fingerprint, crashed: [incarnation], cleared: [], keepLeftMs: suspectRetentionMs,
	})), nowMs);
}

export type CrashInput = {readonly fingerprints: readonly string[]; readonly incarnation: string; readonly nowMs: number};

/** A request has finished somewhere: the crashes under it so far were not its doing. */
export function clearSuspect(state: CrashSuspects, fingerprint: string): CrashSuspects {
	const known = state.suspects.get(fingerprint);

	return known === undefined ? state : {...state, suspects: new Map(state.suspects).set(fingerprint, {...known, cleared: known.crashed})};
}

/** Merges what another daemon knows of suspects. */
export function mergeSuspects(state: CrashSuspects, notes: readonly SuspectNote[], nowMs: number): CrashSuspects {
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

/** Describes a suspect for other daemons; `undefined` for one that is not known. */
export function createSuspectNote({suspects}: CrashSuspects, fingerprint: string, nowMs: number): SuspectNote | undefined {
	const known = suspects.get(fingerprint);

	return known && {
		fingerprint, crashed: [...known.crashed], cleared: [...known.cleared], keepLeftMs: Math.max(0, known.keepDeadlineMs - nowMs),
	};
}

/**
Lists the suspects that are worth telling again: one more crash and they are run no more. After the loss of an instance there are many
that were only there by chance; most of them never come again.
*/
export function listPressing({suspects}: CrashSuspects): readonly string[] {
	return [...suspects].filter(([, one]) => countCrashes(one) >= crashesToQuarantine - 1).map(([fingerprint]) => fingerprint);
}

/** Whether crashes under a request are held against it. */
export function isSuspect({suspects}: CrashSuspects, fingerprint: string): boolean {
	return countCrashes(suspects.get(fingerprint)) > 0;
}

/** Tells until when a request is run no more; `undefined` where it may run. */
export function getQuarantineDeadline({suspects}: CrashSuspects, fingerprint: string, nowMs: number): number | undefined {
	const known = suspects.get(fingerprint);

	return countCrashes(known) >= crashesToQuarantine && known!.keepDeadlineMs > nowMs ? known!.keepDeadlineMs : undefined;
}

function countCrashes(suspect: Suspect | undefined): number {
	return suspect === undefined ? 0 : [...suspect.crashed].filter(incarnation => !suspect.cleared.has(incarnation)).length;
}
