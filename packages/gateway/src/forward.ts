import {setTimeout as sleep} from 'node:timers/promises';
import {withdrawRetry} from '@fescuestair/limits';
import {
	decideRest, decideWait, freeQueueMs, WaitDecision, type WaitQuestion,
} from '@fescuestair/routing';
import {
	CallKind, chooseTarget, type Route, type Service,
} from '@fescuestair/traffic';
import {AttemptEnd, type Attempt, type AttemptResult} from './attempt.js';
import {createCallerStream, type CallerStream} from './caller-stream.js';
import {chooseInstanceForRequest, type InstanceChoice} from './choose-place.js';
import {
	Outcome, sendLocalResponse, type Exchange, type ExchangeResult,
} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {sendUpstreamAnswer} from './send-answer.js';
import {sendVisit} from './send-visit.js';

/** Sendings that were not run cost little; past this many the service is taken to be full. */
const maxRefusedSendings = 4;
/** Time below which a request has no chance to be answered. */
const leastTimeMs = 20;
const leastRetryAfterMs = 200;
const longestRetryAfterMs = 2000;
const retrySpreadMs = 400;
const refusedStatus = 503;
const brokenStatus = 502;
const expiredStatus = 504;
/** A request that waits looks again when the best instance should be free; sooner than the longest, as the others' work may end early. */
const leastWaitMs = 25;
const longestWaitMs = 150;
/** Those that wait for the same instance look at their own moments. */
const waitSpreadMs = 25;

export type ForwardEnd = ExchangeResult & {readonly story: ForwardingProgress['story']};

/** One request while it is forwarded. */
type Forwarding = {
	readonly options: ForwardOptions;
	readonly exchange: Exchange;
	readonly service: Service;
	readonly progress: ForwardingProgress;
	readonly stream: CallerStream;
	/** Whether it may run more than once. */
	readonly isRepeatable: boolean;
	readonly controls: {attempt: Attempt | undefined; isLeft: boolean; isExpired: boolean};
};

/**
Forwards one request until it has a final answer. A request that may not be repeated is sent once; whatever was not run goes elsewhere
while the time and the budget of repeats allow; a resumable stream goes on at another instance after its last whole event.

@example
```
const {outcome, status} = await forwardExchange(options, exchange);
```
*/
export async function forwardExchange(options: ForwardOptions, exchange: Exchange): Promise<ForwardEnd> {
	const {clock, getTable, waiting} = options;
	const {route, response} = exchange;
	const service = getTable().services.get(chooseTarget(route.targets, Math.random()).service);
	const progress: ForwardingProgress = {
		sentCount: 0, refused: 0, waits: 0, triedInstanceIds: new Set(), story: [],
	};

	if (service === undefined) {
		sendLocalResponse(response, {status: refusedStatus, message: 'the service is not declared', retryAfterMs: spreadRetry(0)});

		return {
			outcome: Outcome.Refused, status: refusedStatus, reason: 'the service is not declared', story: progress.story,
		};
	}

	const controls: Forwarding['controls'] = {attempt: undefined, isLeft: false, isExpired: false};
	const forwarding: Forwarding = {
		options, exchange, service, progress, controls, stream: createCallerStream(options, exchange), isRepeatable: canRepeat(route),
	};

	const onClose = () => {
		if (!response.writableFinished) {
			controls.isLeft = true;
			controls.attempt?.cancel('the caller left');
		}
	};

	response.on('close', onClose);
	const timer = setTimeout(() => {
		controls.isExpired = true;
		controls.attempt?.cancel('the deadline passed');
	}, Math.max(0, exchange.deadlineMs - clock.readMonotonicMs()));
	let end: ExchangeResult | undefined;

	while (end === undefined) {
		end = await advanceForwarding(forwarding);
	}

	waiting.delete(exchange);
	clearTimeout(timer);
	response.off('close', onClose);

	return {...end, story: progress.story};
}

function canRepeat({kind, isResumable}: Route): boolean {
	return kind === CallKind.Safe || (kind === CallKind.Streaming && isResumable);
}

// Takes the next step of a request; `undefined` where another follows.
async function advanceForwarding(forwarding: Forwarding): Promise<ExchangeResult | undefined> {
	const {
		options, exchange, service, progress, controls, stream, isRepeatable,
	} = forwarding;

	if (controls.isLeft) {
		return leave();
	}

	if (controls.isExpired || exchange.deadlineMs - options.clock.readMonotonicMs() < leastTimeMs) {
		return progress.sentCount > 0 ? endFailed(forwarding, expiredStatus, 'the deadline passed') : refuse(forwarding, 'the deadline passed before it was sent', spreadRetry(0));
	}

	const quarantineDeadlineMs = options.crashes.getQuarantineDeadline(exchange);

	if (quarantineDeadlineMs !== undefined) {
		return refuse(forwarding, 'instances crashed each time that they ran this request', quarantineDeadlineMs - options.clock.readMonotonicMs());
	}

	const place = chooseInstanceForRequest(options, exchange, {service, progress});

	if (place === undefined) {
		return waitForRest(forwarding);
	}

	// What has begun, or may have run elsewhere, goes on at once.
	const decision = stream.hasStarted() || progress.sentCount > 0 ? WaitDecision.Send : decideNow(forwarding, place);

	if (decision === WaitDecision.Refuse) {
		return refuse(forwarding, 'all instances are too busy to answer in time', spreadRetry(place.placement.queueMs));
	}

	if (decision === WaitDecision.Wait) {
		progress.waits++;
		options.waiting.set(exchange, {service: service.name, workMs: place.placement.workMs});
		await sleep(computeLookMs(Math.max(place.placement.queueMs, place.placement.memoryWaitMs)) + (Math.random() * waitSpreadMs));

		return undefined;
	}

	options.waiting.delete(exchange);
	const result = await sendVisit(options, exchange, {
		...place, service, progress, stream, isRepeatable, controls,
	});
	controls.attempt = undefined;

	return controls.isLeft ? leave() : settle(forwarding, place, result);
}

// No instance takes requests now: the request waits for the first that ends the rest it asked for, where one does in time.
async function waitForRest(forwarding: Forwarding): Promise<ExchangeResult | undefined> {
	const {options, exchange, service, progress} = forwarding;
	const restEndMs = options.book.findRestEndMs(service.name);
	const restLeftMs = restEndMs === undefined ? undefined : Math.max(0, restEndMs - options.clock.readMonotonicMs());
	const question = {
		restLeftMs: restLeftMs ?? 0,
		workMs: (exchange.caller.prompt?.promptTokens ?? 0) / options.book.getPrefillTokensPerMs(service.name),
		waitedMs: options.clock.readMonotonicMs() - exchange.startedAtMs,
		patienceMs: computePatienceMs(exchange),
	};

	if (restLeftMs === undefined || decideRest(question) === WaitDecision.Refuse) {
		progress.story.push({
			decision: WaitDecision.Refuse, standings: options.book.countStandings(service.name), ...(restLeftMs !== undefined && {restLeftMs: Math.round(restLeftMs)}),
		});

		return refuse(forwarding, 'no instance of the service takes requests now', restLeftMs === undefined ? spreadRetry(0) : spreadTime(restLeftMs));
	}

	progress.waits++;
	options.waiting.set(exchange, {service: service.name, workMs: question.workMs});
	await sleep(restLeftMs + (Math.random() * waitSpreadMs));

	return undefined;
}

function computePatienceMs({deadlineMs, startedAtMs, route}: Exchange): number {
	return Math.min(deadlineMs - startedAtMs, route.patienceMs ?? Number.POSITIVE_INFINITY);
}

/** Computes when a request that waits for an instance looks again. */
function computeLookMs(queueMs: number): number {
	return Math.min(longestWaitMs, Math.max(leastWaitMs, queueMs - freeQueueMs));
}

function leave(): ExchangeResult {
	return {outcome: Outcome.CallerGone, status: 0, reason: 'the caller left'};
}

function decideNow({options, exchange, service, progress}: Forwarding, {entry, placement}: InstanceChoice): WaitDecision {
	const question = {
		...placement,
		waitedMs: options.clock.readMonotonicMs() - exchange.startedAtMs,
		aheadMs: sumAhead(options, exchange, service),
		targetMs: exchange.route.targetMs,
		patienceMs: computePatienceMs(exchange),
	};
	const decision = decideWait(question);

	if (decision === WaitDecision.Refuse) {
		progress.story.push(describeRefusal(question, {instance: entry.held.record.id, waits: progress.waits}));
	}

	return decision;
}

/** Describes for the log why a request was not sent: what it would have met at the best instance, and here before its turn. */
function describeRefusal(question: WaitQuestion, {instance, waits}: {readonly instance: string; readonly waits: number}): Readonly<Record<string, unknown>> {
	const {expectedMs, queueMs, workMs, memoryWaitMs, aheadMs, waitedMs, patienceMs} = question;

	return {
		decision: WaitDecision.Refuse, best: instance, waits, expectedMs: Math.round(expectedMs), queueMs: Math.round(queueMs), workMs: Math.round(workMs),
		memoryWaitMs: Math.round(memoryWaitMs), aheadMs: Math.round(aheadMs), waitedMs: Math.round(waitedMs), patienceMs: Math.round(patienceMs),
	};
}

// Settles what one sending came to: the final answer, or another sending.
function settle(forwarding: Forwarding, place: InstanceChoice, result: AttemptResult): ExchangeResult | undefined {
	const {
		options, exchange, service, progress, stream, isRepeatable, controls,
	} = forwarding;

	if (result.end === AttemptEnd.NotRun) {
		progress.refused++;
		// What never left costs the instances nothing.
		const mayGoOn = progress.refused <= maxRefusedSendings && (result.isUnreachable || takeRepeat(options, service.name));

		return mayGoOn ? undefined : refuse(forwarding, `turned away: ${result.reason}`, spreadRetry(place.placement.expectedMs));
	}

	progress.sentCount++;
	const isFaulty = result.end === AttemptEnd.Incomplete || result.head!.status >= 500;

	if (isFaulty && isRepeatable && !controls.isExpired && progress.sentCount < exchange.route.maxAttempts && takeRepeat(options, service.name)) {
		return undefined;
	}

	if (result.end === AttemptEnd.Incomplete) {
		return controls.isExpired ? endFailed(forwarding, expiredStatus, 'the deadline passed') : endFailed(forwarding, brokenStatus, result.reason);
	}

	if (stream.hasStarted()) {
		stream.finish();
	} else {
		sendUpstreamAnswer(exchange.response, {head: result.head!, body: result.body, isLeaving: options.isLeaving()});
	}

	return isFaulty
		? {outcome: Outcome.Failed, status: result.head!.status, reason: 'the instance failed'}
		: {outcome: Outcome.Answered, status: result.head!.status, reason: ''};
}

function refuse(forwarding: Forwarding, reason: string, retryAfterMs: number): ExchangeResult {
	const {exchange, options, progress, stream} = forwarding;

	// Once it may have run somewhere, no status may say that it has not.
	if (progress.sentCount > 0 || stream.hasStarted()) {
		return endFailed(forwarding, brokenStatus, reason);
	}

	sendLocalResponse(exchange.response, {
		status: refusedStatus, message: reason, retryAfterMs, shouldClose: options.isLeaving(),
	});

	return {outcome: Outcome.Refused, status: refusedStatus, reason};
}

// A stream that has begun is broken off, so that what came does not look whole.
function endFailed({exchange, options}: Forwarding, status: number, reason: string): ExchangeResult {
	sendLocalResponse(exchange.response, {status, message: reason, shouldClose: options.isLeaving()});

	return {outcome: Outcome.Failed, status, reason};
}

// The other gateways have as many waiting; free instances are shared by all.
function sumAhead({waiting, book, countGateways}: ForwardOptions, exchange: Exchange, service: Service): number {
	let workMs = 0;

	for (const [one, {service: name, workMs: oneMs}] of waiting) {
		if (one === exchange) {
			break;
		}

		workMs += name === service.name ? oneMs : 0;
	}

	return workMs * countGateways() / Math.max(1, book.listOpen(service.name).length);
}

function spreadRetry(retryAfterMs: number): number {
	return spreadTime(Math.min(longestRetryAfterMs, Math.max(leastRetryAfterMs, retryAfterMs)));
}

// Callers that were told of the same moment do not come back in the same.
function spreadTime(timeMs: number): number {
	return timeMs + (Math.random() * retrySpreadMs);
}

// Each daemon holds a share of the budget; no message is needed to spend it.
function takeRepeat({budgets, createBudget}: ForwardOptions, service: string): boolean {
	const {budget, isAllowed} = withdrawRetry(budgets.get(service) ?? createBudget(service));
	budgets.set(service, budget);

	return isAllowed;
}
