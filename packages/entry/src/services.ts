import {setTimeout as sleep} from 'node:timers/promises';
import {
	FateOutcome, headerNames, Ran, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {
	findItem, ItemKind, RequestClass, type ServiceItem,
} from '@fescuestair/state';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {AttemptError} from './attempt-error.js';
import {callOnceEver} from './claimed-call.js';
import {qualifyRefusal} from './qualify-refusal.js';
import {pickHeaders} from './service-call.js';
import {
	attemptCall, chooseInstance, type Answered, type ServiceTarget,
} from './service-attempt.js';
import {
	createRefusal, recordBegun, recordFinished, recordRefused, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 1_000_000;
const bodyTimeoutMs = 10_000;
const pollMs = 100;
const retrySeconds = 1;

/** Serves `/v1/services/{service}/...`. */
export async function handleService(services: EntryServices, caller: CallerRequest, {serviceName, path}: {serviceName: string; path: string}): Promise<void> {
	const {request, response, requestId, organisation} = caller;
	const body = await readBody(request, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs});
	const preset = await requirePreset(services);
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
		const refusal = qualifyRefusal(services, request, toRefusal(error));

		if (!(error instanceof RefusalError)) {
			services.log.error('service call failed', {requestId}, error);
		}

		recordRefused(services, caller, {refusal, requestClass: RequestClass.Service});
		sendRefusal(response, refusal, requestId);
	}
}

function createTarget(services: EntryServices, {request, organisation, requestId, startedMs}: CallerRequest, input: {service: ServiceItem; path: string; body: Uint8Array}): ServiceTarget {
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

// A look-up may be repeated: it goes to other instances until one answers or the deadline passes.
async function callUntilAnswered(services: EntryServices, {requestId}: CallerRequest, {service, call, deadlineMs}: ServiceTarget): Promise<Answered> {
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
