import {
	RunAction, RunEvidence, SuccessionObstacle, decideRun, type RunDecision,
} from '@fescuestair/streams';
import {chooseInstanceForRequest, hasBecomeBarred, type InstanceChoice} from './choose-place.js';
import {
	canRetryNow, countSuccessorsLeft, hasEnded, setSuccessorPause, takeRetry, type ForwardingContext,
} from './forwarding-context.js';
import {type ForwardingProgress} from './forward-options.js';
import {releasePermit, requestPermit} from './request-permit.js';
import {type ActiveRun} from './start-run.js';

export type SuccessorOptions = {
	/** Starts a run at the chosen instance. */
	readonly startRun: (choice: InstanceChoice) => void;
	/** With less time than this before the deadline a request is no longer sent. */
	readonly minTimeLeftMs: number;
};

/** An instance that names a limit is chosen again once it has granted a permit, or has refused one. */
const maxPermitRounds = 3;

/**
Handles the silence of a run: another one is started beside it where one could take over. The first of them that sends something continues the answer.
The silent run is not cancelled: where no other follows, it may still go on.

@example
```
handleSilence(context, run, {startRun: choice => startRunAt(context, choice), minTimeLeftMs: 20});
```
*/
export function handleSilence(context: ForwardingContext, run: ActiveRun, options: SuccessorOptions): void {
	if (!context.successor.isPreparing && !hasEnded(context)) {
		context.successor.isPreparing = true;
		context.successor.preparation = prepareSuccessor(context, run, options);
	}
}

async function prepareSuccessor(context: ForwardingContext, run: ActiveRun, {startRun, minTimeLeftMs}: SuccessorOptions): Promise<void> {
	const {options, exchange, progress, service, successor, runs} = context;
	// What is refused to the successor says nothing of the attempts of the request itself.
	const successorProgress: ForwardingProgress = {...progress, permit: undefined, permitRefusals: 0};

	try {
		const silence = decideSilence(context, {minTimeLeftMs});
		recordDecision(context, run, silence);
		const choice = silence.action === RunAction.AddRun ? await waitForPermit(context, {choice: silence.choice!, successorProgress, minTimeLeftMs}) : undefined;

		if (choice !== undefined && !hasEnded(context) && !hasBecomeBarred(options, exchange, choice) && takeRetry(options, service.name)) {
			startRun(choice);
		}
	} catch (error) {
		options.log.error('no other run could be started beside a silent one', {requestId: exchange.requestId, reason: error instanceof Error ? error.stack : String(error)});
	} finally {
		successor.isPreparing = false;

		// Where the silent run was lost meanwhile, the next attempt uses the permit.
		if (runs.count() === 0 && !hasEnded(context) && progress.permit === undefined) {
			progress.permit = successorProgress.permit;
		} else {
			releasePermit(options, successorProgress);
		}
	}
}

type SilenceDecision = RunDecision & {readonly choice: InstanceChoice | undefined};

function decideSilence(context: ForwardingContext, {minTimeLeftMs, choice: givenChoice}: {readonly minTimeLeftMs: number; readonly choice?: InstanceChoice}): SilenceDecision {
	const {options, exchange, isRetryable, stream, runs, service, progress, successor} = context;
	let choice = givenChoice;
	// Read in the order of the obstacles: the choice of an instance costs most.
	const decision = decideRun(RunEvidence.Silent, {
		isRepeatable: isRetryable,
		get hasPosition() {
			return stream.canContinue();
		},
		get isStarted() {
			return runs.count() === 0 || !runs.areAllSilent();
		},
		get attemptsLeft() {
			return countSuccessorsLeft(context);
		},
		get hasTime() {
			return !hasEnded(context) && exchange.deadlineMs - options.clock.readMonotonicMs() >= minTimeLeftMs;
		},
		get isHeldBack() {
			return options.crashes.findHeldBack(exchange) !== undefined;
		},
		get hasUpstream() {
			choice ??= options.clock.readMonotonicMs() >= successor.nextAtMs ? chooseInstanceForRequest(options, exchange, {service, progress}) : undefined;

			return choice !== undefined;
		},
		get hasBudget() {
			return canRetryNow(options, service.name);
		},
	});

	return {...decision, choice};
}

type PermitWait = {readonly choice: InstanceChoice; readonly successorProgress: ForwardingProgress; readonly minTimeLeftMs: number};

// Resolves to the instance to which the request may be sent now, if any. The silent run may go on, or end, in each wait for a permit.
async function waitForPermit(context: ForwardingContext, {choice: firstChoice, successorProgress, minTimeLeftMs}: PermitWait): Promise<InstanceChoice | undefined> {
	const {options, exchange, service, successor} = context;
	let choice: InstanceChoice | undefined = firstChoice;

	for (let round = 0; round < maxPermitRounds && choice !== undefined && decideSilence(context, {minTimeLeftMs, choice}).action === RunAction.AddRun; round++) {
		const timeLeftMs = exchange.deadlineMs - options.clock.readMonotonicMs();

		if (await requestPermit(options, exchange, {
			service, progress: successorProgress, choice, timeLeftMs, isUnderWay: true,
		})) {
			return choice;
		}

		choice = chooseInstanceForRequest(options, exchange, {service, progress: successorProgress});
	}

	if (successorProgress.permitRefusals > 0) {
		setSuccessorPause(successor, options.clock.readMonotonicMs());
	}

	return undefined;
}

function recordDecision({options, service}: ForwardingContext, run: ActiveRun, {action, obstacle}: RunDecision): void {
	if (obstacle !== SuccessionObstacle.Started && run.recordSilence({action, obstacle})) {
		options.metrics.count('silences_total', {service: service.name, action, obstacle: obstacle ?? 'none'});
	}
}
