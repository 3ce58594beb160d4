/** What is known of a run that has not ended by itself. */
export enum RunEvidence {
	/** Its upstream sends nothing for longer than it should need. It may go on: a sound upstream can pause. */
	Silent = 'silent',
	/** Another run has sent what continues the answer. */
	Superseded = 'superseded',
	/** It sent what cannot be part of the answer. */
	InvalidAnswer = 'invalid_answer',
	/** The caller closed its connection. */
	CallerGone = 'caller_gone',
	/** The caller no longer waits for the answer. */
	DeadlinePassed = 'deadline_passed',
	/** The time in which this process may finish its requests is over. */
	StopTimeout = 'stop_timeout',
	/** The answers in progress take too much memory, and its own the most. */
	OutOfMemory = 'out_of_memory',
	/** It has not begun, and the weights of its upstream have become too old for that. */
	WeightsTooOld = 'weights_too_old',
}

/** What is done about a run. */
export enum RunAction {
	/** It goes on alone. */
	Keep = 'keep',
	/** It goes on, and another run is started that may take over. */
	AddRun = 'add_run',
	/** It is cancelled. */
	Cancel = 'cancel',
}

/** Why no other run can take over; the first that applies, in this order. */
export enum SuccessionObstacle {
	/** The request may run once only. */
	NotRepeatable = 'not_repeatable',
	/** The caller has got events without ids that have an order, so that no run can go on behind them. */
	NoPosition = 'no_position',
	/** Another run has been started that may still take over. */
	Started = 'started',
	/** The route allows no further attempt. */
	NoAttempt = 'no_attempt',
	/** The deadline is too near. */
	NoTime = 'no_time',
	/** The request is held back, since upstreams crashed under it. */
	HeldBack = 'held_back',
	/** No other upstream takes the request now. */
	NoUpstream = 'no_upstream',
	/** The budget for retries is spent. */
	NoBudget = 'no_budget',
}

/** Whether another run could take over. */
export type Succession = {
	readonly isRepeatable: boolean;
	/** Whether it is known where another run has to go on. */
	readonly hasPosition: boolean;
	/** Whether a run of the request that is not silent is under way or is being prepared. */
	readonly isStarted: boolean;
	readonly attemptsLeft: number;
	readonly hasTime: boolean;
	readonly isHeldBack: boolean;
	readonly hasUpstream: boolean;
	readonly hasBudget: boolean;
};

export type RunDecision = {
	readonly action: RunAction;
	/** Why a silent run goes on alone; `undefined` otherwise. */
	readonly obstacle: SuccessionObstacle | undefined;
};

/**
Decides what becomes of a run. It is cancelled only where it can no longer serve its caller. Silence does not show that: the run goes on, with another one
beside it if that could take over.

@example
```
const succession = {
	isRepeatable: true, hasPosition: true, isStarted: false, attemptsLeft: 1, hasTime: true, isHeldBack: false, hasUpstream: true, hasBudget: false,
};
decideRun(RunEvidence.Silent, succession); //=> {action: RunAction.Keep, obstacle: SuccessionObstacle.NoBudget}
```
*/
export function decideRun(evidence: RunEvidence, succession: Succession): RunDecision {
	if (evidence !== RunEvidence.Silent) {
		return {action: RunAction.Cancel, obstacle: undefined};
	}

	const obstacle = findSuccessionObstacle(succession);

	return {action: obstacle === undefined ? RunAction.AddRun : RunAction.Keep, obstacle};
}

/** Finds out why no other run can take over; `undefined` where one can. */
export function findSuccessionObstacle(succession: Succession): SuccessionObstacle | undefined {
	return obstacles.find(([, applies]) => applies(succession))?.[0];
}

const obstacles: ReadonlyArray<readonly [SuccessionObstacle, (succession: Succession) => boolean]> = [
	[SuccessionObstacle.NotRepeatable, ({isRepeatable}) => !isRepeatable],
	[SuccessionObstacle.NoPosition, ({hasPosition}) => !hasPosition],
	[SuccessionObstacle.Started, ({isStarted}) => isStarted],
	[SuccessionObstacle.NoAttempt, ({attemptsLeft}) => attemptsLeft <= 0],
	[SuccessionObstacle.NoTime, ({hasTime}) => !hasTime],
	[SuccessionObstacle.HeldBack, ({isHeldBack}) => isHeldBack],
	[SuccessionObstacle.NoUpstream, ({hasUpstream}) => !hasUpstream],
	[SuccessionObstacle.NoBudget, ({hasBudget}) => !hasBudget],
];

/** Describes for the log why a run was cancelled. */
export function describeRunEvidence(evidence: RunEvidence): string {
	return descriptions[evidence];
}

const descriptions: Readonly<Record<RunEvidence, string>> = {
	[RunEvidence.Silent]: 'the instance fell silent',
	[RunEvidence.Superseded]: 'another run has continued the answer',
	[RunEvidence.InvalidAnswer]: 'the instance sent what cannot be part of the answer',
	[RunEvidence.CallerGone]: 'the caller left',
	[RunEvidence.DeadlinePassed]: 'the deadline passed',
	[RunEvidence.StopTimeout]: 'the time to finish requests was over',
	[RunEvidence.OutOfMemory]: 'the answers in progress take too much memory',
	[RunEvidence.WeightsTooOld]: 'the weights of the instance became too old before the run began',
};
