import {BaseError} from '@fescuestair/core';

/** Whether an upstream executed a request. */
export enum ExecutionStatus {
	NotRun = 'not_run',
	Ran = 'ran',
	Unknown = 'unknown',
}

/** Codes of refusals, as callers receive them. */
export enum RefusalCode {
	BadRequest = 'bad_request',
	BadJson = 'bad_json',
	TooLarge = 'too_large',
	TooSlow = 'too_slow',
	Unauthorized = 'unauthorized',
	NotFound = 'not_found',
	MethodNotAllowed = 'method_not_allowed',
	UnknownModel = 'unknown_model',
	UnknownService = 'unknown_service',
	IdempotencyKeyRequired = 'idempotency_key_required',
	IdempotencyKeyReused = 'idempotency_key_reused',
	LimitReached = 'limit_reached',
	Overloaded = 'overloaded',
	DeadlineTooShort = 'deadline_too_short',
	DeadlinePassed = 'deadline_passed',
	NoUpstream = 'no_upstream',
	/** The limits that upstreams name leave no room for the request now. */
	UpstreamLimited = 'upstream_limited',
	UpstreamFailed = 'upstream_failed',
	Quarantined = 'quarantined',
	OutcomeUnknown = 'outcome_unknown',
	ConfigurationNotFresh = 'configuration_not_fresh',
	NoQuorum = 'no_quorum',
	NoPreset = 'no_preset',
	ResumeGone = 'resume_gone',
	Stopping = 'stopping',
	Internal = 'internal',
}

const httpStatuses: Readonly<Record<RefusalCode, number>> = {
	[RefusalCode.BadRequest]: 400,
	[RefusalCode.BadJson]: 400,
	[RefusalCode.TooLarge]: 413,
	[RefusalCode.TooSlow]: 408,
	[RefusalCode.Unauthorized]: 401,
	[RefusalCode.NotFound]: 404,
	[RefusalCode.MethodNotAllowed]: 405,
	[RefusalCode.UnknownModel]: 404,
	[RefusalCode.UnknownService]: 404,
	[RefusalCode.IdempotencyKeyRequired]: 400,
	[RefusalCode.IdempotencyKeyReused]: 422,
	[RefusalCode.LimitReached]: 429,
	[RefusalCode.Overloaded]: 503,
	[RefusalCode.DeadlineTooShort]: 503,
	[RefusalCode.DeadlinePassed]: 504,
	[RefusalCode.NoUpstream]: 503,
	[RefusalCode.UpstreamLimited]: 503,
	[RefusalCode.UpstreamFailed]: 502,
	[RefusalCode.Quarantined]: 422,
	[RefusalCode.OutcomeUnknown]: 504,
	[RefusalCode.ConfigurationNotFresh]: 503,
	[RefusalCode.NoQuorum]: 503,
	[RefusalCode.NoPreset]: 503,
	[RefusalCode.ResumeGone]: 410,
	[RefusalCode.Stopping]: 503,
	[RefusalCode.Internal]: 500,
};

/** The final response to a request that is not served. */
export type Refusal = {
	readonly code: RefusalCode;
	readonly message: string;
	readonly ran: ExecutionStatus;
	/** Seconds after which the caller may retry; `undefined` if a retry would not help. */
	readonly retryAfterSeconds?: number;
};

/** Ends a request with a refusal. */
export class RefusalError extends BaseError {
	constructor(readonly refusal: Refusal, options?: ErrorOptions) {
		super(refusal.code, refusal.message, options);
	}
}

/** Returns the HTTP status of a refusal. */
export function getRefusalStatus(refusal: Refusal): number {
	return httpStatuses[refusal.code];
}

/**
Formats a refusal as the JSON body of a response, in the format of OpenAI's errors with additional fields.

@example
```
formatRefusal({code: RefusalCode.Overloaded, message: 'all slots are in use', ran: ExecutionStatus.NotRun, retryAfterSeconds: 2}, 'r-1');
```
*/
export function formatRefusal(refusal: Refusal, requestId: string): string {
	const {code, message, ran, retryAfterSeconds} = refusal;
	const error = {
		message, type: 'refusal', code, ran, request_id: requestId, retry_after_seconds: retryAfterSeconds,
	};

	return JSON.stringify({error});
}
