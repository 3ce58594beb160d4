/** Names of the headers that the system defines, or uses with a meaning of its own. */
export const headerNames = {
	requestId: 'x-request-id',
	organisation: 'x-organisation',
	attempt: 'x-attempt',
	priority: 'x-priority',
	weightVersion: 'x-weight-version',
	/** Version of an engine's software, in its answers. */
	softwareVersion: 'x-software-version',
	fencingToken: 'x-fencing-token',
	/** Time left until the end-to-end deadline of a request, in ms, counted from when the request was sent. */
	timeoutMs: 'x-timeout-ms',
	/** Whether an upstream executed a refused request: a value of `ExecutionStatus`. */
	ran: 'x-ran',
	idempotencyKey: 'idempotency-key',
	idempotencyReplayed: 'idempotency-replayed',
	lastEventId: 'last-event-id',
	load: 'x-load',
	/** Value 1: the upstream is leaving and accepts no new requests. */
	leaving: 'x-leaving',
	/** Back-off that an upstream requests with a 503: seconds, possibly fractional, during which this entry sends it no further requests. */
	retryAfter: 'retry-after',
	/** Requests per second, possibly fractional, that an upstream accepts from all entries together, for as long as its responses say so. */
	requestLimit: 'x-request-limit',
} as const;
