import {
	AttemptEnd, FateOutcome, getRefusalStatus, headerNames, parseEventId, parsePrompt, Ran, RefusalCode, RefusalError, type EventId, type ParsedPrompt,
} from '@fescuestair/protocol';
import {
	findItem, ItemKind, RequestClass, type PresetItem,
} from '@fescuestair/state';
import {computePieces, countTokens, Priority} from '@fescuestair/routing';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {AttemptError} from './attempt-error.js';
import {resume} from './engine-client.js';
import {
	checkQuarantine, clearSuspicion, computeFingerprint, reportCrash,
} from './suspects.js';
import {fetchPieces, type FetchInput} from './fetch-pieces.js';
import {planPrompt} from './plan-prompt.js';
import {
	createStreamWriter, createWholeWriter, type AnswerWriter,
} from './answer-writer.js';
import {
	runPrompt, type PromptJob, type PromptSink,
} from './prompt-run.js';
import {
	createRefusal, recordBegun, recordFinished, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 16_000_000;
const bodyTimeoutMs = 20_000;
const defaultTimeoutMs = 120_000;

/** Serves `POST /v1/chat/completions` and `POST /v1/completions`. */
export async function handleCompletion(services: EntryServices, caller: CallerRequest, isChat: boolean): Promise<void> {
	const {request, response} = caller;
	const parsed = parsePrompt(await readBody(request, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs}), isChat);
	const preset = await requirePreset(services);
	const promptTokens = countTokens(parsed.prompt);
	const requestClass = promptTokens > preset.longFromTokens ? RequestClass.Long : RequestClass.Short;
	recordBegun(services, caller, {
		requestClass, target: parsed.model, promptTokens, preset: preset.name,
	});
	const create = parsed.isStream ? createStreamWriter : createWholeWriter;
	const writer = create({
		response, requestId: caller.requestId, model: parsed.model, isChat, promptTokens, createdSeconds: Math.floor(services.clock.readWallMs() / 1000),
		includesUsage: parsed.includesUsage,
	});
	const tags = {organisation: caller.organisation, class: requestClass};

	try {
		const finish = services.admit(caller.organisation, requestClass, scaleLimit(services, caller.organisation, preset, requestClass));

		try {
			await servePrompt(services, caller, {
				parsed, preset, requestClass, promptTokens, writer,
			});
		} finally {
			finish();
		}
	} catch (error) {
		endBadly(services, caller, {error, writer});
		services.metrics.count('refused', {...tags, code: toRefusal(error).code});
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
	const abort = watchCaller(caller);
	const lastEventId = readLastEventId(caller);
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
		signal: abort.signal,
	};
	const suspicion: Suspect = {isSuspect: false};
	let tokens = 0;
	let upstreamId = '';

	const sink: PromptSink = {
		take(event) {
			if (tokens === 0) {
				metrics.observe('first_token_ms', clock.readMonotonicMs() - caller.startedMs, {organisation: caller.organisation, class: requestClass});
			}

			tokens = event.offset;
			upstreamId = event.upstreamId;

			return writer.write(event);
		},
		waitForRoom: writer.waitForRoom,
	};

	const hashes = hashPrompt(job);
	await (lastEventId === undefined
		? runPrompt(createRunOptions(services, caller, {
			preset, fingerprint, suspicion, hashes,
		}), job, sink)
		: resumeAnswer(services, job, {eventId: lastEventId, sink}));
	writer.finish();
	services.depositSuccess();
	recordFinished(services, caller.requestId, {
		outcome: FateOutcome.Complete, ran: Ran.Ran, status: 200, tokens,
	});

	requestExport(services, caller, {upstreamId, hashes});

	if (suspicion.isSuspect) {
		void clearSuspicion(services, fingerprint);
	}
}

function requestExport({gossip, exporter}: EntryServices, {requestId}: CallerRequest, {upstreamId, hashes}: {upstreamId: string; hashes: readonly string[]}): void {
	const engine = gossip.getMembership().held.get(upstreamId)?.record;

	if (engine !== undefined) {
		exporter.consider({requestId, engine, hashes});
	}
}

/** Whether an upstream has crashed under a prompt. */
type Suspect = {isSuspect: boolean};

type RunInput = {
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly suspicion: Suspect;
	readonly hashes: readonly string[];
};

function createRunOptions(services: EntryServices, caller: CallerRequest, {preset, fingerprint, suspicion, hashes}: RunInput) {
	return {
		agent: services.agent,
		clock: services.clock,
		table: services.table,
		standings: services.standings,
		plan: async (job: PromptJob, excludedIds: ReadonlySet<string>) => planPrompt(services, {
			job, hashes, excludedIds, preset, fingerprint, isSuspect: suspicion.isSuspect,
		}),
		fetch: async (input: FetchInput) => fetchPieces(services, input),
		mayRetry: services.withdrawRetry,
		async onCrash(job: PromptJob, upstreamId: string) {
			suspicion.isSuspect = true;

			return reportCrash(services, caller, {fingerprint, upstreamId});
		},
		recordFate: services.recordFate,
	};
}

function hashPrompt({organisation, model, weightVersion, prompt}: PromptJob): readonly string[] {
	return computePieces({
		organisation, model, adapter: '', weightVersion,
	}, prompt);
}

type ResumeAnswerInput = {readonly eventId: EventId; readonly sink: PromptSink};

async function resumeAnswer(services: EntryServices, job: PromptJob, {eventId, sink}: ResumeAnswerInput): Promise<void> {
	const {upstreamId, offset, attempt} = eventId;
	const record = services.gossip.getMembership().held.get(upstreamId)?.record;
	const gone = new RefusalError({
		code: RefusalCode.ResumeGone, message: 'the answer is no longer kept; ask anew without Last-Event-ID', ran: Ran.Ran,
	});

	if (record === undefined) {
		throw gone;
	}

	try {
		await resume({agent: services.agent, address: record.address, signal: job.signal}, {
			requestId: job.requestId, organisation: job.organisation, fromOffset: offset,
		}, {take: event => sink.take({...event, upstreamId, attempt}), waitForRoom: sink.waitForRoom});
	} catch (error) {
		throw error instanceof AttemptError && error.end !== AttemptEnd.Cancelled ? gone : error;
	}
}

function endBadly(services: EntryServices, caller: CallerRequest, {error, writer}: {error: unknown; writer: AnswerWriter}): void {
	const {response, requestId, organisation} = caller;

	if (response.destroyed) {
		recordFinished(services, requestId, {outcome: FateOutcome.Cancelled, ran: Ran.Ran, status: 499});

		return;
	}

	const refusal = toRefusal(error);
	recordFinished(services, requestId, {
		outcome: FateOutcome.Refused, ran: refusal.ran, code: refusal.code, status: getRefusalStatus(refusal),
	});
	services.log.info('request refused', {requestId, organisation, code: refusal.code});

	if (!(error instanceof RefusalError)) {
		services.log.error('request failed', {requestId}, error);
	}

	if (writer.hasBegun()) {
		writer.abort(refusal);
	} else {
		sendRefusal(response, refusal, requestId);
	}
}

function watchCaller({response}: CallerRequest): AbortController {
	const abort = new AbortController();
	response.once('close', () => {
		abort.abort();
	});

	return abort;
}

function readTimeoutMs({request}: CallerRequest): number {
	const given = Number(request.headers[headerNames.timeoutMs] ?? defaultTimeoutMs);

	if (!Number.isFinite(given) || given <= 0) {
		throw createRefusal(RefusalCode.BadRequest, `${headerNames.timeoutMs} must be a positive number of milliseconds`);
	}

	return Math.min(given, defaultTimeoutMs);
}

function readLastEventId({request}: CallerRequest): EventId | undefined {
	const text = request.headers[headerNames.lastEventId];

	if (typeof text !== 'string' || text === '') {
		return undefined;
	}

	try {
		return parseEventId(text);
	} catch {
		throw createRefusal(RefusalCode.BadRequest, 'Last-Event-ID is not one that this system gave out');
	}
}
