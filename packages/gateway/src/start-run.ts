import {type Buffer} from 'node:buffer';
import {HealthEvent} from '@fescuestair/routing';
import {
	BodyFraming, RunEvidence, RunFault, describeRunFault, findRunFault, type RunDecision, type RunResult,
} from '@fescuestair/streams';
import {CallKind, type Service} from '@fescuestair/traffic';
import {
	AttemptCompletion, startAttempt, type ResponseHead, type AttemptResult,
} from './attempt.js';
import {type CallerStream, type StreamRun} from './caller-stream.js';
import {checkRunOrigin, OriginProof} from './check-run-origin.js';
import {answerProofMs} from './crash-detector.js';
import {type InstanceChoice} from './choose-place.js';
import {type CacheInstructions} from './codecs.js';
import {
	describeAttempt, DispatchKind, type RecordedSilence, type StreamedPieces,
} from './describe-attempt.js';
import {cancelResponse, filterHeaders, type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {recordCachedParts, type PooledInstance, type InFlightRequest} from './pooled-instance.js';
import {describeRunOrigin} from './run-origin.js';
import {describeStreamRecord} from './take-up.js';
import {type RunWeights} from './start-deadlines.js';
import {classifyOutdatedAge, OutdatedAge} from './target-version-history.js';

/**
An instance counts as unresponsive after this multiple of the expected time to its first output, but not before the minimum for the kind of
call.
*/
const silenceFactor = 4;
const minStreamSilenceMs = 900;
const minPlainSilenceMs = 800;

/**
Requests that are not retryable only use connections that have been idle for less than this. Instances drop idle connections without notice,
after a few tenths of a second at the earliest.
*/
const maxIdleMs = 200;
const minFailureStatus = 300;

/** What a run needs besides the request: the chosen instance and the state of forwarding. */
export type RunInput = InstanceChoice & {
	readonly service: Service;
	readonly progress: ForwardingProgress;
	readonly stream: CallerStream;
	/** Whether the request may be executed more than once. */
	readonly isRetryable: boolean;
	/** Whether another run of the request is under way. */
	readonly isBeside: boolean;
	/** Called repeatedly while the instance is silent. */
	readonly onSilence: (run: ActiveRun) => void;
	/** Called when something of the run has been forwarded to the caller. */
	readonly onForward: (run: ActiveRun) => void;
};

/** A run of a request at an instance that has not ended yet. */
export type ActiveRun = {
	readonly choice: InstanceChoice;
	readonly ended: Promise<EndedRun>;
	readonly cancel: (evidence: RunEvidence) => void;
	readonly isSilent: () => boolean;
	/** Records for the log what was decided about the silence of the run; returns whether this is another decision than the one before. */
	readonly recordSilence: (decision: RunDecision) => boolean;
};

/** How a run ended, and what it means for the answer to the caller. */
export type EndedRun = {
	readonly result: AttemptResult;
	readonly run: RunResult;
	/** Why the run does not complete the answer. */
	readonly fault: RunFault | undefined;
	readonly streamRun: StreamRun;
};

/** Sends a request to the chosen instance, and records its load, health and cached parts in the gateway's view of the instances. */
export function startRun(options: ForwardOptions, exchange: Exchange, input: RunInput): ActiveRun {
	const {clock, crashes, instancePool, upstreamCodec, requestLimits} = options;
	const {
		entry, placement, cache, uncachedTokens, service, progress, stream, isRetryable,
	} = input;
	const {request, response, requestId, body, route, caller} = exchange;
	const {record} = entry.held;
	const startedAtMs = clock.readMonotonicMs();
	const isStreaming = route.kind === CallKind.Streaming;
	const resumeAfter = stream.getLastEventId();
	let firstPieceMs: number | undefined;
	let silence: RecordedSilence | undefined;
	let readingSinceMs: number | undefined = startedAtMs;
	const streamed: StreamedPieces = {
		pieces: 0, lastMs: 0, firstAtMs: undefined, isAnswerRecorded: false,
	};
	const loadBefore = entry.load;
	const newerTarget = caller.prompt && options.findNewerTarget(caller.prompt.model, cache?.weightVersion);
	const limitPerSecond = requestLimits.getPerSecond(record);
	const kind = stream.hasStarted() ? DispatchKind.Resume : (progress.triedInstanceIds.size > 0 ? DispatchKind.Repeat : DispatchKind.First);
	progress.triedInstanceIds.add(record.id);
	/** How it is known that the instance had not restarted; `undefined` before that is asked, which only the continuation of a stream needs. */
	let originProof: OriginProof | undefined;
	let originCheck: Promise<void> | undefined;
	let openedAtMs = startedAtMs;
	let hasEnded = false;
	let isCancelled = false;
	let endCheck: () => void = () => undefined;
	const streamRun = stream.startRun(resumeAfter, {
		isBeside: input.isBeside,
		getOrigin: () => originProof === OriginProof.None ? {service: record.service, softwareVersion: undefined} : describeRunOrigin(instancePool, record),
		onBegin() {
			const streamRecord = describeStreamRecord(exchange);

			if (streamRecord !== undefined) {
				options.unprovenOrigins.add({...streamRecord, record, openedAtMs});
			}
		},
		onForward() {
			input.onForward(activeRun);
		},
	});

	const inFlightRequest: InFlightRequest = {
		startedAtMs,
		uncachedTokens,
		workMs: cache === undefined ? 0 : uncachedTokens / instancePool.getPrefillTokensPerMs(service.name),
		expectedMs: placement.expectedMs,
		isRevisit: placement.isRevisit,
		heldTokens: caller.prompt === undefined ? 0 : caller.prompt.promptTokens + caller.prompt.maxOutputTokens,
		silenceTimeoutMs: Math.max(isStreaming ? minStreamSilenceMs : minPlainSilenceMs, silenceFactor * placement.expectedMs),
		getReadingSinceMs: () => readingSinceMs,
		onSilence() {
			input.onSilence(activeRun);
		},
	};

	const unregisterFunctions = listRunWeights(input, exchange).map(weights => options.startDeadlines.registerRun(weights, () => {
		attempt.cancel(RunEvidence.WeightsTooOld);
	}));

	const recordStart = () => {
		for (const unregister of unregisterFunctions.splice(0)) {
			unregister();
		}
	};

	const recordFirstPiece = () => {
		if (firstPieceMs === undefined) {
			firstPieceMs = clock.readMonotonicMs() - startedAtMs;
			instancePool.recordFirstPiece(entry, inFlightRequest);
		}
	};

	if (!isRetryable) {
		entry.agent.closeIdle(maxIdleMs);
	}

	const buffered = options.answerMemory.open(() => {
		if (hasEnded) {
			// Its caller does not take it.
			cancelResponse(response);
		} else {
			attempt.cancel(RunEvidence.OutOfMemory);
		}
	});

	const forwardData = (bytes: Buffer, head: ResponseHead): boolean => {
		const canContinue = streamRun.write(bytes, head, () => {
			readingSinceMs = clock.readMonotonicMs();
			attempt.resume();
		});
		readingSinceMs = canContinue ? readingSinceMs : undefined;
		buffered.resize(streamRun.countMemoryBytes());

		const eventFault = streamRun.getEventFault();

		if (eventFault !== undefined) {
			attempt.cancel(RunEvidence.InvalidAnswer, describeRunFault(eventFault));
		} else if (streamRun.isEventTooLarge()) {
			attempt.cancel(RunEvidence.InvalidAnswer, 'an event without end');
		}

		return canContinue;
	};

	// Nothing more is read from the instance meanwhile.
	const forwardOnceChecked = async (bytes: Buffer, head: ResponseHead) => {
		readingSinceMs = undefined;
		originProof = await checkRunOrigin(options, {record, openedAtMs, hasEnded: () => hasEnded});
		options.metrics.count('stream_origin_checks_total', {service: service.name, proof: originProof});

		if (isCancelled || (hasEnded && originProof === OriginProof.None)) {
			return;
		}

		readingSinceMs = clock.readMonotonicMs();

		if (forwardData(bytes, head)) {
			attempt.resume();
		}
	};

	const attempt = startAttempt({
		address: record.address,
		agent: entry.agent,
		codec: upstreamCodec,
		requestId,
		method: request.method!,
		target: request.url!,
		headers: encodeHeaders(options, exchange, {
			entry, cache, lastEventId: resumeAfter, nowMs: startedAtMs,
		}),
		body,
		onBuffer: buffered.resize,
		onBytes() {
			instancePool.recordActivity(entry);
		},
		onConnection(atMs) {
			openedAtMs = atMs;
		},
		onHead({answer, status}) {
			if (!isStreaming || status >= minFailureStatus) {
				recordStart();
			}

			if (answer.load !== undefined) {
				instancePool.recordLoad(entry, answer.load);
			}

			if (answer.isLeaving) {
				instancePool.recordLeaving(entry, record);
			}

			requestLimits.recordAnswer(record, {
				perSecond: answer.requestsPerSecond, hasRun: !answer.isNotRun, sentAtMs: startedAtMs, coldLeftMs: answer.coldLeftMs,
			});
			recordFirstPiece();
		},
		...(isStreaming && {
			onData(bytes: Buffer, head: ResponseHead) {
				const nowMs = clock.readMonotonicMs();
				streamed.pieces++;

				if (streamed.pieces === 1) {
					recordStart();
					recordBeginning(options, exchange, {...input, head, startedAtMs});
				}

				streamed.lastMs = nowMs - startedAtMs;
				streamed.firstAtMs ??= nowMs;

				if (!streamed.isAnswerRecorded && nowMs - streamed.firstAtMs >= answerProofMs) {
					streamed.isAnswerRecorded = true;
					crashes.recordAnswer(exchange, streamed.firstAtMs);
				}

				if (originProof === undefined && streamRun.isContinuation()) {
					originCheck = forwardOnceChecked(bytes, head);

					return false;
				}

				return forwardData(bytes, head);
			},
		}),
	});
	if (limitPerSecond !== undefined) {
		options.metrics.count('limited_dispatches_total', {service: service.name, kind});
	}

	instancePool.begin(entry, inFlightRequest);
	recordPartUse(options, exchange, cache);

	const finishRun = async (): Promise<EndedRun> => {
		const ended = await attempt.result;
		recordStart();

		hasEnded = ended.end !== AttemptCompletion.Complete;

		// The end of an answer, or of its connection, may have been read together with what is held back.
		if (originCheck !== undefined && !isCancelled) {
			await Promise.race([originCheck, new Promise<void>(resolve => {
				endCheck = resolve;
			})]);
		}

		hasEnded = true;
		streamRun.checkOrigin();
		const run = describeRun(ended, streamRun, {isStreaming});
		const fault = ended.end === AttemptCompletion.NotRun ? undefined : findRunFault(streamRun.getBegun(), run);
		const result = checkStreamEnd(ended, run, fault);
		const silentMs = instancePool.measureSilenceMs(entry, inFlightRequest);
		recordFirstPiece();
		instancePool.end(entry, inFlightRequest);

		// A buffered body takes its memory until its caller has got it.
		if (result.end === AttemptCompletion.Complete && !response.closed) {
			response.once('close', buffered.release);
		} else {
			buffered.release();
		}

		recordResult(options, exchange, {
			entry, result, fault, sentAtMs: startedAtMs, streamed, firstPieceMs,
		});

		if (result.end === AttemptCompletion.Complete && cache !== undefined && result.head!.status < minFailureStatus) {
			recordCachedParts(entry, caller.prompt!.parts, {salt: cache.salt, capacityTokens: service.engine!.cacheTokens});
		}

		progress.story.push(describeAttempt({
			...input, result, fault, loadBefore, limitPerSecond, kind, startedAtMs, firstPieceMs, streamed, resumeAfter, silence, silentMs, runIds: streamRun.getIds(), originProof, newerTarget,
			nowMs: clock.readMonotonicMs(),
		}));

		if (result.cancelledFor !== undefined) {
			options.metrics.count('runs_cancelled_total', {service: service.name, evidence: result.cancelledFor});
		}

		if (fault !== undefined) {
			options.metrics.count('run_faults_total', {service: service.name, fault, kind});
		}

		return {
			result, run, fault, streamRun,
		};
	};

	const activeRun: ActiveRun = {
		choice: input,
		ended: finishRun(),
		cancel(evidence) {
			hasEnded = true;
			isCancelled = true;
			attempt.cancel(evidence);
			endCheck();
		},
		isSilent: () => instancePool.isSilent(entry, inFlightRequest),
		recordSilence({action, obstacle}) {
			if (silence?.action === action && silence.obstacle === obstacle) {
				return false;
			}

			silence = {action, obstacle, silentMs: instancePool.measureSilenceMs(entry, inFlightRequest)};

			return true;
		},
	};

	return activeRun;
}

// A request that does not say which model it is for may begin on any of those that its engine names.
function listRunWeights({entry, service}: RunInput, {caller}: Exchange): readonly RunWeights[] {
	if (service.engine === undefined) {
		return [];
	}

	const {models} = entry.held.record;

	return caller.prompt === undefined
		? models.map(({name, version}) => ({model: name, version}))
		: [{model: caller.prompt.model, version: models.find(({name}) => name === caller.prompt!.model)?.version}];
}

type Beginning = Pick<RunInput, 'entry' | 'cache' | 'service'> & {readonly head: ResponseHead; readonly startedAtMs: number};

// Records that a run has begun on older weights than the target, as the instance states them, or as it was believed to have them.
function recordBeginning(options: ForwardOptions, {requestId, caller}: Exchange, {entry, cache, service, head, startedAtMs}: Beginning): void {
	const believedVersion = cache?.weightVersion;
	const servedVersion = head.answer.weightVersion ?? believedVersion;
	const newer = caller.prompt && options.findNewerTarget(caller.prompt.model, servedVersion);

	if (newer === undefined) {
		return;
	}

	const age = classifyOutdatedAge(newer.ageMs, options.oldWeightsMs);
	options.metrics.count('runs_on_older_weights_total', {service: service.name, age});

	if (age === OutdatedAge.PastLimit) {
		options.log.info('a run began on weights that are too old', {
			requestId, instance: entry.held.record.id, model: caller.prompt!.model, servedVersion, believedVersion, targetVersion: newer.version, targetAgeMs: Math.round(newer.ageMs),
			toldBy: newer.toldBy, waitedMs: Math.round(options.clock.readMonotonicMs() - startedAtMs),
		});
	}
}

function describeRun({end, head}: AttemptResult, streamRun: StreamRun, {isStreaming}: {readonly isStreaming: boolean}): RunResult {
	return {
		isComplete: end === AttemptCompletion.Complete,
		status: head?.status,
		framing: head?.framing,
		eventFault: streamRun.getEventFault(),
		stream: isStreaming && head !== undefined && head.status < minFailureStatus ? streamRun.getResult() : undefined,
	};
}

// An instance that crashes may close its connection in the middle of a stream. Without a length or chunks, that looks like the end of the answer.
function checkStreamEnd(result: AttemptResult, {framing}: RunResult, fault: RunFault | undefined): AttemptResult {
	const isUnframed = framing === BodyFraming.Close;
	const isCutShort = result.end === AttemptCompletion.Complete && (fault === RunFault.InsideEvent || (fault === RunFault.NoEvent && isUnframed));

	return isCutShort
		? {
			...result, end: AttemptCompletion.Incomplete, reason: describeRunFault(fault), isConnectionLost: isUnframed,
		}
		: result;
}

type ResultInput = {
	readonly entry: PooledInstance;
	readonly result: AttemptResult;
	readonly fault: RunFault | undefined;
	readonly sentAtMs: number;
	readonly streamed: StreamedPieces;
	readonly firstPieceMs: number | undefined;
};

// An instance that rejects a request for lack of capacity is not at fault, and an attempt that this gateway cancelled says nothing about the health of
// the instance, unless it was for what the instance sent.
function recordResult({instancePool, crashes, requestLimits}: ForwardOptions, exchange: Exchange, {entry, result, fault, sentAtMs, streamed, firstPieceMs}: ResultInput): void {
	if (!result.isSent && result.cancelledFor !== undefined) {
		return;
	}

	if (result.isConnectionLost) {
		crashes.recordBrokenConnection(exchange, entry, {sentAtMs, pieces: streamed.pieces, firstPieceAtMs: streamed.firstAtMs});
	} else if (result.isUnreachable) {
		const isEnded = result.reason === 'ECONNREFUSED';
		crashes.recordUnreachable(entry, {isEnded});

		if (isEnded) {
			requestLimits.recordEnd(entry.held.record);
		}
	} else if (result.end === AttemptCompletion.Complete) {
		crashes.recordCompletion(entry, sentAtMs);

		if (result.head!.status < getFailureStatus(exchange) && !streamed.isAnswerRecorded) {
			crashes.recordAnswer(exchange, streamed.firstAtMs ?? sentAtMs + (firstPieceMs ?? 0));
		}
	}

	const askedRestMs = result.head?.answer.askedRestMs;

	if ((result.end === AttemptCompletion.NotRun && !result.isUnreachable) || askedRestMs !== undefined) {
		instancePool.recordRefusal(entry, askedRestMs);

		return;
	}

	const event = classifyRun(result, fault);

	if (event !== undefined) {
		instancePool.recordHealthEvent(entry, event);
	}
}

/**
Classifies what the end of a run that was not refused says about the health of its instance; `undefined` where it says nothing. A run that could not be part of the
answer that it was to continue is a failure, whatever its status.

@example
```
classifyRun(result, RunFault.NoEvent); //=> HealthEvent.Failed
```
*/
export function classifyRun({end, isUnreachable, cancelledFor}: Pick<AttemptResult, 'end' | 'isUnreachable' | 'cancelledFor'>, fault: RunFault | undefined): HealthEvent | undefined {
	if (isUnreachable) {
		return HealthEvent.Unreachable;
	}

	if (end === AttemptCompletion.Complete) {
		return fault === undefined ? HealthEvent.Answered : HealthEvent.Failed;
	}

	const isOwnFailure = cancelledFor === undefined || cancelledFor === RunEvidence.InvalidAnswer;

	return end === AttemptCompletion.Incomplete && isOwnFailure ? HealthEvent.Failed : undefined;
}

// A plain call that is rejected has run; a prompt that is rejected was not answered.
function getFailureStatus({caller}: Exchange): number {
	return caller.prompt === undefined ? 500 : 300;
}

type HeaderInput = Pick<RunInput, 'entry' | 'cache'> & {readonly lastEventId: string | undefined; readonly nowMs: number};

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

function recordPartUse({parts}: ForwardOptions, {caller}: Exchange, cache: CacheInstructions | undefined): void {
	if (cache === undefined) {
		return;
	}

	for (const [position, part] of caller.prompt!.parts.entries()) {
		parts.recordUse({salt: cache.salt, id: part.id});

		const storeAddress = cache.saveAddresses[position];

		if (storeAddress !== undefined) {
			parts.recordSave({...part, salt: cache.salt, storeAddress});
		}
	}
}
