import {createHash} from 'node:crypto';
import {
	ExecutionStatus, RefusalCode, RefusalError, type ParsedPrompt,
} from '@fescuestair/protocol';
import {
	CommandResponseKind, CommandKind, isQuarantined, type CommandResponse, type CommandRequest,
} from '@fescuestair/state';
import {type EngineCandidate} from '@fescuestair/routing';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

const suspicionRetentionMs = 86_400_000;
const proposeTimeoutMs = 2000;
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

type SuspectInput = {readonly fingerprint: string; readonly candidates: readonly EngineCandidate[]};

/** Chooses an engine for the retry of a suspect prompt: one on which no other suspect prompt runs meanwhile, from any entry. */
export async function chooseEngineForSuspect(services: EntryServices, {fingerprint, candidates}: SuspectInput): Promise<EngineCandidate | undefined> {
	const answer = await proposeOrRefuse(services, {
		kind: CommandKind.AssignRetry, fingerprint, candidateIds: candidates.map(candidate => candidate.upstreamId), retryMs: retryExclusivityMs,
	});

	return answer.kind === CommandResponseKind.Assigned ? candidates.find(candidate => candidate.upstreamId === answer.upstreamId) : undefined;
}

async function proposeOrRefuse({control, clock}: EntryServices, request: CommandRequest): Promise<CommandResponse> {
	try {
		return await control.propose(request, clock.readMonotonicMs() + proposeTimeoutMs);
	} catch (error) {
		throw new RefusalError({
			code: RefusalCode.NoQuorum, message: 'an upstream crashed and no majority could be asked where to try again', ran: ExecutionStatus.Ran, retryAfterSeconds: 1,
		}, {cause: error});
	}
}

/** Reports that an upstream was lost while it ran a prompt; resolves with whether the prompt may be retried. */
export async function reportCrash(services: EntryServices, caller: CallerRequest, {fingerprint, upstreamId}: {fingerprint: string; upstreamId: string}): Promise<boolean> {
	const {organisation, requestId} = caller;

	try {
		const answer = await services.control.propose({
			kind: CommandKind.ReportCrash, fingerprint, organisation, requestId, upstreamId, keepMs: suspicionRetentionMs,
		}, services.clock.readMonotonicMs() + proposeTimeoutMs);

		return answer.kind === CommandResponseKind.Done && answer.value < 2;
	} catch {
		// Without an answer of the control replicas a second crash cannot be distinguished from a first one, so the prompt is not retried.
		return false;
	}
}

/** Clears the suspicion of a prompt that has finished. */
export async function clearSuspicion(services: EntryServices, fingerprint: string): Promise<void> {
	try {
		await services.control.propose({kind: CommandKind.ClearSuspicion, fingerprint}, services.clock.readMonotonicMs() + proposeTimeoutMs);
	} catch (error) {
		services.log.warn('the suspicion of a prompt was not cleared; it expires by itself', error);
	}
}
