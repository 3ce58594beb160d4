import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {InvariantError} from '@fescuestair/core';
import {isAliveIn} from '@fescuestair/membership';
import {
	FateEventKind, headerNames, ProposalError, Ran, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {
	AnswerKind, CommandKind, encodeClaimKey, type Answer, type ClaimOutcome,
} from '@fescuestair/state';
import {AttemptError} from './attempt-error.js';
import {
	attemptCall, chooseInstance, type Answered, type ServiceTarget,
} from './service-attempt.js';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';
import {type ServiceAnswer} from './service-call.js';

/** Answers up to this size are kept for resends. */
const maxKeptBytes = 65_536;
const maxKeyLength = 255;
const claimMarginMs = 5000;
const settleTimeoutMs = 4000;
const pollMs = 100;
const msPerHour = 3_600_000;
const retrySeconds = 1;

/** A call that may not be repeated: claimed at a majority before its first byte leaves. */
export async function callOnceEver(services: EntryServices, caller: CallerRequest, target: ServiceTarget): Promise<Answered> {
	const {service} = target;
	const key = readKey(caller);
	const claimKey = encodeClaimKey({organisation: caller.organisation, service: service.name, key});
	const answer = await claim(services, caller, {target, claimKey});

	switch (answer.kind) {
		case AnswerKind.Granted: {
			return runClaimed(services, caller, {target, claimKey, token: answer.token});
		}

		case AnswerKind.Running: {
			return waitForOther(services, caller, {target, claimKey});
		}

		default: {
			return replay(answer);
		}
	}
}

type ClaimInput = {
	readonly target: ServiceTarget;
	readonly claimKey: string;
};

async function claim(services: EntryServices, {organisation, requestId}: CallerRequest, {target, claimKey}: ClaimInput): Promise<Answer> {
	const {service, call, deadlineMs} = target;

	try {
		return await services.control.propose({
			kind: CommandKind.Claim,
			organisation,
			key: claimKey,
			bodyDigest: createHash('sha256').update(JSON.stringify([call.method, call.path])).update(call.body).digest('hex'),
			requestId,
			entryId: formatHolder(services.name, services.incarnation),
			leaseMs: service.timeoutMs + claimMarginMs,
			keepMs: service.keyRetentionHours * msPerHour,
		}, deadlineMs, {endsWhenStale: true});
	} catch (error) {
		if (error instanceof ProposalError) {
			throw new RefusalError({
				code: RefusalCode.NoQuorum,
				message: 'the call could not be claimed at a majority of control replicas, and was not sent; an earlier one under the same key may have run',
				// Only a majority could tell whether this is a resend of a call that ran.
				ran: Ran.Unknown,
				retryAfterSeconds: retrySeconds,
			});
		}

		throw error;
	}
}

type ClaimedInput = ClaimInput & {readonly token: number};

async function runClaimed(services: EntryServices, caller: CallerRequest, {target, claimKey, token}: ClaimedInput): Promise<Answered> {
	const {clock, recordFate} = services;
	const {requestId} = caller;
	recordFate({
		kind: FateEventKind.Claimed, requestId, atMs: clock.readWallMs(), token,
	});
	const call = {...target.call, headers: {...target.call.headers, [headerNames.fencingToken]: String(token)}};
	const excludedIds = new Set<string>();

	for (let attempt = 1; ; attempt++) {
		const record = chooseInstance(services, target.service.name, excludedIds);
		const timeoutMs = target.deadlineMs - clock.readMonotonicMs();

		// Nothing has left so far: the claim is given back, and the same key may run another time.
		if (record === undefined || timeoutMs <= 0) {
			await release(services, {claimKey, token});
			throw createRefusal(RefusalCode.NoUpstream, `no instance of ${target.service.name} could be reached`, retrySeconds);
		}

		try {
			const answer = await attemptCall(services, requestId, {
				record, attempt, call, timeoutMs, isOnce: true,
			});
			await settle(services, {claimKey, token, outcome: toOutcome(answer)});

			return {...answer, isReplay: false};
		} catch (error) {
			if (!(error instanceof AttemptError)) {
				throw error;
			}

			if (error.ran !== Ran.NotRun) {
				await settle(services, {claimKey, token, outcome: undefined});
				throw createUnknown(`the call was sent and its answer was lost (${error.message})`);
			}

			excludedIds.add(record.id);
		}
	}
}

async function release(services: EntryServices, {claimKey, token}: {claimKey: string; token: number}): Promise<void> {
	try {
		await services.control.propose({kind: CommandKind.Release, key: claimKey, token}, services.clock.readMonotonicMs() + settleTimeoutMs);
	} catch (error) {
		// The claim runs out by itself, and is then unknown to a resend: true, if less than what is known here.
		services.log.warn('a claim was not given back', error);
	}
}

function toOutcome({status, contentType, body}: ServiceAnswer): ClaimOutcome {
	const isBodyOmitted = body.length > maxKeptBytes;

	return {
		status, contentType, body: isBodyOmitted ? new Uint8Array() : body, isBodyOmitted,
	};
}

// The outcome is recorded before it is given: else a resend could be told something else than the first caller was.
async function settle(services: EntryServices, {claimKey, token, outcome}: {claimKey: string; token: number; outcome: ClaimOutcome | undefined}): Promise<void> {
	try {
		await services.control.propose({
			kind: CommandKind.Settle, key: claimKey, token, outcome,
		}, services.clock.readMonotonicMs() + settleTimeoutMs);
	} catch {
		throw createUnknown('the call was sent and its outcome could not be recorded');
	}
}

function formatHolder(name: string, incarnation: number): string {
	return `${name}#${incarnation}`;
}

function isHolderAlive({gossip}: EntryServices, holder: string): boolean {
	const [name = '', incarnation] = holder.split('#');

	return isAliveIn(gossip.getMembership(), name, Number(incarnation));
}

// Another attempt under this key is live: wait for its outcome, and declare it unknown once it is overdue.
async function waitForOther(services: EntryServices, caller: CallerRequest, {target, claimKey}: ClaimInput): Promise<Answered> {
	const {clock, control} = services;

	while (clock.readMonotonicMs() < target.deadlineMs) {
		await sleep(pollMs);
		const answer = await claim(services, caller, {target, claimKey});

		if (answer.kind === AnswerKind.Granted) {
			return runClaimed(services, caller, {target, claimKey, token: answer.token});
		}

		if (answer.kind !== AnswerKind.Running) {
			return replay(answer);
		}

		const isHolderLost = !isHolderAlive(services, answer.entryId);

		if (answer.isOverdue || isHolderLost) {
			const abandoned = await control.propose({
				kind: CommandKind.Abandon, key: claimKey, token: answer.token, isHolderLost,
			}, target.deadlineMs);

			if (abandoned.kind === AnswerKind.Unknown) {
				return replay(abandoned);
			}
		}
	}

	throw new RefusalError({
		code: RefusalCode.DeadlinePassed, message: 'an earlier call under this key still runs', ran: Ran.Unknown, retryAfterSeconds: retrySeconds,
	});
}

function replay(answer: Answer): Answered {
	switch (answer.kind) {
		case AnswerKind.Recorded: {
			const {status, contentType, body, isBodyOmitted} = answer.outcome;
			const note = {message: 'the call ran; its answer was too large to keep', requestId: answer.requestId};

			return isBodyOmitted
				? {
					status, contentType: 'application/json', body: Buffer.from(JSON.stringify(note)), isReplay: true,
				}
				: {
					status, contentType, body, isReplay: true,
				};
		}

		case AnswerKind.KeyReused: {
			throw createRefusal(RefusalCode.KeyReused, 'this Idempotency-Key was used for another call');
		}

		case AnswerKind.TooManyClaims: {
			throw createRefusal(RefusalCode.LimitReached, 'too many idempotency keys are remembered for this organisation', retrySeconds * 60);
		}

		case AnswerKind.Unknown: {
			throw createUnknown(`an earlier call under this key was sent and its answer was lost; see request ${answer.requestId}`);
		}

		default: {
			throw new InvariantError(`${answer.kind} is no answer to a claim`);
		}
	}
}

function createUnknown(message: string): RefusalError {
	return new RefusalError({code: RefusalCode.OutcomeUnknown, message, ran: Ran.Unknown});
}

function readKey({request}: CallerRequest): string {
	const key = request.headers[headerNames.idempotencyKey];

	if (typeof key !== 'string' || key === '' || key.length > maxKeyLength) {
		throw createRefusal(RefusalCode.KeyRequired, `this call may not be repeated and needs an Idempotency-Key of 1 to ${maxKeyLength} characters`);
	}

	return key;
}
