import {
	RequestOutcome, ExecutionStatus, RefusalError,
} from '@fescuestair/protocol';
import {sendRefusal} from '@fescuestair/transport';
import {qualifyRefusal} from './qualify-refusal.js';
import {
	recordRequestStart, recordRequestEnd, recordRefusal, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const clientClosedRequestStatus = 499;
const unknownRequestClass = 'unknown';

/** Refuses a request whose class is not known yet, and records its request events. */
export function refuseEarly(services: EntryServices, caller: CallerRequest, error: unknown): void {
	const {request, response, requestId} = caller;
	const refusal = qualifyRefusal(services, request, toRefusal(error));
	recordRequestStart(services, caller, {
		requestClass: unknownRequestClass, target: `${request.method} ${new URL(request.url ?? '/', 'http://entry').pathname}`, promptTokens: 0, preset: 'unknown',
	});

	// The caller closed the connection before its request was complete.
	if (request.destroyed && !request.complete) {
		recordRequestEnd(services, requestId, {outcome: RequestOutcome.Cancelled, ran: ExecutionStatus.NotRun, status: clientClosedRequestStatus});

		return;
	}

	if (!(error instanceof RefusalError)) {
		services.log.error('request failed', {requestId}, error);
	}

	recordRefusal(services, caller, {refusal, requestClass: unknownRequestClass});
	sendRefusal(response, refusal, requestId);
}
