import {type CrashEvidence} from './crash-evidence.js';
import {isRequestTrait} from './traits.js';

/** A trait to which crashes are attributed. */
export type CrashCause = {
	/** Crashes that it accounts for since it was last answered. */
	readonly crashCount: number;
	readonly lastCrashAtMs: number;
};

export type CrashExplanation = {
	/** By trait; requests with one of these are not run, except as trials. */
	readonly quarantined: ReadonlyMap<string, CrashCause>;
	/** Traits in so many crashes without an answer since that an answer to one of them matters; the most suspect first. */
	readonly suspected: readonly string[];
	/** When a trait may become quarantined without further evidence; `undefined` if none may. */
	readonly settlesAtMs: number | undefined;
};

/** Number of crashes after which a trait is quarantined; two may be coincidence when many instances are lost. */
const crashesToQuarantine = 3;
const crashesToSuspect = 2;
/** Time after the crash that completes the evidence in which answers to other prompts with a sound part become known. */
const settleMs = 500;
const maxSuspected = 200;

type Candidate = {
	readonly trait: string;
	/** Position in its request; a later trait is more specific, and holding it back affects fewer requests. */
	readonly depth: number;
	readonly crashes: readonly TraitCrash[];
};

type TraitCrash = {readonly run: string; readonly atMs: number; readonly lastSentAtMs: number};

/**
Attributes crashes to the fewest traits that explain them. Load pattern: one part of prompts crashes each instance that begins to answer it, no two
requests are alike, and all that run beside it, and all parts that come with it, are in each crash as well. Sound traits are answered by other
instances, and each answer clears all crashes before it. Of the traits that no instance has answered since, the one in most crashes accounts for them;
of two in the same crashes the more specific one does. If that is wrong, the next crash shows it.

Many instances lost at once blame nobody: one crash at least has to hit a request that was sent after an earlier one.

@example
```
const {quarantined} = explainCrashes(evidence, nowMs);
quarantined.has('part m-1 5c1e07a2'); //=> true
```
*/
export function explainCrashes(evidence: CrashEvidence, nowMs: number): CrashExplanation {
	const candidates = listCandidates(evidence);
	const explainedRuns = new Set<string>();
	const quarantined = new Map<string, CrashCause>();
	let settlesAtMs: number | undefined;

	for (const {trait, crashes} of candidates) {
		const unexplained = crashes.filter(({run}) => !explainedRuns.has(run));

		if (unexplained.length < crashesToQuarantine) {
			continue;
		}

		for (const {run} of crashes) {
			explainedRuns.add(run);
		}

		const completedAtMs = findCompletion(unexplained);

		if (completedAtMs === undefined) {
			continue;
		}

		const settledAtMs = completedAtMs + (isRequestTrait(trait) ? 0 : settleMs);

		if (nowMs >= settledAtMs) {
			quarantined.set(trait, {crashCount: crashes.length, lastCrashAtMs: crashes.at(-1)!.atMs});
		} else {
			settlesAtMs = Math.min(settlesAtMs ?? Number.POSITIVE_INFINITY, settledAtMs);
		}
	}

	return {quarantined, suspected: candidates.slice(0, maxSuspected).map(({trait}) => trait), settlesAtMs};
}

function listCandidates({crashes, answeredAtMs}: CrashEvidence): readonly Candidate[] {
	const found = new Map<string, {depth: number; readonly crashes: TraitCrash[]}>();

	for (const [run, {atMs, requests}] of crashes) {
		for (const {traits, sentAtMs} of requests.values()) {
			for (const [depth, trait] of traits.entries()) {
				if ((answeredAtMs.get(trait) ?? Number.NEGATIVE_INFINITY) > atMs) {
					continue;
				}

				const candidate = found.get(trait) ?? {depth, crashes: []};
				found.set(trait, candidate);
				candidate.depth = Math.max(candidate.depth, depth);
				const known = candidate.crashes.at(-1);

				if (known?.run === run) {
					candidate.crashes[candidate.crashes.length - 1] = {run, atMs, lastSentAtMs: Math.max(known.lastSentAtMs, sentAtMs)};
				} else {
					candidate.crashes.push({run, atMs, lastSentAtMs: sentAtMs});
				}
			}
		}
	}

	return [...found].map(([trait, candidate]) => ({trait, ...candidate}))
		.filter(candidate => candidate.crashes.length >= crashesToSuspect)
		.toSorted((a, b) => b.crashes.length - a.crashes.length || b.depth - a.depth || (a.trait < b.trait ? -1 : 1));
}

// Returns when the evidence was complete: enough crashes, and one of them under a request that was sent after another.
function findCompletion(crashes: readonly TraitCrash[]): number | undefined {
	const [first] = crashes;
	const sequel = crashes.find(({lastSentAtMs}) => lastSentAtMs >= first!.atMs);

	return sequel && Math.max(sequel.atMs, crashes[crashesToQuarantine - 1]!.atMs);
}
