import {RunFault, describeRunFault} from '@fescuestair/streams';
import {ExchangeOutcome, sendLocalResponse, type ExchangeResult} from './exchange.js';
import {type ForwardingContext} from './forwarding-context.js';
import {sendUpstreamResponse} from './send-response.js';

/** Callers that are refused for want of room return no sooner. */
export const minRetryAfterMs = 200;
const maxRetryAfterMs = 2000;
const retryJitterMs = 400;
export const unavailableStatus = 503;
export const badGatewayStatus = 502;

/** Refuses a request that has not run; one that may have run, or whose response has begun, fails instead. Without a delay the caller is not asked to come back for the same. */
export function refuse(context: ForwardingContext, reason: string, retryAfterMs?: number): ExchangeResult {
	const {exchange, options, progress, stream} = context;

	// Status 503 tells the caller that the request was not executed. After an attempt that may have run it, 502 is sent instead.
	if (progress.sentCount > 0 || stream.hasStarted()) {
		return endFailed(context, badGatewayStatus, reason);
	}

	sendLocalResponse(exchange.response, {
		status: unavailableStatus, message: reason, retryAfterMs, shouldClose: options.isLeaving(),
	});

	return {outcome: ExchangeOutcome.Refused, status: unavailableStatus, reason};
}

/**
Ends a request that failed. A response that has already started is aborted, so that the caller does not take the part it received for a complete response. What an instance answered
goes before a failure of the gateway's own.
*/
export function endFailed({exchange, options, stream, failure}: ForwardingContext, status: number, reason: string): ExchangeResult {
	if (failure !== undefined && !stream.hasStarted()) {
		sendUpstreamResponse(exchange.response, {...failure, isLeaving: options.isLeaving()});

		return {outcome: ExchangeOutcome.Failed, status: failure.head.status, reason: `${describeRunFault(RunFault.Status)}; ${reason}`};
	}

	sendLocalResponse(exchange.response, {status, message: reason, shouldClose: options.isLeaving()});

	return {outcome: ExchangeOutcome.Failed, status, reason};
}

/** Computes a Retry-After from an estimate, within bounds. */
export function computeRetryAfterMs(estimateMs: number): number {
	return addJitter(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, estimateMs)));
}

/** Spreads the returns of callers that are given the same delay. */
export function addJitter(timeMs: number): number {
	return timeMs + (Math.random() * retryJitterMs);
}
