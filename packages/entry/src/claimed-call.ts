import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {InvariantError} from '@fescuestair/core';
import {isAliveInIncarnation, type MemberRecord} from '@fescuestair/membership';
import {
	RequestEventKind, headerNames, ProposalError, ExecutionStatus, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {
	CommandResponseKind, CommandKind, encodeClaimKey, type CommandResponse, type ClaimOutcome,
} from '@fescuestair/state';
import {AttemptError} from './attempt-error.js';
import {
	attemptCall, chooseInstance, isInstanceOf, type ServiceResult, type ServiceTarget,
} from './service-attempt.js';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';
import {type ServiceResponse} from './service-call.js';
import {checkLimits, reserveUpstream, type PermitAttempts} from './upstream-permits.js';

/** Response bodies up to this size are recorded with the claim, so that a resend under the same key gets the same response. */
const maxRecordedBodyBytes = 65_536;
const maxIdempotencyKeyLength = 255;
/** The lease of a claim lasts this much longer than the time-out of its call, so that the outcome can be recorded before the lease expires. */
const claimLeaseMarginMs = 5000;
const claimUpdateTimeoutMs = 4000;
const claimPollIntervalMs = 100;
const msPerHour = 3_600_000;
const defaultRetryAfterSeconds = 1;

/**
Makes a call that must not be repeated. Before its first byte is sent, a claim (the right to send it, granted once per idempotency key) is committed
by a majority of control replicas; a resend under the same key gets the recorded outcome.
*/
export async function callAtMostOnce(services: EntryServices, caller: CallerRequest, target: ServiceTarget): Promise<ServiceResult> {
	const {service} = target;
	const key = readIdempotencyKey(caller);
	const claimKey = encodeClaimKey({organisation: caller.organisation, service: service.name, key});
	const answer = await requestClaim(services, caller, {target, claimKey});

	switch (answer.kind) {
		case CommandResponseKind.Granted: {
			return runClaimedCall(services, caller, {target, claimKey, token: answer.token});
		}

		case CommandResponseKind.Running: {
			return waitForCallInProgress(services, caller, {target, claimKey});
		}

		default: {
			return replayOutcome(answer);
		}
	}
}

type ClaimInput = {
	readonly target: ServiceTarget;
	readonly claimKey: string;
};

async function requestClaim(services: EntryServices, {organisation, requestId}: CallerRequest, {target, claimKey}: ClaimInput): Promise<CommandResponse> {
	const {service, call, deadlineMs} = target;

	try {
		return await services.control.propose({
			kind: CommandKind.Claim,
			organisation,
			key: claimKey,
			bodyDigest: createHash('sha256').update(JSON.stringify([call.method, call.path])).update(call.body).digest('hex'),
			requestId,
			entryId: formatHolder(services.name, services.incarnation),
			leaseMs: service.timeoutMs + claimLeaseMarginMs,
			keepMs: service.keyRetentionHours * msPerHour,
		}, deadlineMs, {endsWhenStale: true});
	} catch (error) {
		if (error instanceof ProposalError) {
			throw new RefusalError({
				code: RefusalCode.NoQuorum,
				message: 'the call could not be claimed at a majority of control replicas, and was not sent; an earlier one under the same key may have run',
				// Only a majority knows whether this is a resend of a call that ran.
				ran: ExecutionStatus.Unknown,
				retryAfterSeconds: defaultRetryAfterSeconds,
			});
		}

		throw error;
	}
}

type GrantedClaim = ClaimInput & {readonly token: number};

async function runClaimedCall(services: EntryServices, caller: CallerRequest, {target, claimKey, token}: GrantedClaim): Promise<ServiceResult> {
	const {clock, recordRequestEvent} = services;
	const {requestId} = caller;
	recordRequestEvent({
		kind: RequestEventKind.Claimed, requestId, atMs: clock.readWallMs(), token,
	});
	const call = {...target.call, headers: {...target.call.headers, [headerNames.fencingToken]: String(token)}};
	const excludedIds = new Set<string>();
	const attempts = {refusals: 0};

	for (let attempt = 1; ; attempt++) {
		const record = chooseInstance(services, {serviceName: target.service.name, excludedIds, deadlineMs: target.deadlineMs});

		// No attempt has run the call, so the claim is released and a later call under the same key may run.
		if (record === undefined || target.deadlineMs <= clock.readMonotonicMs()) {
			await releaseClaim(services, {claimKey, token});
			checkLimits(services, isInstanceOf(target.service.name));
			throw createRefusal(RefusalCode.NoUpstream, `no instance of ${target.service.name} could be reached`, defaultRetryAfterSeconds);
		}

		if (!await reserveOrRelease(services, record, {
			claimKey, token, deadlineMs: target.deadlineMs, attempts,
		})) {
			continue;
		}

		const timeoutMs = target.deadlineMs - clock.readMonotonicMs();

		try {
			const response = await attemptCall(services, requestId, {
				record, attempt, call, timeoutMs: Math.max(1, timeoutMs), isAtMostOnce: true,
			});
			await settleClaim(services, {claimKey, token, outcome: toClaimOutcome(response)});

			return {...response, isReplay: false};
		} catch (error) {
			if (!(error instanceof AttemptError)) {
				throw error;
			}

			if (error.ran !== ExecutionStatus.NotRun) {
				await settleClaim(services, {claimKey, token, outcome: undefined});
				throw createUnknownOutcomeError(`the call was sent and its answer was lost (${error.message})`);
			}

			excludedIds.add(record.id);
		}
	}
}

type ClaimedReservation = {readonly claimKey: string; readonly token: number; readonly deadlineMs: number; readonly attempts: PermitAttempts};

// Waits for a permit; releases the claim if the call is refused for want of one.
async function reserveOrRelease(services: EntryServices, record: MemberRecord, {claimKey, token, deadlineMs, attempts}: ClaimedReservation): Promise<boolean> {
	try {
		return await reserveUpstream(services, record, {deadlineMs, priority: Priority.Short, attempts});
	} catch (error) {
		await releaseClaim(services, {claimKey, token});

		throw error;
	}
}

async function releaseClaim(services: EntryServices, {claimKey, token}: {claimKey: string; token: number}): Promise<void> {
	try {
		await services.control.propose({kind: CommandKind.Release, key: claimKey, token}, services.clock.readMonotonicMs() + claimUpdateTimeoutMs);
	} catch (error) {
		// The lease of the claim expires by itself. A resend then receives "outcome unknown", which is correct but less precise than what is known
		// here: that the call did not run.
		services.log.warn('could not release a claim; it stays until its lease expires', error);
	}
}

function toClaimOutcome({status, contentType, body}: ServiceResponse): ClaimOutcome {
	const isBodyOmitted = body.length > maxRecordedBodyBytes;

	return {
		status, contentType, body: isBodyOmitted ? new Uint8Array() : body, isBodyOmitted,
	};
}

// The outcome is recorded before the caller receives it. Otherwise a resend could receive a different outcome.
async function settleClaim(services: EntryServices, {claimKey, token, outcome}: {claimKey: string; token: number; outcome: ClaimOutcome | undefined}): Promise<void> {
	try {
		await services.control.propose({
			kind: CommandKind.RecordOutcome, key: claimKey, token, outcome,
		}, services.clock.readMonotonicMs() + claimUpdateTimeoutMs);
	} catch {
		throw createUnknownOutcomeError('the call was sent and its outcome could not be recorded');
	}
}

function formatHolder(name: string, incarnation: number): string {
	return `${name}#${incarnation}`;
}

function isHolderAlive({gossip}: EntryServices, holder: string): boolean {
	const [name = '', incarnation] = holder.split('#');

	return isAliveInIncarnation(gossip.getMembership(), name, Number(incarnation));
}

// Waits for the outcome of a call in progress under the same key. Once the lease of its claim has expired or the entry that holds the claim is
// dead, its outcome is declared unknown.
async function waitForCallInProgress(services: EntryServices, caller: CallerRequest, {target, claimKey}: ClaimInput): Promise<ServiceResult> {
	const {clock, control} = services;

	while (clock.readMonotonicMs() < target.deadlineMs) {
		await sleep(claimPollIntervalMs);
		const answer = await requestClaim(services, caller, {target, claimKey});

		if (answer.kind === CommandResponseKind.Granted) {
			return runClaimedCall(services, caller, {target, claimKey, token: answer.token});
		}

		if (answer.kind !== CommandResponseKind.Running) {
			return replayOutcome(answer);
		}

		const isHolderLost = !isHolderAlive(services, answer.entryId);

		if (answer.isOverdue || isHolderLost) {
			const abandonAnswer = await control.propose({
				kind: CommandKind.MarkOutcomeUnknown, key: claimKey, token: answer.token, isHolderLost,
			}, target.deadlineMs);

			if (abandonAnswer.kind === CommandResponseKind.OutcomeUnknown) {
				return replayOutcome(abandonAnswer);
			}
		}
	}

	throw new RefusalError({
		code: RefusalCode.DeadlinePassed, message: 'an earlier call under this key still runs', ran: ExecutionStatus.Unknown, retryAfterSeconds: defaultRetryAfterSeconds,
	});
}

function replayOutcome(answer: CommandResponse): ServiceResult {
	switch (answer.kind) {
		case CommandResponseKind.OutcomeRecorded: {
			const {status, contentType, body, isBodyOmitted} = answer.outcome;
			const notice = {message: 'the call ran; its answer was too large to keep', requestId: answer.requestId};

			return isBodyOmitted
				? {
					status, contentType: 'application/json', body: Buffer.from(JSON.stringify(notice)), isReplay: true,
				}
				: {
					status, contentType, body, isReplay: true,
				};
		}

		case CommandResponseKind.KeyReused: {
			throw createRefusal(RefusalCode.IdempotencyKeyReused, 'this Idempotency-Key was used for another call');
		}

		case CommandResponseKind.TooManyClaims: {
			throw createRefusal(RefusalCode.LimitReached, 'too many idempotency keys are remembered for this organisation', defaultRetryAfterSeconds * 60);
		}

		case CommandResponseKind.OutcomeUnknown: {
			throw createUnknownOutcomeError(`an earlier call under this key was sent and its answer was lost; see request ${answer.requestId}`);
		}

		default: {
			throw new InvariantError(`unexpected answer to a claim: ${answer.kind}`);
		}
	}
}

function createUnknownOutcomeError(message: string): RefusalError {
	return new RefusalError({code: RefusalCode.OutcomeUnknown, message, ran: ExecutionStatus.Unknown});
}

function readIdempotencyKey({request}: CallerRequest): string {
	const key = request.headers[headerNames.idempotencyKey];

	if (typeof key !== 'string' || key === '' || key.length > maxIdempotencyKeyLength) {
		throw createRefusal(RefusalCode.IdempotencyKeyRequired, `this call may not be repeated and needs an Idempotency-Key of 1 to ${maxIdempotencyKeyLength} characters`);
	}

	return key;
}
