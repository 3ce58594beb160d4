import {createHash} from 'node:crypto';
import {
	ExecutionStatus, RefusalCode, RefusalError, type ParsedPrompt,
} from '@fescuestair/protocol';
import {formatRequestTrait, listPromptTraits, type Traits} from '@fescuestair/crashes';
import {
	CommandResponseKind, CommandKind, findHeldBackTrait, hasCrashSuspect, isQuarantined, type CommandResponse, type CommandRequest,
} from '@fescuestair/state';
import {type EngineCandidate} from '@fescuestair/routing';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

const suspicionRetentionMs = 86_400_000;
const proposeTimeoutMs = 2000;
const msPerSecond = 1000;
/** A retry keeps other suspect prompts away from its engine for at most this long. */
const retryExclusivityMs = 120_000;

/** Computes the fingerprint that identifies a prompt that crashes upstreams. It is a digest, so it does not reveal the text of the prompt. */
export function computeFingerprint(organisation: string, {model, prompt}: Pick<ParsedPrompt, 'model' | 'prompt'>): string {
	return createHash('sha256').update(JSON.stringify([organisation, model])).update(prompt).digest('hex');
}

/** Refuses a prompt that is quarantined because it crashed two upstreams. */
export function checkQuarantine(services: EntryServices, fingerprint: string): void {
	if (isQuarantined(services.follower.getState(), fingerprint)) {
		throw createRefusal(RefusalCode.Quarantined, 'this prompt crashed two upstreams and is not run again');
	}
}

/**
Lists what a prompt has in common with others: its model, its complete pieces, each of which stands for all before it as well, and the prompt itself.
*/
export function listTraits(fingerprint: string, {model, hashes}: {readonly model: string; readonly hashes: readonly string[]}): Traits {
	// What comes after the complete pieces is the prompt's own.
	return [...listPromptTraits(model, [...hashes, fingerprint]), formatRequestTrait(fingerprint)];
}

/** Refuses a prompt with pieces under which upstreams crashed; resolves to whether it may be sent, once, as a trial of them. */
export async function checkHeldBack(services: EntryServices, traits: Traits): Promise<{readonly isTrial: boolean}> {
	const trait = findHeldBackTrait(services.follower.getState(), traits);

	if (trait === undefined) {
		return {isTrial: false};
	}

	const answer = await proposeOrRefuse(services, {kind: CommandKind.ReserveTrial, traits}, {
		message: 'upstreams crashed under one of the pieces of this prompt, and no majority could be asked whether it may be tried', ran: ExecutionStatus.NotRun,
	});

	if (answer.kind === CommandResponseKind.Trial && answer.isGranted) {
		services.log.info('a prompt that is held back is sent as a trial', {trait});

		return {isTrial: true};
	}

	throw createHeldBackRefusal(answer.kind === CommandResponseKind.Trial ? answer.retryMs : 0);
}

/** Refuses a prompt that came to be held back while it waited. */
export function requireNotHeldBack(services: EntryServices, traits: Traits): void {
	if (findHeldBackTrait(services.follower.getState(), traits) !== undefined) {
		throw createHeldBackRefusal(0);
	}
}

function createHeldBackRefusal(retryMs: number): RefusalError {
	return createRefusal(RefusalCode.Quarantined, 'upstreams crashed each time that they began to answer a prompt with one of its pieces', Math.max(1, Math.ceil(retryMs / msPerSecond)));
}

type SuspectInput = {readonly fingerprint: string; readonly candidates: readonly EngineCandidate[]};

/** Chooses an engine for the retry of a suspect prompt: one on which no other suspect prompt runs meanwhile, from any entry. */
export async function chooseEngineForSuspect(services: EntryServices, {fingerprint, candidates}: SuspectInput): Promise<EngineCandidate | undefined> {
	const answer = await proposeOrRefuse(services, {
		kind: CommandKind.AssignRetry, fingerprint, candidateIds: candidates.map(candidate => candidate.upstreamId), retryMs: retryExclusivityMs,
	}, {message: 'an upstream crashed and no majority could be asked where to try again', ran: ExecutionStatus.Ran});

	return answer.kind === CommandResponseKind.Assigned ? candidates.find(candidate => candidate.upstreamId === answer.upstreamId) : undefined;
}

async function proposeOrRefuse({control, clock}: EntryServices, request: CommandRequest, {message, ran}: {
	readonly message: string; readonly ran: ExecutionStatus;
}): Promise<CommandResponse> {
	try {
		return await control.propose(request, clock.readMonotonicMs() + proposeTimeoutMs);
	} catch (error) {
		throw new RefusalError({
			code: RefusalCode.NoQuorum, message, ran, retryAfterSeconds: 1,
		}, {cause: error});
	}
}

/** The loss of an upstream while it ran a prompt. */
type CrashInput = {
	readonly fingerprint: string;
	readonly upstreamId: string;
	/** Set if the upstream had not begun to answer the prompt. */
	readonly unanswered: {readonly run: string; readonly traits: Traits; readonly sentAgeMs: number} | undefined;
};

/** Reports that an upstream was lost while it ran a prompt; resolves with whether the prompt may be retried. */
export async function reportCrash(services: EntryServices, caller: CallerRequest, {fingerprint, upstreamId, unanswered}: CrashInput): Promise<boolean> {
	const {organisation, requestId} = caller;

	try {
		const answer = await services.control.propose({
			kind: CommandKind.ReportCrash, fingerprint, organisation, requestId, upstreamId, keepMs: suspicionRetentionMs, ...(unanswered !== undefined && {unanswered}),
		}, services.clock.readMonotonicMs() + proposeTimeoutMs);

		return answer.kind === CommandResponseKind.Done && answer.value < 2;
	} catch {
		// Without an answer of the control replicas a second crash cannot be distinguished from a first one, so the prompt is not retried.
		return false;
	}
}

/** What a finished prompt shows: nothing that it has in common with others crashed its upstream. */
type FinishedPrompt = {readonly fingerprint: string; readonly isSuspect: boolean; readonly traits: Traits; readonly firstTokenAtMs: number};

/** Clears a prompt that has finished, and what it has in common with others, of earlier crashes. */
export async function clearSuspicion(services: EntryServices, {fingerprint, isSuspect, traits, firstTokenAtMs}: FinishedPrompt): Promise<void> {
	const {follower, clock} = services;

	if (!isSuspect && !hasCrashSuspect(follower.getState(), traits)) {
		return;
	}

	try {
		await services.control.propose({
			kind: CommandKind.ClearSuspicion, fingerprint, answered: {traits, ageMs: clock.readMonotonicMs() - firstTokenAtMs},
		}, clock.readMonotonicMs() + proposeTimeoutMs);
	} catch (error) {
		services.log.warn('the suspicion of a prompt was not cleared; it expires by itself', error);
	}
}
