import {
	RequestOutcome, getRefusalStatus, headerNames, parseEventId, parsePrompt, ExecutionStatus, RefusalCode, RefusalError, type EventId, type ParsedPrompt, type Refusal,
} from '@fescuestair/protocol';
import {
	findItem, ItemKind, RequestClass, type PresetItem,
} from '@fescuestair/state';
import {type Traits} from '@fescuestair/crashes';
import {hashPieces, estimateTokenCount, Priority} from '@fescuestair/routing';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {type MemberRecord} from '@fescuestair/membership';
import {AttemptError} from './attempt-error.js';
import {reportRunDecision, type RunDecisionReport} from './report-run-decision.js';
import {createLeftRun, resumeStream} from './resume-stream.js';
import {
	checkHeldBack, checkQuarantine, clearSuspicion, computeFingerprint, listTraits, reportCrash, requireNotHeldBack,
} from './suspect-prompts.js';
import {fetchPieces, type FetchInput} from './fetch-pieces.js';
import {planPrompt} from './plan-prompt.js';
import {reserveUpstream} from './upstream-permits.js';
import {
	createStreamWriter, createBufferedWriter, type AnswerWriter,
} from './answer-writer.js';
import {
	runPrompt, type LostAttempt, type PromptJob, type PromptSink,
} from './prompt-run.js';
import {
	createRefusal, recordRequestStart, recordRequestEnd, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 16_000_000;
const bodyTimeoutMs = 20_000;
const defaultTimeoutMs = 120_000;
const stoppingRetrySeconds = 1;
const clientClosedRequestStatus = 499;

/** How a stream that had started ended for its caller. */
enum StreamEnd {
	Complete = 'complete',
	/** Aborted, so that it does not look complete. */
	BrokenOff = 'broken_off',
	Left = 'left',
}

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function handleCompletion(services: EntryServices, caller: CallerRequest, isChat: boolean): Promise<void> {
	const {request, response} = caller;
	const parsed = parsePrompt(await readBody(request, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs}, {response}), isChat);
	const preset = await requirePreset(services);
	const promptTokens = estimateTokenCount(parsed.prompt);
	const requestClass = promptTokens > preset.longFromTokens ? RequestClass.Long : RequestClass.Short;
	recordRequestStart(services, caller, {
		requestClass, target: parsed.model, promptTokens, preset: preset.name,
	});
	const createWriter = parsed.isStreaming ? createStreamWriter : createBufferedWriter;
	const writer = createWriter({
		response, requestId: caller.requestId, model: parsed.model, isChat, promptTokens, createdSeconds: Math.floor(services.clock.readWallMs() / 1000),
		includesUsage: parsed.shouldIncludeUsage,
	});
	const labels = {organisation: caller.organisation, class: requestClass};

	try {
		const releaseAdmission = services.admit(caller.organisation, requestClass, scaleLimit(services, caller.organisation, preset, requestClass));

		try {
			await servePrompt(services, caller, {
				parsed, preset, requestClass, promptTokens, writer,
			});
		} finally {
			releaseAdmission();
		}
	} catch (error) {
		handleFailure(services, caller, {error, writer, labels});
	}
}

type ServeInput = {
	readonly parsed: ParsedPrompt;
	readonly preset: PresetItem;
	readonly requestClass: RequestClass;
	readonly promptTokens: number;
	readonly writer: AnswerWriter;
};

async function servePrompt(services: EntryServices, caller: CallerRequest, input: ServeInput): Promise<void> {
	const {parsed, preset, requestClass, promptTokens, writer} = input;
	const {follower, clock, metrics} = services;
	const model = findItem(follower.getState(), ItemKind.Model, parsed.model);

	if (model === undefined) {
		throw createRefusal(RefusalCode.UnknownModel, `there is no model ${parsed.model}`);
	}

	const fingerprint = computeFingerprint(caller.organisation, parsed);
	checkQuarantine(services, fingerprint);
	const abortController = watchDisconnect(services, caller);
	const lastEventId = readLastEventId(caller, parsed);
	const job: PromptJob = {
		requestId: lastEventId?.requestId ?? caller.requestId,
		organisation: caller.organisation,
		model: parsed.model,
		weightVersion: model.weightVersion,
		prompt: parsed.prompt,
		promptTokens,
		maxTokens: Math.min(parsed.maxTokens ?? model.maxTokens, model.maxTokens),
		priority: requestClass === RequestClass.Short ? Priority.Short : Priority.Long,
		deadlineMs: caller.startedMs + readTimeoutMs(caller),
		signal: abortController.signal,
	};
	const hashes = hashPrompt(job);
	const traits = listTraits(fingerprint, {model: job.model, hashes});
	// A resumed answer has begun already.
	const {isTrial} = lastEventId === undefined ? await checkHeldBack(services, traits) : {isTrial: false};
	const suspicion: CrashSuspicion = {isSuspect: false, isTrial};
	let tokens = 0;
	let firstTokenAtMs = clock.readMonotonicMs();
	let upstreamId = '';

	const sink: PromptSink = {
		write(event) {
			if (tokens === 0) {
				firstTokenAtMs = clock.readMonotonicMs();
				metrics.observe('first_token_ms', clock.readMonotonicMs() - caller.startedMs, {organisation: caller.organisation, class: requestClass});
			}

			tokens = event.offset;
			upstreamId = event.upstreamId;

			return writer.write(event);
		},
		waitForDrain: writer.waitForDrain,
	};

	await (lastEventId === undefined
		? runPrompt(createRunOptions(services, caller, {
			preset, fingerprint, suspicion, hashes, traits, isStreaming: parsed.isStreaming,
		}), job, sink)
		: resumeStream(services, job, {callId: caller.requestId, eventId: lastEventId, sink}));
	writer.finish();
	countStreamEnd(services, writer, {organisation: caller.organisation, class: requestClass, end: StreamEnd.Complete});
	services.depositSuccess();
	recordRequestEnd(services, caller.requestId, {
		outcome: RequestOutcome.Complete, ran: ExecutionStatus.Ran, status: 200, tokens,
	});

	requestExport(services, caller, {upstreamId, hashes});

	// When an answer that is resumed had begun is not known here.
	if (lastEventId === undefined) {
		void clearSuspicion(services, {
			fingerprint, isSuspect: suspicion.isSuspect, traits, firstTokenAtMs,
		});
	}
}

function requestExport({gossip, exporter}: EntryServices, {requestId}: CallerRequest, {upstreamId, hashes}: {upstreamId: string; hashes: readonly string[]}): void {
	const engine = gossip.getMembership().held.get(upstreamId)?.record;

	if (engine !== undefined) {
		exporter.submit({requestId, engine, hashes});
	}
}

/** What is known of crashes under the prompt; shared by its attempts. */
type CrashSuspicion = {
	/** Whether an upstream has crashed while it ran the prompt. */
	isSuspect: boolean;
	/** Whether the next attempt is a trial of what the prompt is held back for. */
	isTrial: boolean;
};

type RunInput = {
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly suspicion: CrashSuspicion;
	readonly hashes: readonly string[];
	readonly traits: Traits;
	readonly isStreaming: boolean;
};

function createRunOptions(services: EntryServices, caller: CallerRequest, {preset, fingerprint, suspicion, hashes, traits, isStreaming}: RunInput) {
	const attempts = {refusals: 0};

	return {
		agent: services.agent,
		clock: services.clock,
		loadTracker: services.loadTracker,
		standings: services.standings,
		async planAttempt(job: PromptJob, excludedIds: ReadonlySet<string>) {
			const plan = await planPrompt(services, {
				job, hashes, excludedIds, preset, fingerprint, isSuspect: suspicion.isSuspect,
			});

			// The prompt may have waited, or crashed an upstream before.
			if (!suspicion.isTrial) {
				requireNotHeldBack(services, traits);
			}

			return plan;
		},
		reserveEngine: async (job: PromptJob, record: MemberRecord) => reserveUpstream(services, record, {deadlineMs: job.deadlineMs, priority: job.priority, attempts}),
		reserveReading: async (job: PromptJob, record: MemberRecord) => reserveUpstream(services, record, {deadlineMs: job.deadlineMs, priority: job.priority, attempts: {refusals: 0}}),
		fetchPieces: async (input: FetchInput) => fetchPieces(services, input),
		hasRetry: services.hasRetry,
		withdrawRetry: services.withdrawRetry,
		async reportCrash(job: PromptJob, {record, sentAtMs, isAnswered}: LostAttempt) {
			suspicion.isSuspect = true;
			suspicion.isTrial = false;

			return reportCrash(services, caller, {
				fingerprint, upstreamId: record.id,
				unanswered: isAnswered ? undefined : {run: `${record.id} ${record.incarnation}`, traits, sentAgeMs: services.clock.readMonotonicMs() - sentAtMs},
			});
		},
		recordRequestEvent: services.recordRequestEvent,
		reportRunDecision(report: RunDecisionReport) {
			reportRunDecision(services, report);
		},
		keepLeftRun(job: PromptJob, {address}: MemberRecord) {
			if (isStreaming) {
				services.leftRuns.keep(createLeftRun(services, job, address), undefined);
			}

			return isStreaming;
		},
		keepsRuns: () => services.stopSignal.aborted,
	};
}

function hashPrompt({organisation, model, weightVersion, prompt}: PromptJob): readonly string[] {
	return hashPieces({
		organisation, model, adapter: '', weightVersion,
	}, prompt);
}

type FailureInput = {
	readonly error: unknown;
	readonly writer: AnswerWriter;
	readonly labels: {readonly organisation: string; readonly class: RequestClass};
};

function handleFailure(services: EntryServices, caller: CallerRequest, {error, writer, labels}: FailureInput): void {
	const {response, requestId, organisation} = caller;
	const refusal = describeFailure(services, error);
	const {offset: tokens = 0, upstreamId} = writer.getLastEvent() ?? {};

	if (response.destroyed) {
		countStreamEnd(services, writer, {...labels, end: StreamEnd.Left});
		recordRequestEnd(services, requestId, {
			outcome: RequestOutcome.Cancelled, ran: refusal.ran, status: clientClosedRequestStatus, tokens,
		});

		return;
	}

	services.metrics.count('refused', {...labels, code: refusal.code});
	recordRequestEnd(services, requestId, {
		outcome: RequestOutcome.Refused, ran: refusal.ran, code: refusal.code, status: getRefusalStatus(refusal), tokens,
	});

	if (!(error instanceof RefusalError || error instanceof AttemptError)) {
		services.log.error('request failed', {requestId}, error);
	}

	if (writer.hasStarted()) {
		countStreamEnd(services, writer, {...labels, end: StreamEnd.BrokenOff});
		services.log.warn('answer broken off', {
			requestId, organisation, code: refusal.code, reason: refusal.message, upstream: upstreamId, tokens,
		});
		writer.abort(refusal);
	} else {
		services.log.info('request refused', {requestId, organisation, code: refusal.code});
		sendRefusal(response, refusal, requestId);
	}
}

function countStreamEnd({metrics}: EntryServices, writer: AnswerWriter, labels: FailureInput['labels'] & {readonly end: StreamEnd}): void {
	if (writer.hasStarted()) {
		metrics.count('stream_ends', labels);
	}
}

// An attempt that ends a request was cancelled: by its caller, which gets no answer, or because this entry stops.
function describeFailure({stopSignal}: EntryServices, error: unknown): Refusal {
	const {ran, ...refusal} = toRefusal(error);

	if (!(error instanceof AttemptError)) {
		return {...refusal, ran};
	}

	return stopSignal.aborted
		? {
			code: RefusalCode.Stopping, message: 'this entry stops; go on at another one with the id of the last event', ran: error.ran, retryAfterSeconds: stoppingRetrySeconds,
		}
		: {...refusal, ran: error.ran};
}

// Aborts once the caller has left, or this entry stops.
function watchDisconnect({stopSignal}: EntryServices, {response}: CallerRequest): AbortController {
	const abortController = new AbortController();
	const abort = () => {
		abortController.abort();
	};

	stopSignal.addEventListener('abort', abort);
	response.once('close', () => {
		stopSignal.removeEventListener('abort', abort);
		abort();
	});

	return abortController;
}

function readTimeoutMs({request}: CallerRequest): number {
	const requestedMs = Number(request.headers[headerNames.timeoutMs] ?? defaultTimeoutMs);

	if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
		throw createRefusal(RefusalCode.BadRequest, `${headerNames.timeoutMs} must be a positive number of milliseconds`);
	}

	return Math.min(requestedMs, defaultTimeoutMs);
}

function readLastEventId({request}: CallerRequest, {isStreaming}: ParsedPrompt): EventId | undefined {
	const text = request.headers[headerNames.lastEventId];

	if (typeof text !== 'string' || text === '') {
		return undefined;
	}

	// A whole answer begins at its first token, and only the engine has those before the event.
	if (!isStreaming) {
		throw createRefusal(RefusalCode.BadRequest, 'only a streamed answer can be resumed: send Last-Event-ID with "stream": true, or ask anew without it');
	}

	try {
		return parseEventId(text);
	} catch {
		throw createRefusal(RefusalCode.BadRequest, 'Last-Event-ID is not one that this system gave out');
	}
}
