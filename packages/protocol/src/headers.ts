/** Names of the headers that the system defines, or uses with a meaning of its own. */
export const headerNames = {
	requestId: 'x-request-id',
	organisation: 'x-organisation',
	attempt: 'x-attempt',
	priority: 'x-priority',
	weightVersion: 'x-weight-version',
	fencingToken: 'x-fencing-token',
	/** Deadline of a request in the whole system, as the milliseconds that remained when it was sent. */
	timeoutMs: 'x-timeout-ms',
	/** Whether an upstream executed a refused request: a value of `ExecutionStatus`. */
	ran: 'x-ran',
	idempotencyKey: 'idempotency-key',
	idempotencyReplayed: 'idempotency-replayed',
	lastEventId: 'last-event-id',
	load: 'x-load',
	/** Value 1: the upstream is leaving and accepts no new requests. */
	leaving: 'x-leaving',
	/** Seconds, possibly fractional, for which an upstream that responded with 503 asks that entry for no further requests. */
	retryAfter: 'retry-after',
} as const;
