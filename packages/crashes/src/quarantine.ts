import {type CrashExplanation} from './explain-crashes.js';
import {type CrashEvidence} from './crash-evidence.js';
import {getTrialAtMs} from './plan-trial.js';
import {type Traits} from './traits.js';

/** A quarantined trait: until when all requests with it are refused, and why. */
export type QuarantinedTrait = {readonly trialAtMs: number; readonly crashCount: number};

/** What a daemon that forwards requests is told by one coordinator. Immutable. */
export type Quarantine = {
	readonly quarantined: ReadonlyMap<string, QuarantinedTrait>;
	/** Traits of which answers are to be reported. */
	readonly suspected: ReadonlySet<string>;
};

/** A quarantine that holds nothing back. */
export const emptyQuarantine: Quarantine = {quarantined: new Map(), suspected: new Set()};

/** Derives the quarantine from the evidence and its explanation. */
export function createQuarantine({trials}: CrashEvidence, {quarantined, suspected}: CrashExplanation): Quarantine {
	return {
		quarantined: new Map([...quarantined].map(([trait, cause]) => [trait, {
			trialAtMs: getTrialAtMs(trait, cause, trials.get(trait)), crashCount: cause.crashCount,
		}])),
		suspected: new Set([...quarantined.keys(), ...suspected]),
	};
}

/** Merges the quarantines that several coordinators name: what one of them holds back is held back. */
export function mergeQuarantines(quarantines: readonly Quarantine[]): Quarantine {
	const quarantined = new Map<string, QuarantinedTrait>();

	for (const [trait, held] of quarantines.flatMap(one => [...one.quarantined])) {
		const known = quarantined.get(trait);
		quarantined.set(trait, known === undefined || held.trialAtMs > known.trialAtMs ? held : known);
	}

	return {quarantined, suspected: new Set(quarantines.flatMap(one => [...one.suspected]))};
}

/** Why a request is held back: the quarantined trait whose next trial is the last to come. */
export type HeldBack = QuarantinedTrait & {readonly trait: string};

/**
Finds out whether a request is held back.

@example
```
findHeldBack(quarantine, ['part m-1 5c1e07a2', 'request 7']); //=> undefined
```
*/
export function findHeldBack({quarantined}: Quarantine, traits: Traits): HeldBack | undefined {
	let latest: HeldBack | undefined;

	for (const trait of traits) {
		const held = quarantined.get(trait);

		if (held !== undefined && (latest === undefined || held.trialAtMs > latest.trialAtMs)) {
			latest = {trait, ...held};
		}
	}

	return latest;
}
