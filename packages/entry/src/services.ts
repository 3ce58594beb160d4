import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {Buffer} from 'node:buffer';
import {InvariantError} from '@fescuestair/core';
import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {
	AttemptEnd, FateEventKind, FateOutcome, getRefusalStatus, headerNames, ProposalError, Ran, RefusalCode, RefusalError, UpstreamKind, type Refusal,
} from '@fescuestair/protocol';
import {
	AnswerKind, CommandKind, encodeClaimKey, findItem, ItemKind, RequestClass, type Answer, type ClaimOutcome, type ServiceItem,
} from '@fescuestair/state';
import {Priority} from '@fescuestair/routing';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {AttemptError} from './engine-client.js';
import {
	callService, pickHeaders, type ServiceAnswer, type ServiceCall,
} from './service-call.js';
import {chooseServiceUpstream} from './choose-address.js';
import {listUsableUpstreams} from './engine-table.js';
import {
	createRefusal, recordBegun, recordFinished, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 1_000_000;
const bodyTimeoutMs = 10_000;
/** Answers up to this size are kept for resends. */
const maxKeptBytes = 65_536;
const maxKeyLength = 255;
const claimMarginMs = 5000;
const settleTimeoutMs = 4000;
const pollMs = 100;
const msPerHour = 3_600_000;
const retrySeconds = 1;

type Target = {
	readonly service: ServiceItem;
	readonly call: ServiceCall;
	/** Monotonic. */
	readonly deadlineMs: number;
};

/** Serves `/v1/services/{service}/...`. */
export async function handleService(services: EntryServices, caller: CallerRequest, {serviceName, path}: {serviceName: string; path: string}): Promise<void> {
	const {request, response, requestId, organisation} = caller;
	const body = await readBody(request, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs});
	const preset = requirePreset(services);
	recordBegun(services, caller, {
		requestClass: RequestClass.Service, target: `${request.method} ${serviceName}${path}`, promptTokens: 0, preset: preset.name,
	});
	const tags = {organisation, class: RequestClass.Service};

	try {
		const finish = services.admit(organisation, RequestClass.Service, scaleLimit(services, organisation, preset, RequestClass.Service));

		try {
			const service = findItem(services.follower.getState(), ItemKind.Service, serviceName);

			if (service === undefined) {
				throw createRefusal(RefusalCode.UnknownService, `there is no service ${serviceName}`);
			}

			const target = createTarget(services, caller, {service, path, body});
			const isRepeatable = service.repeatableMethods.includes(target.call.method as 'GET');
			const answer = isRepeatable ? await callUntilAnswered(services, caller, target) : await callOnceEver(services, caller, target);
			response.writeHead(answer.status, {
				'content-type': answer.contentType,
				'content-length': answer.body.length,
				[headerNames.requestId]: requestId,
				...(answer.isReplay && {[headerNames.idempotencyReplayed]: 'true'}),
			});
			response.end(answer.body);
			services.metrics.observe('service_ms', services.clock.readMonotonicMs() - caller.startedMs, tags);
			recordFinished(services, requestId, {outcome: FateOutcome.Complete, ran: Ran.Ran, status: answer.status});
		} finally {
			finish();
		}
	} catch (error) {
		const refusal = qualifyRefusal(services, request, {refusal: toRefusal(error), serviceName});

		if (!(error instanceof RefusalError)) {
			services.log.error('service call failed', {requestId}, error);
		}

		services.metrics.count('refused', {...tags, code: refusal.code});
		recordFinished(services, requestId, {
			outcome: FateOutcome.Refused, ran: refusal.ran, code: refusal.code, status: getRefusalStatus(refusal),
		});
		sendRefusal(response, refusal, requestId);
	}
}

function createTarget(services: EntryServices, {request, organisation, requestId, startedMs}: CallerRequest, input: {service: ServiceItem; path: string; body: Uint8Array}): Target {
	const {service, path, body} = input;
	const headers = {...pickHeaders(request.headers), [headerNames.requestId]: requestId, [headerNames.organisation]: organisation};

	return {
		service,
		call: {
			method: request.method ?? 'GET', path, headers, body,
		},
		deadlineMs: startedMs + service.timeoutMs,
	};
}

/** Refusals that say of the call itself, and not only of this request, that it did not run. */
const provenCodes = new Set([
	RefusalCode.NoUpstream,
	RefusalCode.KeyRequired,
	RefusalCode.KeyReused,
	RefusalCode.UnknownService,
	RefusalCode.TooLarge,
	RefusalCode.TooSlow,
	RefusalCode.BadRequest,
]);

// A resend that is turned away before its claim has been looked up says nothing of the first: the call may have run.
function qualifyRefusal(services: EntryServices, request: IncomingMessage, {refusal, serviceName}: {refusal: Refusal; serviceName: string}): Refusal {
	const service = findItem(services.follower.getState(), ItemKind.Service, serviceName);
	const isRepeatable = service?.repeatableMethods.includes(request.method as 'GET') ?? false;

	if (isRepeatable || refusal.ran !== Ran.NotRun || provenCodes.has(refusal.code)) {
		return refusal;
	}

	return {...refusal, ran: Ran.Unknown, message: `${refusal.message}; whether an earlier call under this key ran was not looked up`};
}

type Answered = ServiceAnswer & {readonly isReplay: boolean};

function chooseInstance(services: EntryServices, serviceName: string, excludedIds: ReadonlySet<string>): MemberRecord | undefined {
	const query = {membership: services.gossip.getMembership(), state: services.follower.getState()};
	const records = listUsableUpstreams(query, details => details.kind === UpstreamKind.Service && details.service === serviceName);

	return chooseServiceUpstream(records, {
		availabilityZone: services.availabilityZone, countRunning: services.table.countRunning, excludedIds,
	});
}

type AttemptInput = {
	readonly record: MemberRecord;
	readonly attempt: number;
	readonly call: ServiceCall;
	readonly timeoutMs: number;
	readonly isOnce: boolean;
};

async function attemptCall(services: EntryServices, requestId: string, input: AttemptInput): Promise<ServiceAnswer> {
	const {record, attempt, call, timeoutMs, isOnce} = input;
	const {clock, recordFate, table} = services;
	recordFate({
		kind: FateEventKind.Dispatched, requestId, atMs: clock.readWallMs(), attempt, upstreamId: record.id,
	});
	const endDispatch = table.beginDispatch(record.id, Priority.Short, 0);
	let end = AttemptEnd.Complete;
	let detail = '';

	try {
		return await callService({agent: isOnce ? services.freshAgent : services.agent, address: record.address, timeoutMs}, call);
	} catch (error) {
		end = (error as AttemptError).end;
		detail = (error as AttemptError).message;

		throw error;
	} finally {
		endDispatch();
		recordFate({
			kind: FateEventKind.AttemptEnded, requestId, atMs: clock.readWallMs(), attempt, end, detail, offset: 0,
		});
	}
}

// A look-up may be repeated: it goes to other instances until one answers or the deadline passes.
async function callUntilAnswered(services: EntryServices, {requestId}: CallerRequest, {service, call, deadlineMs}: Target): Promise<Answered> {
	const {clock} = services;
	let excludedIds = new Set<string>();

	for (let attempt = 1; clock.readMonotonicMs() < deadlineMs; attempt++) {
		const record = chooseInstance(services, service.name, excludedIds);

		if (record === undefined) {
			// All have failed once, or there is none yet: begin again a little later.
			excludedIds = new Set();
			await sleep(pollMs);
			continue;
		}

		const leftMs = deadlineMs - clock.readMonotonicMs();

		try {
			const answer = await attemptCall(services, requestId, {
				record, attempt, call, timeoutMs: Math.max(1, Math.min(leftMs, service.timeoutMs / 3)), isOnce: false,
			});

			return {...answer, isReplay: false};
		} catch (error) {
			if (!(error instanceof AttemptError)) {
				throw error;
			}

			excludedIds.add(record.id);
		}
	}

	throw new RefusalError({
		code: RefusalCode.DeadlinePassed, message: `no instance of ${service.name} answered in time`, ran: Ran.Unknown, retryAfterSeconds: retrySeconds,
	});
}

/** A call that may not be repeated: claimed at a majority before its first byte leaves. */
async function callOnceEver(services: EntryServices, caller: CallerRequest, target: Target): Promise<Answered> {
	const {service} = target;
	const key = readKey(caller);
	const claimKey = encodeClaimKey({organisation: caller.organisation, service: service.name, key});
	const answer = await claim(services, caller, {target, claimKey});

	switch (answer.kind) {
		case AnswerKind.Granted: {
			return runClaimed(services, caller, {target, claimKey, token: answer.token});
		}

		case AnswerKind.Running: {
			return awaitOther(services, caller, {target, claimKey});
		}

		default: {
			return replay(answer);
		}
	}
}

type ClaimInput = {
	readonly target: Target;
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
		}, deadlineMs);
	} catch (error) {
		if (error instanceof ProposalError) {
			throw new RefusalError({
				code: RefusalCode.NoQuorum,
				message: 'the call could not be claimed at a majority of control replicas',
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
	const record = gossip.getMembership().held.get(name)?.record;

	return record !== undefined && record.status !== MemberStatus.Dead && record.incarnation === Number(incarnation);
}

// Another attempt under this key is live: wait for its outcome, and declare it unknown once it is overdue.
async function awaitOther(services: EntryServices, caller: CallerRequest, {target, claimKey}: ClaimInput): Promise<Answered> {
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

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
