import {getCrashTimes, type CrashEvidence} from './crash-evidence.js';
import {isModelTrait, isRequestTrait} from './traits.js';

/** A trait to which crashes are attributed. */
export type CrashCause = {
	/** Crashes that it accounts for since it was last answered. */
	readonly crashCount: number;
	readonly lastCrashAtMs: number;
	/** Whether instances have answered other prompts for the same model since. Else all that is known is that nothing was answered. */
	readonly isProven: boolean;
};

export type CrashExplanation = {
	/** By trait; requests with one of these are not run, except as trials. */
	readonly quarantined: ReadonlyMap<string, CrashCause>;
	/** Traits in so many crashes without an answer since that an answer to one of them matters; the most suspect first. */
	readonly suspected: readonly string[];
	/** When a trait may become quarantined without further evidence; `undefined` if none may. */
	readonly settlesAtMs: number | undefined;
};

/** Weight of the crashes after which a trait is quarantined; two may be coincidence when many instances are lost. */
const weightToQuarantine = 3;
const crashesToSuspect = 2;
/** Time after the crash that completes the evidence in which answers to other prompts with a sound part become known. */
const settleMs = 500;
/** The same while no prompt for the model is known to be answered: instances that were lost together are back after some seconds. */
const unprovenSettleMs = 3000;
const maxSuspected = 200;
/** Crashes within this time of each other count as simultaneous. */
const simultaneousMs = 100;

type Candidate = {
	readonly trait: string;
	/** Position in its request; a later trait is more specific, and holding it back affects fewer requests. */
	readonly depth: number;
	readonly crashes: readonly TraitCrash[];
	readonly weight: number;
	/** Model trait of the requests; `undefined` where the trait is that of plain calls. */
	readonly model: string | undefined;
};

/** The crashes that a trait was in, by run, while they are collected. */
type TraitCrashes = {
	depth: number;
	readonly model: string | undefined;
	readonly crashes: Map<string, Pick<TraitCrash, 'atMs' | 'lastSentAtMs'>>;
};

type TraitCrash = {
	readonly run: string;
	readonly atMs: number;
	readonly lastSentAtMs: number;
	/** Share of the simultaneous crashes that the trait was in. */
	readonly weight: number;
};

/**
Attributes crashes to the fewest traits that explain them. Load pattern: one part of prompts crashes each instance that begins to answer it, no two
requests are alike, and all that run beside it, and all parts that come with it, are in each crash as well. Sound traits are answered by other
instances, and each answer clears all crashes before it. Of the traits that no instance has answered since, the one in most crashes accounts for them; of
two in the same crashes, but for one, the more specific one does. If that is wrong, the next crashes show it.

Many instances lost at once blame nobody: a crash counts for a trait only by the share of the simultaneous crashes that the trait was in, and one crash
at least has to hit a request that was sent after an earlier one. While no prompt for a model is answered at all, nothing tells a sound part from a
deadly one.

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
	const unprovenModels = new Set<string>();
	let settlesAtMs: number | undefined;

	for (const heaviest of candidates) {
		const {trait, crashes, model} = findSpecific(heaviest, candidates);
		const unexplained = crashes.filter(({run}) => !explainedRuns.has(run));

		if (sumWeights(unexplained) < weightToQuarantine || isModelTrait(trait)) {
			continue;
		}

		for (const {run} of crashes) {
			explainedRuns.add(run);
		}

		const completedAtMs = findCompletion(unexplained);

		if (completedAtMs === undefined) {
			continue;
		}

		const isProven = isRequestTrait(trait) || model === undefined || (evidence.answeredAtMs.get(model) ?? Number.NEGATIVE_INFINITY) > completedAtMs;

		if (!isProven) {
			unprovenModels.add(model);
		}

		const settledAtMs = completedAtMs + getSettleMs(trait, isProven);

		if (nowMs >= settledAtMs) {
			quarantined.set(trait, {crashCount: crashes.length, lastCrashAtMs: crashes.at(-1)!.atMs, isProven});
		} else {
			settlesAtMs = Math.min(settlesAtMs ?? Number.POSITIVE_INFINITY, settledAtMs);
		}
	}

	return {quarantined, suspected: [...unprovenModels, ...candidates.slice(0, maxSuspected).map(({trait}) => trait)], settlesAtMs};
}

// A part with one crash more than a more specific one, in whose crashes it is as well, may have met a crash that no part caused.
function findSpecific(candidate: Candidate, candidates: readonly Candidate[]): Candidate {
	const runs = new Set(candidate.crashes.map(({run}) => run));
	const isMoreSpecific = ({trait, depth, weight, crashes}: Candidate) => depth > candidate.depth && !isRequestTrait(trait) && weight >= weightToQuarantine
		&& weight >= candidate.weight - 1 && crashes.every(({run}) => runs.has(run));

	return candidates.find(other => isMoreSpecific(other)) ?? candidate;
}

function getSettleMs(trait: string, isProven: boolean): number {
	if (isRequestTrait(trait)) {
		return 0;
	}

	return isProven ? settleMs : unprovenSettleMs;
}

function listCandidates({crashes, answeredAtMs}: CrashEvidence): readonly Candidate[] {
	const found = new Map<string, TraitCrashes>();
	const crashTimes = getCrashTimes(crashes);

	for (const [run, {atMs, requests}] of crashes) {
		for (const {traits, sentAtMs} of requests.values()) {
			for (const [depth, trait] of traits.entries()) {
				if (crashTimes.get(trait)!.length < crashesToSuspect || (answeredAtMs.get(trait) ?? Number.NEGATIVE_INFINITY) > atMs) {
					continue;
				}

				const candidate: TraitCrashes = found.get(trait) ?? {depth, model: traits.find(one => isModelTrait(one)), crashes: new Map()};
				found.set(trait, candidate);
				candidate.depth = Math.max(candidate.depth, depth);
				candidate.crashes.set(run, {atMs, lastSentAtMs: Math.max(candidate.crashes.get(run)?.lastSentAtMs ?? sentAtMs, sentAtMs)});
			}
		}
	}

	const simultaneous = countSimultaneous([...crashes.values()].map(({atMs}) => atMs));

	return [...found].filter(([, candidate]) => candidate.crashes.size >= crashesToSuspect)
		.map(([trait, candidate]) => createCandidate(trait, candidate, simultaneous))
		.toSorted((a, b) => b.weight - a.weight || b.depth - a.depth || (a.trait < b.trait ? -1 : 1));
}

function createCandidate(trait: string, {depth, model, crashes}: TraitCrashes, simultaneous: ReadonlyMap<number, number>): Candidate {
	const own = countSimultaneous([...crashes.values()].map(({atMs}) => atMs));
	const weighed = [...crashes].map(([run, crash]) => ({run, ...crash, weight: own.get(crash.atMs)! / simultaneous.get(crash.atMs)!}));

	return {
		trait, depth, model, crashes: weighed, weight: sumWeights(weighed),
	};
}

// Counts the crashes that are simultaneous with that of each time; the times are in order.
function countSimultaneous(times: readonly number[]): ReadonlyMap<number, number> {
	const counts = new Map<number, number>();
	let first = 0;
	let end = 0;

	for (const atMs of times) {
		while (times[first]! < atMs - simultaneousMs) {
			first++;
		}

		while (end < times.length && times[end]! <= atMs + simultaneousMs) {
			end++;
		}

		counts.set(atMs, end - first);
	}

	return counts;
}

function sumWeights(crashes: readonly TraitCrash[]): number {
	return crashes.reduce((sum, {weight}) => sum + weight, 0);
}

// Returns when the evidence was complete: enough crashes, and one of them under a request that was sent after another.
function findCompletion(crashes: readonly TraitCrash[]): number | undefined {
	const [first] = crashes;
	const sequel = crashes.find(({lastSentAtMs}) => lastSentAtMs >= first!.atMs);
	let weight = 0;
	const last = crashes.find(crash => {
		weight += crash.weight;

		return weight >= weightToQuarantine;
	});

	return sequel && last && Math.max(sequel.atMs, last.atMs);
}
