import {createHash} from 'node:crypto';
import {
	Ran, RefusalCode, RefusalError, type ParsedPrompt,
} from '@fescuestair/protocol';
import {
	AnswerKind, CommandKind, isQuarantined, type Answer, type Request,
} from '@fescuestair/state';
import {type EngineCandidate} from '@fescuestair/routing';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

const suspicionKeepMs = 86_400_000;
const reportTimeoutMs = 2000;
/** A retry holds its engine for itself at most this long. */
const retryMs = 120_000;

/** Computes the fingerprint by which a prompt that crashes upstreams is known; it tells nothing of its text. */
export function computeFingerprint(organisation: string, {model, prompt}: Pick<ParsedPrompt, 'model' | 'prompt'>): string {
	return createHash('sha256').update(JSON.stringify([organisation, model])).update(prompt).digest('hex');
}

/** Refuses a prompt that has crashed two upstreams. */
export function checkQuarantine(services: EntryServices, fingerprint: string): void {
	if (isQuarantined(services.follower.getState(), fingerprint)) {
		throw createRefusal(RefusalCode.Quarantined, 'this prompt crashed two upstreams and is not run again');
	}
}

type SuspectInput = {readonly fingerprint: string; readonly candidates: readonly EngineCandidate[]};

/** Chooses an engine on which no other suspect runs meanwhile, at whichever entry. */
export async function chooseForSuspect(services: EntryServices, {fingerprint, candidates}: SuspectInput): Promise<EngineCandidate | undefined> {
	const answer = await proposeOrRefuse(services, {
		kind: CommandKind.AssignRetry, fingerprint, candidateIds: candidates.map(candidate => candidate.upstreamId), retryMs,
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

/** Reports that an upstream was lost under a prompt; tells whether the prompt may be tried again. */
export async function reportCrash(services: EntryServices, caller: CallerRequest, {fingerprint, upstreamId}: {fingerprint: string; upstreamId: string}): Promise<boolean> {
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

/** Clears a prompt that has finished. */
export async function clearSuspicion(services: EntryServices, fingerprint: string): Promise<void> {
	try {
		await services.control.propose({kind: CommandKind.ClearSuspicion, fingerprint}, services.clock.readMonotonicMs() + reportTimeoutMs);
	} catch (error) {
		services.log.warn('a suspicion was not cleared; it ends by itself', error);
	}
}
