import {type Buffer} from 'node:buffer';
import {HealthEvent, type InstanceLoad} from '@fescuestair/routing';
import {CallKind, type Service} from '@fescuestair/traffic';
import {
	AttemptEnd, startAttempt, type Attempt, type AttemptHead, type AttemptResult,
} from './attempt.js';
import {type CallerStream} from './caller-stream.js';
import {type InstanceChoice} from './choose-place.js';
import {type CacheOrder} from './codecs.js';
import {filterHeaders, type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {recordCached, type InstanceEntry, type Visit} from './instance-entry.js';

/** A sound instance says something within this many times what is expected, and never less than the floor. */
const silenceFactor = 4;
const silenceFloorMs = 900;
const plainSilenceFloorMs = 800;

/** Requests that may not be repeated use connections that rested no longer: instances forget idle ones after a few tenths of a second at the soonest. */
const longestRestMs = 200;

/** A request on its way to a chosen instance. */
export type VisitInput = InstanceChoice & {
	readonly service: Service;
	readonly progress: ForwardingProgress;
	readonly stream: CallerStream;
	readonly isRepeatable: boolean;
	readonly controls: {attempt: Attempt | undefined};
};

/** Sends a request to the instance chosen, and keeps the book of instances meanwhile. */
export async function sendVisit(options: ForwardOptions, exchange: Exchange, input: VisitInput): Promise<AttemptResult> {
	const {clock, book, upstreamCodec} = options;
	const {
		entry, placement, cache, uncachedTokens, service, progress, stream, isRepeatable, controls,
	} = input;
	const {request, requestId, body, route, caller} = exchange;
	const {record} = entry.held;
	const startedAtMs = clock.readMonotonicMs();
	const isStreaming = route.kind === CallKind.Streaming;
	progress.triedInstanceIds.add(record.id);
	let firstPieceMs: number | undefined;
	const passed = {pieces: 0, lastMs: 0};
	const loadBefore = entry.load;

	const one: Visit = {
		startedAtMs,
		uncachedTokens,
		workMs: cache === undefined ? 0 : uncachedTokens / book.getPrefillTokensPerMs(service.name),
		expectedMs: placement.expectedMs,
		heldTokens: caller.prompt === undefined ? 0 : caller.prompt.promptTokens + caller.prompt.maxOutputTokens,
		silenceMs: Math.max(isStreaming ? silenceFloorMs : plainSilenceFloorMs, silenceFactor * placement.expectedMs),
		onSilent() {
			// What may not be sent anywhere else is still awaited: silence is no answer.
			if (isRepeatable && progress.sentCount + 1 < route.maxAttempts) {
				attempt.cancel('the instance fell silent');
			}
		},
	};

	const noteFirstPiece = () => {
		if (firstPieceMs === undefined) {
			firstPieceMs = clock.readMonotonicMs() - startedAtMs;
			book.noteFirstPiece(entry, one);
		}
	};

	if (!isRepeatable) {
		entry.agent.closeRested(longestRestMs);
	}

	const attempt = startAttempt({
		address: record.address,
		agent: entry.agent,
		codec: upstreamCodec,
		requestId,
		method: request.method!,
		target: request.url!,
		headers: encodeHeaders(options, exchange, {
			entry, cache, lastEventId: stream.getLastEventId(), nowMs: startedAtMs,
		}),
		body,
		onBytes() {
			book.noteBytes(entry);
		},
		onHead({answer}) {
			if (answer.load !== undefined) {
				entry.load = {...entry.load, report: {...answer.load, atMs: clock.readMonotonicMs(), ownAtReport: entry.load.own}};
			}

			if (answer.isLeaving) {
				book.noteLeaving(entry, record);
			}

			noteFirstPiece();
		},
		...(isStreaming && {
			onData(bytes: Buffer, head: AttemptHead) {
				passed.pieces++;
				passed.lastMs = clock.readMonotonicMs() - startedAtMs;

				const canGoOn = stream.write(bytes, head, () => {
					attempt.resume();
				});

				if (stream.isEventTooLarge()) {
					attempt.cancel('an event without end');
				}

				return canGoOn;
			},
		}),
	});
	controls.attempt = attempt;
	book.begin(entry, one);

	recordParts(options, exchange, cache);
	const result = await attempt.result;
	noteFirstPiece();
	book.end(entry, one);
	recordResult(options, exchange, {entry, result, sentAtMs: startedAtMs});

	if (result.end === AttemptEnd.Complete && cache !== undefined && result.head!.status < 300) {
		recordCached(entry, caller.prompt!.parts, {salt: cache.salt, capacityTokens: service.engine!.cacheTokens});
	}

	if (result.end !== AttemptEnd.Complete) {
		stream.discardPartialEvent();
	}

	progress.story.push(describeVisit({
		...input, result, loadBefore, startedAtMs, firstPieceMs, passed, nowMs: clock.readMonotonicMs(),
	}));

	return result;
}

type ResultInput = {readonly entry: InstanceEntry; readonly result: AttemptResult; readonly sentAtMs: number};

// A refusal for want of room is no fault of the instance; a cancel from here says nothing of it.
function recordResult({book, crashes}: ForwardOptions, exchange: Exchange, {entry, result, sentAtMs}: ResultInput): void {
	if (result.isConnectionLost) {
		crashes.noteBroken(exchange, entry);
	} else if (result.isUnreachable) {
		crashes.noteUnreachable(entry);
	} else if (result.end === AttemptEnd.Complete) {
		crashes.noteFinished(exchange, entry, sentAtMs);
	}

	const askedRestMs = result.head?.answer.askedRestMs;

	if ((result.end === AttemptEnd.NotRun && !result.isUnreachable) || askedRestMs !== undefined) {
		book.noteRefused(entry, askedRestMs);
	} else if (result.isUnreachable) {
		book.judge(entry, HealthEvent.Unreachable);
	} else if (result.end === AttemptEnd.Complete) {
		book.judge(entry, result.head!.status >= 500 ? HealthEvent.Failed : HealthEvent.Answered);
	} else if (result.end === AttemptEnd.Incomplete && result.reason !== 'the caller left' && result.reason !== 'the deadline passed') {
		book.judge(entry, HealthEvent.Failed);
	}
}

type HeaderInput = Pick<VisitInput, 'entry' | 'cache'> & {readonly lastEventId: string | undefined; readonly nowMs: number};

function encodeHeaders({callerCodec, upstreamCodec}: ForwardOptions, exchange: Exchange, {entry, cache, lastEventId, nowMs}: HeaderInput): string[] {
	const {request, body, route, organisation} = exchange;
	const hasBody = body.length > 0 || request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;

	return [
		...filterHeaders(request.rawHeaders, name => name !== 'content-length' && name !== 'expect' && callerCodec.isForwarded(name)),
		...(hasBody ? ['Content-Length', String(body.length)] : []),
		...upstreamCodec.encodeDispatch({
			timeLeftMs: Math.max(1, Math.floor(exchange.deadlineMs - nowMs)),
			instanceId: entry.held.record.id,
			organisation: organisation?.name,
			priority: organisation?.priority ?? route.priority,
			cache,
			lastEventId,
		}).flat(),
	];
}

function recordParts({parts}: ForwardOptions, {caller}: Exchange, cache: CacheOrder | undefined): void {
	if (cache === undefined) {
		return;
	}

	for (const [position, part] of caller.prompt!.parts.entries()) {
		parts.noteUse({salt: cache.salt, id: part.id});

		const storeAddress = cache.saveTo[position];

		if (storeAddress !== undefined) {
			parts.noteSave({...part, salt: cache.salt, storeAddress});
		}
	}
}

type VisitStory = VisitInput & {
	readonly result: AttemptResult;
	readonly loadBefore: InstanceLoad;
	readonly startedAtMs: number;
	readonly firstPieceMs: number | undefined;
	/** Pieces of a stream as they came, and when the last did. */
	readonly passed: {readonly pieces: number; readonly lastMs: number};
	readonly nowMs: number;
};

/** Describes a visit for the log: what was known when the instance was chosen, and what came of it. */
function describeVisit(input: VisitStory): Readonly<Record<string, unknown>> {
	const {
		entry, placement, cache, uncachedTokens, progress, result, loadBefore, startedAtMs, firstPieceMs, passed, nowMs,
	} = input;
	const {report} = loadBefore;

	return {
		instance: entry.held.record.id,
		end: result.end,
		...(result.reason !== '' && {reason: result.reason}),
		...(result.head !== undefined && {status: result.head.status}),
		...(progress.waits > 0 && {waits: progress.waits}),
		expectedMs: Math.round(placement.expectedMs),
		...(firstPieceMs !== undefined && {firstPieceMs: Math.round(firstPieceMs)}),
		...(passed.pieces > 0 && {pieces: passed.pieces, lastPieceMs: Math.round(passed.lastMs)}),
		tookMs: Math.round(nowMs - startedAtMs),
		own: loadBefore.own,
		peers: loadBefore.peers.requests,
		...(result.connectMs !== undefined && {connectMs: Math.round(result.connectMs)}),
		...(report !== undefined && {reported: `${report.running},${report.waiting}`, reportAgeMs: Math.round(startedAtMs - report.atMs)}),
		...(cache !== undefined && {
			queueMs: Math.round(placement.queueMs),
			weightVersion: cache.weightVersion,
			uncachedTokens,
			fetched: cache.fetchFrom.filter(address => address !== undefined).length,
			saved: cache.saveTo.filter(address => address !== undefined).length,
		}),
	};
}
