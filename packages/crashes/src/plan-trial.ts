import {type CrashCause, type CrashExplanation} from './explain-crashes.js';
import {type CrashEvidence, type TrialRecord} from './crash-evidence.js';
import {isRequestTrait, type Traits} from './traits.js';

/** Pause before the first trial of a part. Each failed one makes the next pause longer: a trial may cost an instance. */
const firstPartPauseMs = 5000;
const pauseFactor = 3;
/** A request that crashes instances concerns its caller only, so its trials are rare from the start. */
const requestPauseMs = 600_000;
const maxPauseMs = 600_000;
/** A trial that has neither crashed an instance nor been answered counts as lost after this time. */
const trialTimeoutMs = 10_000;
/** For this long after the pause, trials are left to requests that have no other suspected trait: only these can clear a trait that is held back wrongly. */
const cleanTrialPeriodMs = 3000;
/** Whoever asks for a trial of what is not quarantined has an outdated list, or the one asked has lost its evidence. */
const outdatedRetryMs = 500;

/** Returns from when on one request with a quarantined trait may be sent, to find out whether it still crashes instances. */
export function getTrialAtMs(trait: string, {lastCrashAtMs, isProven}: CrashCause, trial: TrialRecord | undefined): number {
	// What may be sound is tried at once.
	if (!isProven && trial === undefined) {
		return lastCrashAtMs;
	}

	const pauseMs = isRequestTrait(trait) ? requestPauseMs : Math.min(maxPauseMs, firstPartPauseMs * (pauseFactor ** (trial?.count ?? 0)));

	return Math.max(lastCrashAtMs + pauseMs, trial === undefined ? 0 : trial.lastAtMs + trialTimeoutMs);
}

/** Whether a request may be sent as a trial of its quarantined traits, and from when on it may be asked again. */
export type TrialDecision = {readonly isGranted: boolean; readonly retryAtMs: number};

export type TrialQuery = {readonly traits: Traits; readonly evidence: CrashEvidence; readonly explanation: CrashExplanation};

/**
Decides whether a request with quarantined traits may be sent as a trial. Only one daemon may decide, since all gateways together make one trial of
a trait at a time.

@example
```
decideTrial({traits, evidence, explanation}, nowMs); //=> {isGranted: false, retryAtMs: 45_000}
```
*/
export function decideTrial({traits, evidence, explanation}: TrialQuery, nowMs: number): TrialDecision {
	const {quarantined, suspected} = explanation;
	const held = traits.filter(trait => quarantined.has(trait));

	if (held.length === 0) {
		return {isGranted: false, retryAtMs: nowMs + outdatedRetryMs};
	}

	const dueAtMs = Math.max(...held.map(trait => getTrialAtMs(trait, quarantined.get(trait)!, evidence.trials.get(trait))));
	const hasOtherSuspect = traits.some(trait => !quarantined.has(trait) && suspected.includes(trait));
	const retryAtMs = hasOtherSuspect ? dueAtMs + cleanTrialPeriodMs : dueAtMs;

	return {isGranted: nowMs >= retryAtMs, retryAtMs};
}

/** Describes the trial of a request's quarantined traits, to be merged into the evidence of all daemons. */
export function createTrialReport({traits, evidence, explanation}: TrialQuery, nowMs: number): ReadonlyArray<{readonly trait: string; readonly atMs: number; readonly count: number}> {
	return traits.filter(trait => explanation.quarantined.has(trait))
		.map(trait => ({trait, atMs: nowMs, count: (evidence.trials.get(trait)?.count ?? 0) + 1}));
}
