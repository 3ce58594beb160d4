import {
	RequestOutcome, headerNames, ExecutionStatus, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {
	findItem, ItemKind, RequestClass, type ServiceItem,
} from '@fescuestair/state';
import {readBody, sendRefusal} from '@fescuestair/transport';
import {callAtMostOnce} from './claimed-call.js';
import {qualifyRefusal} from './qualify-refusal.js';
import {callRepeatably} from './repeatable-call.js';
import {pickForwardedHeaders} from './service-call.js';
import {sendServiceResponse} from './send-service-response.js';
import {type ServiceTarget} from './service-attempt.js';
import {
	createRefusal, recordRequestStart, recordRequestEnd, recordRefusal, requirePreset, scaleLimit, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const maxBodyBytes = 1_000_000;
const bodyTimeoutMs = 10_000;
const stoppingRetrySeconds = 1;

/** Handles `/v1/services/{service}/...`: forwards the call to an instance of the service. */
export async function handleService(services: EntryServices, caller: CallerRequest, {serviceName, path}: {serviceName: string; path: string}): Promise<void> {
	const {request, response, requestId, organisation} = caller;
	const body = await readBody(request, {maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs}, {response});
	const preset = await requirePreset(services);
	recordRequestStart(services, caller, {
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
			const result = await waitUnlessStopped(services, isRepeatable ? callRepeatably(services, requestId, target) : callAtMostOnce(services, caller, target));
			sendServiceResponse(response, result, requestId);
			services.metrics.observe('service_ms', services.clock.readMonotonicMs() - caller.startedMs, tags);
			recordRequestEnd(services, requestId, {outcome: RequestOutcome.Complete, ran: ExecutionStatus.Ran, status: result.status});
		} finally {
			finish();
		}
	} catch (error) {
		const refusal = qualifyRefusal(services, request, toRefusal(error));

		if (!(error instanceof RefusalError)) {
			services.log.error('service call failed', {requestId}, error);
		}

		recordRefusal(services, caller, {refusal, requestClass: RequestClass.Service});
		sendRefusal(response, refusal, requestId);
	}
}

function createTarget(services: EntryServices, {request, organisation, requestId, startedMs}: CallerRequest, input: {service: ServiceItem; path: string; body: Uint8Array}): ServiceTarget {
	const {service, path, body} = input;
	const headers = {...pickForwardedHeaders(request.headers), [headerNames.requestId]: requestId, [headerNames.organisation]: organisation};

	return {
		service,
		call: {
			method: request.method ?? 'GET', path, headers, body,
		},
		deadlineMs: startedMs + service.timeoutMs,
	};
}

// An entry that can't wait any longer tells the caller. The call goes on, and its outcome is recorded if there is still time.
async function waitUnlessStopped<Result>({stopSignal}: EntryServices, result: Promise<Result>): Promise<Result> {
	let stop: () => void = () => undefined;

	try {
		return await Promise.race([result, new Promise<never>((_resolve, reject) => {
			stop = () => {
				reject(new RefusalError({
					code: RefusalCode.Stopping, message: 'this entry stops and the service has not answered; ask another one', ran: ExecutionStatus.Unknown, retryAfterSeconds: stoppingRetrySeconds,
				}));
			};

			stopSignal.addEventListener('abort', stop);

			if (stopSignal.aborted) {
				stop();
			}
		})]);
	} finally {
		stopSignal.removeEventListener('abort', stop);
	}
}
