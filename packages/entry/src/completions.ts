import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	AttemptEnd, FateEventKind, FateOutcome, getRefusalStatus, headerNames, parseEventId, parsePrompt, Ran, RefusalCode, RefusalError, type Candidate, type EventId,
	type ParsedPrompt,
} from '@fescuestair/protocol';
import {
	AnswerKind, CommandKind, findItem, isQuarantined, ItemKind, RequestClass, type Answer, type PresetItem, type Request,
} from '@fescuestair/state';
import {
	chooseEngine, computePieces, countTokens, Priority, type EngineCandidate,
} from '@fescuestair/routing';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {AttemptError, resume} from './engine-client.js';
import {listEngines} from './engine-table.js';
import {
	createStreamWriter, createWholeWriter, type AnswerWriter,
} from './answer-writer.js';
import {
	runPrompt, type Plan, type PromptEvent, type PromptJob, type TakePromptEvent,
} from './prompt-run.js';
import {
	createRefusal, recordBegun, recordFinished, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 16_000_000;
const bodyTimeoutMs = 20_000;
const defaultTimeoutMs = 120_000;
const suspicionKeepMs = 86_400_000;
const reportTimeoutMs = 2000;
const bytesPerPiece = 32_000_000;
const holdPollMs = 50;
const msPerSecond = 1000;
const overloadRetrySeconds = 5;
/** Candidates that a trace keeps. */
const tracedCandidates = 8;

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

	const takeEvent = async (event: PromptEvent) => {
		if (tokens === 0) {
			metrics.observe('first_token_ms', clock.readMonotonicMs() - caller.startedMs, {organisation: caller.organisation, class: requestClass});
		}

		tokens = event.offset;

		return writer.write(event);
	};

	await (lastEventId === undefined
		? runPrompt(createRunOptions(services, caller, {preset, fingerprint, suspicion}), job, takeEvent)
		: resumeAnswer(services, job, {eventId: lastEventId, takeEvent}));
	writer.finish();
	services.depositSuccess();
	recordFinished(services, caller.requestId, {
		outcome: FateOutcome.Complete, ran: Ran.Ran, status: 200, tokens,
	});

	if (suspicion.isSuspect) {
		void clearSuspicion(services, fingerprint);
	}
}

/** Whether an upstream has crashed under a prompt. */
type Suspect = {isSuspect: boolean};

type RunInput = {
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly suspicion: Suspect;
};

function createRunOptions(services: EntryServices, caller: CallerRequest, {preset, fingerprint, suspicion}: RunInput) {
	return {
		agent: services.agent,
		clock: services.clock,
		table: services.table,
		plan: async (job: PromptJob, excludedIds: ReadonlySet<string>) => planPrompt(services, {
			job, excludedIds, preset, fingerprint, isSuspect: suspicion.isSuspect,
		}),
		mayRetry: services.withdrawRetry,
		async onCrash(job: PromptJob, upstreamId: string) {
			suspicion.isSuspect = true;

			return reportCrash(services, caller, {fingerprint, upstreamId});
		},
		recordFate: services.recordFate,
	};
}

type PlanInput = {
	readonly job: PromptJob;
	readonly excludedIds: ReadonlySet<string>;
	readonly preset: PresetItem;
	readonly fingerprint: string;
	readonly isSuspect: boolean;
};

// A long prompt that finds all its places taken waits here, where it blocks no short one, behind those that came before.
async function planPrompt(services: EntryServices, input: PlanInput): Promise<Plan> {
	const {holdLine} = services;
	const mayTry = input.job.priority === Priority.Short || holdLine.isEmpty();
	const plan = mayTry ? await tryPlan(services, input) : undefined;

	if (plan !== undefined) {
		return plan;
	}

	checkWait(services, input);
	const leave = holdLine.enter(input.job.requestId);

	try {
		return await waitForPlace(services, input);
	} finally {
		leave();
	}
}

async function waitForPlace(services: EntryServices, input: PlanInput): Promise<Plan> {
	const {job} = input;

	while (services.clock.readMonotonicMs() < job.deadlineMs && !job.signal.aborted) {
		await sleep(holdPollMs);
		const plan = services.holdLine.isFirst(job.requestId) ? await tryPlan(services, input) : undefined;

		if (plan !== undefined) {
			return plan;
		}
	}

	throw createRefusal(RefusalCode.Overloaded, 'no place for a long prompt came free in time', overloadRetrySeconds);
}

// Refused at once, and not after a wait that cannot end in time. Classes that the preset gives up first wait half as long.
function checkWait({holdLine, clock}: EntryServices, {job, preset}: PlanInput): void {
	const waitMs = holdLine.estimateWaitMs();
	const isGivenUpFirst = preset.refuseFirst.includes(RequestClass.Long);
	const patienceMs = (job.deadlineMs - clock.readMonotonicMs()) / (isGivenUpFirst ? 2 : 1);

	if (waitMs > patienceMs) {
		throw createRefusal(RefusalCode.Overloaded, 'all places for long prompts are taken', Math.ceil(waitMs / msPerSecond));
	}
}

async function tryPlan(services: EntryServices, {job, excludedIds, preset, fingerprint, isSuspect}: PlanInput): Promise<Plan | undefined> {
	const {gossip, follower, table, clock} = services;
	const query = {membership: gossip.getMembership(), state: follower.getState()};
	const records = listEngines(query, job.model, job.weightVersion).filter(record => !excludedIds.has(record.id));
	const hashes = computePieces({
		organisation: job.organisation, model: job.model, adapter: '', weightVersion: job.weightVersion,
	}, job.prompt);
	const heldByEngine = await services.findPieces(hashes);
	const {candidates, chosen: cheapest} = chooseEngine({
		plan: {
			tokens: job.promptTokens, pieces: hashes.length, availabilityZone: services.availabilityZone, priority: job.priority, reservedShortShare: preset.reservedShortShare,
		},
		engines: records.map(record => table.createView(record)),
		heldByEngine,
		stores: [],
		weights: preset.weights,
		bytesPerPiece,
	});

	const chosen = isSuspect ? await chooseForSuspect(services, {fingerprint, candidates}) : cheapest;

	if (records.length > 0 && chosen === undefined) {
		return undefined;
	}

	if (chosen === undefined) {
		throw createRefusal(RefusalCode.NoUpstream, `no engine serves ${job.model} in weight version ${job.weightVersion} now`, 1);
	}

	checkReachable(chosen, job, clock.readMonotonicMs());
	services.recordFate({
		kind: FateEventKind.Planned,
		requestId: job.requestId,
		atMs: clock.readWallMs(),
		candidates: candidates.slice(0, tracedCandidates),
		chosenId: chosen.upstreamId,
		reason: `least cost of ${candidates.length} under preset ${preset.name}`,
	});
	services.notePieces(chosen.upstreamId, hashes);

	return {record: records.find(record => record.id === chosen.upstreamId)!, candidates, prefillTokens: chosen.recomputedTokens};
}

type SuspectInput = {readonly fingerprint: string; readonly candidates: readonly EngineCandidate[]};

// No other suspect runs there meanwhile, at whichever entry.
async function chooseForSuspect(services: EntryServices, {fingerprint, candidates}: SuspectInput): Promise<EngineCandidate | undefined> {
	const answer = await proposeOrRefuse(services, {
		kind: CommandKind.AssignRetry, fingerprint, candidateIds: candidates.map(candidate => candidate.upstreamId), retryMs: defaultTimeoutMs,
	});

	return answer.kind === AnswerKind.Assigned ? candidates.find(candidate => candidate.upstreamId === answer.upstreamId) : undefined;
}

async function proposeOrRefuse({control, clock}: EntryServices, request: Request): Promise<Answer> {
	try {
		return await control.propose(request, clock.readMonotonicMs() + reportTimeoutMs);
	} catch (error) {
		throw new RefusalError({
			code: RefusalCode.NoQuorum, message: 'an upstream crashed and no majority could be asked where to try again', ran: Ran.Ran, retryAfterSeconds: 1,
		}, {cause: error});
	}
}

// What cannot meet its deadline is refused on arrival and not after waiting.
function checkReachable(chosen: EngineCandidate, job: PromptJob, nowMs: number): void {
	const firstTokenMs = chosen.queueMs + chosen.fetchMs + chosen.prefillMs;

	if (nowMs + firstTokenMs > job.deadlineMs) {
		throw createRefusal(
			RefusalCode.DeadlineTooShort,
			`the first token would take ${Math.round(firstTokenMs)} ms, past the deadline`,
			Math.ceil(chosen.queueMs / 1000) + 1,
		);
	}
}

async function reportCrash(services: EntryServices, caller: CallerRequest, {fingerprint, upstreamId}: {fingerprint: string; upstreamId: string}): Promise<boolean> {
	const {organisation, requestId} = caller;

	try {
		const answer = await services.control.propose({
			kind: CommandKind.ReportCrash, fingerprint, organisation, requestId, upstreamId, keepMs: suspicionKeepMs,
		}, services.clock.readMonotonicMs() + reportTimeoutMs);

		return answer.kind === AnswerKind.Done && answer.value < 2;
	} catch {
		// Without word from the others a second crash could not be told from a first: not tried again.
		return false;
	}
}

async function clearSuspicion(services: EntryServices, fingerprint: string): Promise<void> {
	try {
		await services.control.propose({kind: CommandKind.ClearSuspicion, fingerprint}, services.clock.readMonotonicMs() + reportTimeoutMs);
	} catch (error) {
		services.log.warn('a suspicion was not cleared; it ends by itself', error);
	}
}

type ResumeAnswerInput = {readonly eventId: EventId; readonly takeEvent: TakePromptEvent};

async function resumeAnswer(services: EntryServices, job: PromptJob, {eventId, takeEvent}: ResumeAnswerInput): Promise<void> {
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
		}, async event => takeEvent({...event, upstreamId, attempt}));
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

/** Computes the fingerprint by which a prompt that crashes upstreams is known; it tells nothing of its text. */
export function computeFingerprint(organisation: string, {model, prompt}: Pick<ParsedPrompt, 'model' | 'prompt'>): string {
	return createHash('sha256').update(JSON.stringify([organisation, model])).update(prompt).digest('hex');
}

function checkQuarantine(services: EntryServices, fingerprint: string): void {
	if (isQuarantined(services.follower.getState(), fingerprint)) {
		throw createRefusal(RefusalCode.Quarantined, 'this prompt crashed two upstreams and is not run again');
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
