import {createHash} from 'node:crypto';
import {
	ContinuationObstacle, describeContinuationObstacle, findContinuationObstacle, maxOriginNameLength, type StreamOrigin,
} from '@fescuestair/streams';
import {WaitDecision} from '@fescuestair/routing';
import {CallKind} from '@fescuestair/traffic';
import {type Exchange} from './exchange.js';
import {type ForwardOptions} from './forward-options.js';
import {type ForwardingContext} from './forwarding-context.js';
import {OriginSource} from './stream-origins.js';

/** A stream that its caller takes up again, and what is known of its beginning. */
export type TakeUp = {
	readonly origin: StreamOrigin | undefined;
	readonly source: OriginSource;
	/** How long ago the stream began. */
	readonly ageMs: number | undefined;
	readonly lookUpMs: number;
	/** Number of coordinators that were asked. */
	readonly asked: number;
	/** Whether a coordinator may know more that did not answer, or that is not known yet. */
	readonly isIncomplete: boolean;
};

export type StreamRecord = {
	readonly streamId: string;
	/** Until when the caller may take the stream up again, on the monotonic clock. */
	readonly deadlineMs: number;
};

/** Callers that state no time may return for so long. */
const defaultReturnMs = 30_000;
/** What began a stream is kept for so much longer than its caller waits, since its last attempt may be on its way. */
const returnMarginMs = 2000;

/** Why a take-up is refused, and whether the caller may come back for the rest of the stream. */
export type TakeUpRefusal = {readonly obstacle: ContinuationObstacle; readonly reason: string; readonly canReturn: boolean};

/**
Formats the id under which the origin of a stream is recorded. Callers choose the ids of their attempts: those of one organisation say nothing of another's streams, and long ones
give way to their digests, since records are kept and sent.

@example
```
formatStreamId({organisation}, 'r-1'); //=> 'workshop r-1'
```
*/
export function formatStreamId({organisation}: Pick<Exchange, 'organisation'>, attemptId: string): string {
	const streamId = `${organisation?.name ?? ''} ${attemptId}`;

	return streamId.length > maxOriginNameLength ? createHash('sha256').update(streamId).digest('hex') : streamId;
}

/** Describes how long, and under which id, it is kept what began the stream of a request; `undefined` where the stream can't be taken up again. */
export function describeStreamRecord(exchange: Exchange): StreamRecord | undefined {
	const {route, caller, requestId, startedAtMs} = exchange;

	return route.isResumable
		? {streamId: formatStreamId(exchange, caller.resumedRequestId ?? requestId), deadlineMs: startedAtMs + (caller.timeLeftMs ?? defaultReturnMs) + returnMarginMs}
		: undefined;
}

/** Finds out what began a stream that its caller takes up again; `undefined` where the request begins a stream of its own. */
export async function findTakeUp({origins, clock}: ForwardOptions, exchange: Exchange): Promise<TakeUp | undefined> {
	const {caller, route} = exchange;

	if (route.kind !== CallKind.Streaming || (caller.lastEventId === undefined && caller.resumedRequestId === undefined)) {
		return undefined;
	}

	const startedAtMs = clock.readMonotonicMs();

	// Without the id of the attempt that brought the first event, nobody can be asked.
	if (caller.resumedRequestId === undefined) {
		return {
			origin: undefined, source: OriginSource.None, ageMs: undefined, lookUpMs: 0, asked: 0, isIncomplete: false,
		};
	}

	const {recorded, source, asked, isIncomplete} = await origins.find(formatStreamId(exchange, caller.resumedRequestId));
	const nowMs = clock.readMonotonicMs();

	return {
		origin: recorded?.origin,
		source,
		ageMs: recorded === undefined ? undefined : nowMs - recorded.begunAtMs,
		lookUpMs: nowMs - startedAtMs,
		asked,
		isIncomplete,
	};
}

/**
Finds out why the rest of a stream can't be served; `undefined` where it can. `isServing` tells whether an instance of the software version that began it serves.

@example
```
findTakeUpRefusal({origin: undefined, isIncomplete: false}, {service: 'app', isServing: false})?.obstacle; //=> ContinuationObstacle.UnknownOrigin
```
*/
export function findTakeUpRefusal({origin, isIncomplete}: Pick<TakeUp, 'origin' | 'isIncomplete'>, {service, isServing}: {
	readonly service: string; readonly isServing: boolean;
}): TakeUpRefusal | undefined {
	const obstacle = findContinuationObstacle(origin, {service, softwareVersion: origin?.softwareVersion})
		?? (isServing ? undefined : ContinuationObstacle.OtherVersion);

	return obstacle && {obstacle, reason: describeContinuationObstacle(obstacle), canReturn: isIncomplete};
}

/**
Finds out why the rest of a stream can't be served by this request; `undefined` where it can, or where the request takes none up.

@example
```
const refusal = checkTakeUp(context);
```
*/
export function checkTakeUp(context: ForwardingContext): TakeUpRefusal | undefined {
	const {
		options, service, takeUp, isAllowedZone,
	} = context;

	return takeUp && findTakeUpRefusal(takeUp, {
		service: service.name,
		// Where no instance of the service serves at all, as in a cut, that says nothing of the version: such a request is treated like a new one.
		isServing: hasSuccessor(context) || !options.instancePool.hasServing(service.name, ({held}) => isAllowedZone(held.record.availabilityZone)),
	});
}

/** Whether an instance serves that may run the request, or continue its stream if that has begun. */
export function hasSuccessor({options, service, progress}: ForwardingContext): boolean {
	return options.instancePool.hasServing(service.name, ({held}) => progress.isEligible(held.record));
}

/** Records for the log and the metrics that a stream is taken up again, and whether it may go on. */
export function recordTakeUp(context: ForwardingContext): void {
	const {
		options, exchange, service, takeUp, progress,
	} = context;

	if (takeUp === undefined) {
		return;
	}

	const {
		origin, source, ageMs, lookUpMs, asked, isIncomplete,
	} = takeUp;
	const refusal = checkTakeUp(context);
	options.metrics.count('stream_take_ups_total', {service: service.name, source, obstacle: refusal?.obstacle ?? 'none'});
	progress.story.push({
		takeUp: {
			...(origin !== undefined && {service: origin.service, softwareVersion: origin.softwareVersion ?? 'unknown'}),
			resumes: exchange.caller.resumedRequestId, source, lookUpMs: Math.round(lookUpMs), asked, isIncomplete,
			...(ageMs !== undefined && {ageMs: Math.round(ageMs)}),
		},
		...(refusal !== undefined && {decision: WaitDecision.Refuse, obstacle: refusal.obstacle}),
	});
}
