import {
	FateOutcome, Ran, RefusalError,
} from '@fescuestair/protocol';
import {sendRefusal} from '@fescuestair/transport';
import {qualifyRefusal} from './qualify-refusal.js';
import {
	recordBegun, recordFinished, recordRefused, toRefusal, type CallerRequest, type EntryServices,
} from './request-context.js';

const closedStatus = 499;
const requestClass = 'unknown';

/** Refuses a request that was turned away before its class was known, and keeps its fate. */
export function refuseEarly(services: EntryServices, caller: CallerRequest, error: unknown): void {
	const {request, response, requestId} = caller;
	const refusal = qualifyRefusal(services, request, toRefusal(error));
	recordBegun(services, caller, {
		requestClass, target: `${request.method} ${new URL(request.url ?? '/', 'http://entry').pathname}`, promptTokens: 0, preset: 'unknown',
	});

	// The caller hung up before its request was whole.
	if (request.destroyed && !request.complete) {
		recordFinished(services, requestId, {outcome: FateOutcome.Cancelled, ran: Ran.NotRun, status: closedStatus});

		return;
	}

	if (!(error instanceof RefusalError)) {
		services.log.error('request failed', {requestId}, error);
	}

	recordRefused(services, caller, {refusal, requestClass});
	sendRefusal(response, refusal, requestId);
}
