import {type Buffer} from 'node:buffer';
import {hasRetry, withdrawRetry} from '@fescuestair/limits';
import {type Service} from '@fescuestair/traffic';
import {type AttemptResult, type ResponseHead} from './attempt.js';
import {type ActiveRuns} from './active-runs.js';
import {type CallerStream} from './caller-stream.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {type PooledInstance} from './pooled-instance.js';
import {type TakeUp} from './take-up.js';

/** State of one request while it is being forwarded. */
export type ForwardingContext = {
	readonly options: ForwardOptions;
	readonly exchange: Exchange;
	readonly service: Service;
	readonly progress: ForwardingProgress;
	readonly stream: CallerStream;
	/** What is known of the stream that the caller takes up again; `undefined` where the request begins one. */
	readonly takeUp: TakeUp | undefined;
	/** Whether the request may be served in an availability zone, by the regions that its route and its organisation allow. */
	readonly isAllowedZone: (availabilityZone: string) => boolean;
	/** Whether the request may be executed more than once. */
	readonly isRetryable: boolean;
	readonly runs: ActiveRuns;
	readonly successor: SuccessorState;
	/** Why the request needs no further run. */
	readonly end: {isCallerGone: boolean; isExpired: boolean; isAnswered: boolean};
	/** The latest complete failure that an instance answered, for where no other run follows or succeeds. */
	failure: UpstreamFailure | undefined;
};

export type UpstreamFailure = {readonly head: ResponseHead; readonly body: Buffer};

/** The run that is being prepared beside silent ones. */
export type SuccessorState = {
	isPreparing: boolean;
	/** Resolves once the latest preparation has started a run, or has been given up. */
	preparation: Promise<void>;
	/** Number of runs beside a silent one that instances refused. */
	refused: number;
	/** No other run is started before. */
	nextAtMs: number;
};

/** Instances may refuse so many runs beside a silent one; the attempts of the request itself are counted apart. */
const maxRefusedSuccessors = 4;
/** After a refusal the next run beside a silent one is started no sooner. */
const refusalPauseMs = 300;

/** Whether a request may still be sent to an instance: it was not sent there before, and the instance may continue its stream if that has begun. */
export function isOpenTo({triedInstanceIds, isEligible}: ForwardingProgress, {held: {record}}: PooledInstance): boolean {
	return !triedInstanceIds.has(record.id) && isEligible(record);
}

/** Whether the request needs no further run. */
export function hasEnded({end}: ForwardingContext): boolean {
	return end.isCallerGone || end.isExpired || end.isAnswered;
}

/** Counts the attempts that the route still allows. Runs that are under way count as sent. */
export function countAttemptsLeft({exchange, progress, runs}: ForwardingContext): number {
	return exchange.route.maxAttempts - progress.sentCount - runs.count();
}

/** Counts the runs that may still be started beside silent ones. */
export function countSuccessorsLeft(context: ForwardingContext): number {
	return context.successor.refused >= maxRefusedSuccessors ? 0 : countAttemptsLeft(context);
}

/** Records that an instance refused a run while another one is under way; one that was cancelled here was not refused. */
export function recordRefusedSuccessor({successor, options}: ForwardingContext, {cancelledFor}: Pick<AttemptResult, 'cancelledFor'>): void {
	if (cancelledFor === undefined) {
		successor.refused++;
		setSuccessorPause(successor, options.clock.readMonotonicMs());
	}
}

/** Puts off the next run beside silent ones after a refusal. */
export function setSuccessorPause(successor: SuccessorState, nowMs: number): void {
	successor.nextAtMs = nowMs + refusalPauseMs;
}

/** Whether this gateway's share of the retry budget allows a retry. Each gateway holds its own share, so that a retry needs no coordination. */
export function canRetryNow({retryBudgets, createRetryBudget}: ForwardOptions, service: string): boolean {
	return hasRetry(retryBudgets.get(service) ?? createRetryBudget(service));
}

/** Takes a retry from this gateway's share of the budget; returns whether it allows one. */
export function takeRetry({retryBudgets, createRetryBudget}: ForwardOptions, service: string): boolean {
	const {budget, isAllowed} = withdrawRetry(retryBudgets.get(service) ?? createRetryBudget(service));
	retryBudgets.set(service, budget);

	return isAllowed;
}
