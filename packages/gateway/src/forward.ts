import {setTimeout as sleep} from 'node:timers/promises';
import {
	decideReopening, decideWait, maxIdleQueueMs, WaitDecision, type ReopeningInput, type WaitInput,
} from '@fescuestair/routing';
import {
	AnswerEnd, RunEvidence, RunFault, SuccessionObstacle, decideAnswerEnd, describeRunFault, findSuccessionObstacle, type BodyFraming,
} from '@fescuestair/streams';
import {
	CallKind, chooseTarget, createZoneFilter, mergeAllowedRegions, type Route, type Service,
} from '@fescuestair/traffic';
import {createActiveRuns, type RunEnd} from './active-runs.js';
import {AttemptCompletion} from './attempt.js';
import {createCallerStream} from './caller-stream.js';
import {chooseInstanceForRequest, hasBecomeBarred, type InstanceChoice} from './choose-place.js';
import {
	computePatienceMs, computeTimeLeftMs, ExchangeOutcome, ResponseEnd, sendLocalResponse, type Exchange, type ExchangeResult,
} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {type InstanceFilter} from './instance-pool.js';
import {describeHeldBack, findHeldBackOrTry} from './held-back.js';
import {
	computeReturnDelayMs, findLimitEndMs, releasePermit, requestPermit,
} from './request-permit.js';
import {
	addJitter, badGatewayStatus, computeRetryAfterMs, endFailed, minRetryAfterMs, refuse, unavailableStatus,
} from './refuse-exchange.js';
import {describeRunOrigin} from './run-origin.js';
import {hasCallerLeft} from './has-caller-left.js';
import {maxTimerMs} from './max-timer-ms.js';
import {sendUpstreamResponse} from './send-response.js';
import {
	countAttemptsLeft, hasEnded, recordRefusedSuccessor, takeRetry, type ForwardingContext,
} from './forwarding-context.js';
import {startRun, type ActiveRun, type EndedRun} from './start-run.js';
import {handleSilence} from './start-successor.js';
import {
	checkTakeUp, describeStreamRecord, findTakeUp, hasSuccessor, recordTakeUp, type TakeUp,
} from './take-up.js';

/** Attempts that an instance rejected without running the request are cheap to repeat; after this many the service counts as overloaded. */
const maxRefusedAttempts = 4;
/** A request that got no permit from this many instances that name limits, one after the other, is refused. */
const maxPermitRefusals = 6;
/** With less time than this before the deadline a request is no longer sent: it could not be answered in time. */
const minTimeLeftMs = 20;
const gatewayTimeoutStatus = 504;
/**
A waiting request is evaluated again when the queue of the best instance should have emptied, within these bounds. The upper bound applies
because other instances may finish their work earlier than estimated.
*/
const minRecheckMs = 25;
const maxRecheckMs = 150;
/** Requests that wait for the same instance are spread over this interval, so that they are not all evaluated at once. */
const recheckJitterMs = 25;

export type ForwardResult = ExchangeResult & {
	readonly story: ForwardingProgress['story'];
	/** How a stream that had started ended for the caller; `undefined` where none had. */
	readonly streamEnd?: StreamEnd;
};

type StreamEnd = {readonly end: ResponseEnd; readonly framing: BodyFraming};

/**
Forwards one request until it has a final response. A request that is not retryable is executed at most once. An attempt that was not
executed is retried on another instance while the deadline and the retry budget allow. A resumable stream continues on another instance after
its last complete event. While its instance is silent, a request that may be repeated runs at another one as well, if there is one that can take over.

@example
```
const {outcome, status} = await forwardExchange(options, exchange);
```
*/
export async function forwardExchange(options: ForwardOptions, exchange: Exchange): Promise<ForwardResult> {
	const {clock, getTable, waiting, origins} = options;
	const {route, response} = exchange;
	const takeUp = await findTakeUp(options, exchange);
	const service = getTable().services.get(chooseService(route, takeUp));
	const stream = createCallerStream({
		isLeaving: options.isLeaving,
		takenUp: takeUp,
		onBegin(origin) {
			const streamRecord = describeStreamRecord(exchange);

			if (streamRecord !== undefined) {
				origins.record(streamRecord.streamId, origin, streamRecord.deadlineMs);
			}
		},
	}, exchange);
	const allowedRegions = mergeAllowedRegions(route, exchange.organisation);
	const isAllowedZone = createZoneFilter(allowedRegions, options.regionsByZone);
	const progress: ForwardingProgress = {
		sentCount: 0, refused: 0, waits: 0, permitRefusals: 0, permit: undefined, isTrial: false, triedInstanceIds: new Set(), story: [],
		isEligible: record => isAllowedZone(record.availabilityZone) && stream.findObstacle(() => describeRunOrigin(options.instancePool, record)) === undefined,
	};

	if (service === undefined) {
		return refuseUnplaced(exchange, 'the service is not declared', computeRetryAfterMs(0));
	}

	// Only another configuration changes that, so the caller is not asked to return.
	if (allowedRegions?.length === 0) {
		return refuseUnplaced(exchange, 'the route and the organisation allow no common region');
	}

	const runs = createActiveRuns();
	const ending: ForwardingContext['end'] = {isCallerGone: response.destroyed, isExpired: false, isAnswered: false};
	const context: ForwardingContext = {
		options, exchange, service, progress, runs, end: ending, stream, takeUp, isAllowedZone, isRetryable: canRetry(route),
		successor: {
			isPreparing: false, preparation: Promise.resolve(), refused: 0, nextAtMs: 0,
		},
		failure: undefined,
	};

	recordTakeUp(context);

	const onClose = () => {
		if (!response.writableFinished) {
			ending.isCallerGone = true;
			runs.cancel(RunEvidence.CallerGone);
		}
	};

	response.on('close', onClose);
	const timer = setTimeout(() => {
		ending.isExpired = true;
		runs.cancel(RunEvidence.DeadlinePassed);
	}, Math.min(maxTimerMs, Math.max(0, exchange.deadlineMs - clock.readMonotonicMs())));
	let end: ExchangeResult | undefined;

	try {
		while (end === undefined) {
			end = await (runs.count() > 0 ? followRuns(context) : advanceRequest(context));
		}
	} finally {
		ending.isAnswered = true;
		runs.cancel(RunEvidence.Superseded);
		waiting.delete(exchange);
		releasePermit(options, progress);
		clearTimeout(timer);
		response.off('close', onClose);
		await runs.settle();
	}

	const begun = context.stream.getBegun();

	if (begun === undefined) {
		return {...end, story: progress.story};
	}

	const responseEnd = ending.isCallerGone ? ResponseEnd.CallerGone : (response.writableEnded ? ResponseEnd.Complete : ResponseEnd.Aborted);
	options.metrics.count('stream_ends_total', {service: service.name, end: responseEnd, framing: begun.framing});

	return {...end, story: progress.story, streamEnd: {end: responseEnd, framing: begun.framing}};
}

// Refuses a request for which no instance was looked for.
function refuseUnplaced({response}: Exchange, reason: string, retryAfterMs?: number): ForwardResult {
	sendLocalResponse(response, {status: unavailableStatus, message: reason, retryAfterMs});

	return {
		outcome: ExchangeOutcome.Refused, status: unavailableStatus, reason, story: [],
	};
}

// The rest of a stream is served by the service that began it, if the route still names that.
function chooseService({targets}: Route, takeUp: TakeUp | undefined): string {
	return targets.find(({service}) => service === takeUp?.origin?.service)?.service ?? chooseTarget(targets, Math.random()).service;
}

function canRetry({kind, isResumable}: Route): boolean {
	return kind === CallKind.Safe || (kind === CallKind.Streaming && isResumable);
}

function startRunAt(context: ForwardingContext, choice: InstanceChoice): void {
	const {options, exchange, service, progress, stream, isRetryable, runs} = context;
	runs.add(startRun(options, exchange, {
		...choice, service, progress, stream, isRetryable, isBeside: runs.count() > 0,
		onSilence(run) {
			handleSilence(context, run, {
				minTimeLeftMs, startRun(successorChoice) {
					startRunAt(context, successorChoice);
				},
			});
		},
		onForward(run) {
			runs.cancel(RunEvidence.Superseded, run);
		},
	}));
}

// Waits until one of the runs has ended. Returns `undefined` while the request is unfinished.
async function followRuns(context: ForwardingContext): Promise<ExchangeResult | undefined> {
	const {runs, progress, successor, end} = context;
	const runEnd = await runs.waitForEnd();
	progress.isTrial &&= runEnd.ended.result.end === AttemptCompletion.NotRun;

	// Before another attempt is decided on, the one that is being prepared is started or given up.
	if (runs.count() === 0 && !hasEnded(context) && !isComplete(runEnd.ended)) {
		await successor.preparation;
	}

	return end.isCallerGone ? endCallerGone() : handleRunEnd(context, runEnd);
}

function isComplete({result, fault}: EndedRun): boolean {
	return result.end === AttemptCompletion.Complete && fault === undefined;
}

// Performs the next step of a request without active runs: starts one, or waits. Returns `undefined` while the request is unfinished.
async function advanceRequest(context: ForwardingContext): Promise<ExchangeResult | undefined> {
	const {options, exchange, service, progress, end, stream} = context;

	if (await hasCallerLeft(exchange)) {
		end.isCallerGone = true;
	}

	if (end.isCallerGone) {
		return endCallerGone();
	}

	const refusal = checkTakeUp(context);

	if (refusal !== undefined) {
		return refuseEvacuated(context) ?? refuse(context, refusal.reason, refusal.canReturn ? computeRetryAfterMs(0) : undefined);
	}

	if (end.isExpired || exchange.deadlineMs - options.clock.readMonotonicMs() < minTimeLeftMs) {
		return progress.sentCount > 0 ? endFailed(context, gatewayTimeoutStatus, 'the deadline passed') : refuse(context, 'the deadline passed before it was sent', computeRetryAfterMs(0));
	}

	const heldBack = await findHeldBackOrTry(options, exchange, {progress, stream});

	if (heldBack !== undefined) {
		const {reason, retryAfterMs} = describeHeldBack(options, heldBack, {service: service.name, progress});

		return refuse(context, reason, addJitter(Math.max(minRetryAfterMs, retryAfterMs)));
	}

	const choice = chooseInstanceForRequest(options, exchange, {service, progress});

	if (choice === undefined || progress.permitRefusals > maxPermitRefusals) {
		return waitForInstance(context);
	}

	// A request whose response has started, or that may already have been executed, does not wait again.
	const decision = stream.hasStarted() || progress.sentCount > 0 ? WaitDecision.Send : decideDispatch(context, choice);

	if (decision === WaitDecision.Refuse) {
		return refuse(context, 'all instances are too busy to answer in time', computeRetryAfterMs(choice.placement.queueMs));
	}

	if (decision === WaitDecision.Wait) {
		progress.waits++;
		options.waiting.set(exchange, {service: service.name, workMs: choice.placement.workMs});
		await sleep(computeRecheckMs(Math.max(choice.placement.queueMs, choice.placement.memoryWaitMs)) + (Math.random() * recheckJitterMs));

		return undefined;
	}

	options.waiting.delete(exchange);
	const timeLeftMs = computeTimeLeftMs(exchange, options.clock.readMonotonicMs());

	if (!await requestPermit(options, exchange, {
		service, progress, choice, timeLeftMs, isUnderWay: progress.sentCount > 0 || stream.hasStarted(),
	})) {
		return undefined;
	}

	if (canStillStart(context, choice)) {
		startRunAt(context, choice);
	}

	return undefined;
}

// The wait for a trial or the permit may have outlasted the caller, the weights of the instance, or the evidence that the request is to be held back.
function canStillStart(context: ForwardingContext, choice: InstanceChoice): boolean {
	const {options, exchange, progress} = context;
	const isHeldBack = !progress.isTrial && options.crashes.findHeldBack(exchange) !== undefined;

	return !hasEnded(context) && !isHeldBack && !hasBecomeBarred(options, exchange, choice);
}

// No instance accepts requests now. Waits until one does, provided that this is early enough for the request; refuses the request otherwise.
async function waitForInstance(context: ForwardingContext): Promise<ExchangeResult | undefined> {
	const {
		options, exchange, service, progress, stream,
	} = context;
	const evacuated = refuseEvacuated(context);

	if (evacuated !== undefined) {
		return evacuated;
	}

	const nowMs = options.clock.readMonotonicMs();
	const computeLeftMs = (endMs: number | undefined) => endMs === undefined ? undefined : Math.max(0, endMs - nowMs);
	const isEligible: InstanceFilter = ({held}) => progress.isEligible(held.record);
	const restLeftMs = computeLeftMs(options.instancePool.findRestEndMs(service.name, isEligible));
	const limitLeftMs = computeLeftMs(findLimitEndMs(options, service.name, isEligible));
	const workMs = (exchange.caller.prompt?.promptTokens ?? 0) / options.instancePool.getPrefillTokensPerMs(service.name);
	const waitMs = progress.permitRefusals > maxPermitRefusals
		? undefined
		: decideReopening({
			restLeftMs, limitLeftMs, isUnderWay: progress.sentCount > 0 || stream.hasStarted(), workMs, waitedMs: nowMs - exchange.startedAtMs, patienceMs: computePatienceMs(exchange),
		});

	if (waitMs === undefined) {
		progress.story.push({
			decision: WaitDecision.Refuse, standings: options.instancePool.countStandings(service.name),
			...(progress.permitRefusals > 0 && {permitRefusals: progress.permitRefusals}),
			...(restLeftMs !== undefined && {restLeftMs: Math.round(restLeftMs)}), ...(limitLeftMs !== undefined && {limitLeftMs: Math.round(limitLeftMs)}),
		});

		return refuseUnavailable(context, {restLeftMs, limitLeftMs});
	}

	progress.waits++;
	options.waiting.set(exchange, {service: service.name, workMs});
	await sleep(waitMs + (Math.random() * recheckJitterMs));

	return undefined;
}

// Refuses a request that only instances of evacuated zones could serve. Nobody knows when the operator ends that, so waiting would be in vain.
function refuseEvacuated(context: ForwardingContext): ExchangeResult | undefined {
	const {options, service, progress} = context;
	const evacuated = options.instancePool.countOnlyEvacuated(service.name, ({held}) => progress.isEligible(held.record));

	if (evacuated === undefined) {
		return undefined;
	}

	progress.story.push({decision: WaitDecision.Refuse, evacuated, standings: options.instancePool.countStandings(service.name)});

	return refuse(context, 'all instances that may serve the request are in evacuated availability zones', computeRetryAfterMs(Number.POSITIVE_INFINITY));
}

function refuseUnavailable(context: ForwardingContext, {restLeftMs, limitLeftMs}: Pick<ReopeningInput, 'restLeftMs' | 'limitLeftMs'>): ExchangeResult {
	const {options, service} = context;

	if (limitLeftMs !== undefined) {
		const reason = options.permits.isUnanswered() ? 'no coordinator grants permits for instances that name a limit' : 'the limits that the instances of the service name are used up';

		return refuse(context, reason, computeReturnDelayMs(options, service.name, Math.min(limitLeftMs, restLeftMs ?? limitLeftMs)));
	}

	const hasServing = options.instancePool.hasServing(service.name, ({held}) => context.isAllowedZone(held.record.availabilityZone));
	const reason = hasServing || !options.instancePool.hasServing(service.name, () => true)
		? 'no instance of the service takes requests now'
		: 'no instance of the service serves in a region that the request may use';

	return refuse(context, reason, restLeftMs === undefined ? computeRetryAfterMs(0) : addJitter(restLeftMs));
}

/** Computes the delay after which a waiting request is evaluated again. */
function computeRecheckMs(queueMs: number): number {
	return Math.min(maxRecheckMs, Math.max(minRecheckMs, queueMs - maxIdleQueueMs));
}

function endCallerGone(): ExchangeResult {
	return {outcome: ExchangeOutcome.CallerGone, status: 0, reason: 'the caller left'};
}

function decideDispatch({options, exchange, service, progress}: ForwardingContext, {entry, placement}: InstanceChoice): WaitDecision {
	const question = {
		...placement,
		waitedMs: options.clock.readMonotonicMs() - exchange.startedAtMs,
		aheadMs: estimateAheadMs(options, exchange, service),
		targetMs: exchange.route.targetMs,
		patienceMs: computePatienceMs(exchange),
	};
	const decision = decideWait(question);

	if (decision === WaitDecision.Refuse) {
		progress.story.push(describeRefusal(question, {instance: entry.held.record.id, waits: progress.waits}));
	}

	return decision;
}

/** Describes for the log why a request was refused: the estimates for the best instance, and the work of requests queued ahead of it here. */
function describeRefusal(question: WaitInput, {instance, waits}: {readonly instance: string; readonly waits: number}): Readonly<Record<string, unknown>> {
	const {expectedMs, queueMs, workMs, memoryWaitMs, aheadMs, waitedMs, patienceMs} = question;

	return {
		decision: WaitDecision.Refuse, best: instance, waits, expectedMs: Math.round(expectedMs), queueMs: Math.round(queueMs), workMs: Math.round(workMs),
		memoryWaitMs: Math.round(memoryWaitMs), aheadMs: Math.round(aheadMs), waitedMs: Math.round(waitedMs), patienceMs: Math.round(patienceMs),
	};
}

// Ends the request according to how one of its runs ended: returns the final result, or `undefined` where another run follows or is under way.
function handleRunEnd(context: ForwardingContext, {run, ended}: RunEnd): ExchangeResult | undefined {
	const {
		options, exchange, service, progress, stream, runs,
	} = context;
	const {result} = ended;

	if (result.end === AttemptCompletion.NotRun) {
		if (runs.count() > 0) {
			recordRefusedSuccessor(context, result);

			return undefined;
		}

		progress.refused++;

		// A request that was never sent put no load on any instance, so its retry does not draw on the budget.
		const shouldRetry = progress.refused <= maxRefusedAttempts && (!result.isSent || takeRetry(options, service.name));

		return shouldRetry ? undefined : refuse(context, `turned away: ${result.reason}`, computeRetryAfterMs(run.choice.placement.expectedMs));
	}

	progress.sentCount++;
	const {end, fault, obstacle} = decideEnd(context, ended);

	if (end === AnswerEnd.Repeat || end === AnswerEnd.Wait) {
		if (fault === RunFault.Status && !stream.hasStarted()) {
			context.failure = {head: result.head!, body: result.body};
		}

		return undefined;
	}

	if (end === AnswerEnd.Aborted) {
		progress.story.push({decision: end, obstacle});

		return context.end.isExpired ? endFailed(context, gatewayTimeoutStatus, 'the deadline passed') : endFailed(context, badGatewayStatus, describeAbort(ended));
	}

	if (stream.hasStarted()) {
		ended.streamRun.finish();
	} else {
		sendUpstreamResponse(exchange.response, {head: result.head!, body: result.body, isLeaving: options.isLeaving()});
	}

	return fault === undefined
		? {outcome: ExchangeOutcome.Answered, status: result.head!.status, reason: ''}
		: {outcome: ExchangeOutcome.Failed, status: result.head!.status, reason: describeRunFault(fault)};
}

type EndDecision = ReturnType<typeof decideAnswerEnd> & {
	/** Why no other run can follow; `undefined` where one does, or none is needed. */
	readonly obstacle: SuccessionObstacle | undefined;
};

// Takes a retry from the budget only where the decision is to make another attempt.
function decideEnd(context: ForwardingContext, ended: EndedRun): EndDecision {
	const {run, streamRun} = ended;
	const {options, service, stream, isRetryable, runs, end} = context;
	const begun = streamRun.getBegun();
	const obstacle = findSuccessionObstacle({
		isRepeatable: isRetryable, hasPosition: stream.canContinue(), isStarted: false, attemptsLeft: countAttemptsLeft(context), hasTime: !end.isExpired, isHeldBack: false,
		// Looked for only where it is needed: this passes over all instances.
		hasUpstream: isComplete(ended) || !stream.hasStarted() || hasSuccessor(context), hasBudget: true,
	});
	const decision = decideAnswerEnd({begun, canRepeat: obstacle === undefined, hasOtherRun: runs.count() > 0}, run);

	return decision.end === AnswerEnd.Repeat && !takeRetry(options, service.name)
		? {...decideAnswerEnd({begun, canRepeat: false}, run), obstacle: SuccessionObstacle.NoBudget}
		: {...decision, obstacle};
}

function describeAbort({result, fault}: EndedRun): string {
	if (result.end === AttemptCompletion.Incomplete) {
		return result.reason;
	}

	return fault === RunFault.Status ? `the instance that was to continue the stream answered ${result.head!.status}` : describeRunFault(fault!);
}

// Estimates the time until the requests queued before this one have been sent. Assumes that every other gateway has as much work waiting,
// since all gateways share the instances.
function estimateAheadMs({waiting, instancePool, countGateways}: ForwardOptions, exchange: Exchange, service: Service): number {
	let workMs = 0;

	for (const [waitingExchange, {service: name, workMs: waitingWorkMs}] of waiting) {
		if (waitingExchange === exchange) {
			break;
		}

		workMs += name === service.name ? waitingWorkMs : 0;
	}

	return workMs * countGateways() / Math.max(1, instancePool.listAvailable(service.name).length);
}
