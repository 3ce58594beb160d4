import {getTraitsKey, type Traits} from './traits.js';

/** A request that an instance had not begun to answer, or had just begun to, when it crashed. */
export type CrashedRequest = {readonly traits: Traits; readonly sentAtMs: number};

/** The crash of one run of an instance. */
export type Crash = {
	readonly atMs: number;
	/** By the key of their traits. */
	readonly requests: ReadonlyMap<string, CrashedRequest>;
};

/** Trials that were made of a quarantined trait since it was last answered. */
export type TrialRecord = {readonly count: number; readonly lastAtMs: number};

/** What is known of crashes, and of answers since. Immutable. */
export type CrashEvidence = {
	/** By run of an instance, in order of time. */
	readonly crashes: ReadonlyMap<string, Crash>;
	/** By trait that was in a crash: when an instance last began an answer that went on. */
	readonly answeredAtMs: ReadonlyMap<string, number>;
	readonly trials: ReadonlyMap<string, TrialRecord>;
	/** Runs whose crashes were dropped because there were too many, the latest last. Other daemons may still report them. */
	readonly droppedRuns: ReadonlySet<string>;
};

/** New evidence, on the clock of the receiver. */
export type CrashReport = {
	readonly crashes?: ReadonlyArray<{readonly run: string; readonly atMs: number; readonly requests: readonly CrashedRequest[]}>;
	readonly answers?: ReadonlyArray<{readonly trait: string; readonly atMs: number}>;
	readonly trials?: ReadonlyArray<{readonly trait: string; readonly atMs: number; readonly count: number}>;
};

/** Retention of a crash: longer than the longest pause between two trials, so that a quarantine ends by a trial. */
export const crashRetentionMs = 1_800_000;
const maxCrashes = 64;
/** Requests that are kept of one crash: as many as an instance runs at once. */
const maxRequestsPerCrash = 256;
/** More runs than instances crash in the time in which other daemons report a crash again. */
const maxDroppedRuns = 4096;

/** Evidence of a daemon that knows of no crash. */
export const noCrashEvidence: CrashEvidence = {
	crashes: new Map(), answeredAtMs: new Map(), trials: new Map(), droppedRuns: new Set(),
};

/**
Adds a report to the evidence. Reports may come late, twice and in any order; returns the same object where a report adds nothing, so that it need
not be passed on. A crash that was dropped is not added again. Load pattern: more crashes than are kept, of which each daemon drops others; if
what one has dropped came back from another as news, they would pass it on to each other without end.

@example
```
const next = mergeCrashReport(noCrashEvidence, {crashes: [{run: 'i-1 17', atMs: 40, requests: [{traits: ['part m a', 'request 7'], sentAtMs: 10}]}]}, 50);
```
*/
export function mergeCrashReport(evidence: CrashEvidence, {crashes = [], answers = [], trials = []}: CrashReport, nowMs: number): CrashEvidence {
	let next = evidence;

	for (const crash of crashes) {
		next = nowMs - crash.atMs < crashRetentionMs ? mergeCrash(next, crash) : next;
	}

	next = mergeAnswers(next, answers);

	for (const trial of trials) {
		next = mergeTrial(next, trial);
	}

	return next === evidence ? evidence : dropOldCrashes(next, nowMs);
}

function mergeCrash(evidence: CrashEvidence, {run, atMs, requests}: NonNullable<CrashReport['crashes']>[number]): CrashEvidence {
	if (evidence.droppedRuns.has(run)) {
		return evidence;
	}

	const known = evidence.crashes.get(run);
	const merged = new Map(known?.requests);

	for (const request of requests) {
		const key = getTraitsKey(request.traits);

		if (!merged.has(key) && merged.size < maxRequestsPerCrash) {
			merged.set(key, request);
		}
	}

	if (merged.size === (known?.requests.size ?? 0)) {
		return evidence;
	}

	const crash = {atMs: Math.min(known?.atMs ?? atMs, atMs), requests: merged};
	const crashes = [...evidence.crashes].filter(([otherRun]) => otherRun !== run);
	crashes.push([run, crash]);

	return {...evidence, crashes: new Map(crashes.toSorted(([, a], [, b]) => a.atMs - b.atMs))};
}

// Answers matter for traits that were in a crash before.
function mergeAnswers(evidence: CrashEvidence, answers: NonNullable<CrashReport['answers']>): CrashEvidence {
	if (answers.length === 0) {
		return evidence;
	}

	const crashTimes = getCrashTimes(evidence.crashes);
	const answeredAtMs = new Map(evidence.answeredAtMs);
	const trials = new Map(evidence.trials);
	let hasNews = false;

	for (const {trait, atMs} of answers) {
		const knownAtMs = answeredAtMs.get(trait) ?? Number.NEGATIVE_INFINITY;

		if (crashTimes.get(trait)?.some(crashAtMs => crashAtMs < atMs && crashAtMs >= knownAtMs) === true) {
			answeredAtMs.set(trait, atMs);
			trials.delete(trait);
			hasNews = true;
		}
	}

	return hasNews ? {...evidence, answeredAtMs, trials} : evidence;
}

const crashTimesByCrashes = new WeakMap<CrashEvidence['crashes'], ReadonlyMap<string, readonly number[]>>();

/** Lists the times of the crashes that each trait was in. Computed once for each set of crashes: many answers arrive after each. */
export function getCrashTimes(crashes: CrashEvidence['crashes']): ReadonlyMap<string, readonly number[]> {
	const known = crashTimesByCrashes.get(crashes);

	if (known !== undefined) {
		return known;
	}

	const times = new Map<string, number[]>();

	for (const {atMs, requests} of crashes.values()) {
		for (const trait of new Set([...requests.values()].flatMap(({traits}) => traits))) {
			times.set(trait, [...times.get(trait) ?? [], atMs]);
		}
	}

	crashTimesByCrashes.set(crashes, times);

	return times;
}

function mergeTrial(evidence: CrashEvidence, {trait, atMs, count}: {readonly trait: string; readonly atMs: number; readonly count: number}): CrashEvidence {
	const known = evidence.trials.get(trait);
	const isNew = count > (known?.count ?? 0) && atMs > (evidence.answeredAtMs.get(trait) ?? Number.NEGATIVE_INFINITY);

	return isNew ? {...evidence, trials: new Map(evidence.trials).set(trait, {count, lastAtMs: atMs})} : evidence;
}

/** Drops crashes whose retention is over, and what was known of traits that are in no crash any more. */
export function dropOldCrashes(evidence: CrashEvidence, nowMs: number): CrashEvidence {
	const retained = [...evidence.crashes].filter(([, {atMs}]) => nowMs - atMs < crashRetentionMs);
	const crashes = new Map(dropClosestCrashes(retained));

	if (crashes.size === evidence.crashes.size) {
		return evidence;
	}

	const crashTimes = getCrashTimes(crashes);
	const isInCrash = ([trait]: readonly [string, unknown]) => crashTimes.has(trait);
	const droppedRuns = retained.map(([run]) => run).filter(run => !crashes.has(run));

	return {
		crashes,
		answeredAtMs: new Map([...evidence.answeredAtMs].filter(entry => isInCrash(entry))),
		trials: new Map([...evidence.trials].filter(entry => isInCrash(entry))),
		droppedRuns: droppedRuns.length === 0 ? evidence.droppedRuns : new Set([...evidence.droppedRuns, ...droppedRuns].slice(-maxDroppedRuns)),
	};
}

// Of too many crashes, those are dropped that stand between the closest others: many at once say least, and a loss of many instances must not displace
// the evidence for a quarantine.
function dropClosestCrashes(crashes: ReadonlyArray<readonly [string, Crash]>): ReadonlyArray<readonly [string, Crash]> {
	const kept = [...crashes];

	while (kept.length > maxCrashes) {
		let closest = 1;
		let leastGapMs = Number.POSITIVE_INFINITY;

		for (let index = 1; index < kept.length - 1; index++) {
			const gapMs = kept[index + 1]![1].atMs - kept[index - 1]![1].atMs;

			if (gapMs < leastGapMs) {
				closest = index;
				leastGapMs = gapMs;
			}
		}

		kept.splice(closest, 1);
	}

	return kept;
}
