/** Names of the headers that the system adds to the usual ones. */
export const headerNames = {
	requestId: 'x-request-id',
	organisation: 'x-organisation',
	attempt: 'x-attempt',
	priority: 'x-priority',
	weightVersion: 'x-weight-version',
	fencingToken: 'x-fencing-token',
	/** Group-wide deadline of a request, as milliseconds left when it was sent. */
	timeoutMs: 'x-timeout-ms',
	/** How long a prompt's caller will wait, in milliseconds. */
	ran: 'x-ran',
	idempotencyKey: 'idempotency-key',
	idempotencyReplayed: 'idempotency-replayed',
	lastEventId: 'last-event-id',
	load: 'x-load',
	/** An upstream says with the value 1 that it leaves and takes nothing new. */
	leaving: 'x-leaving',
	/** Seconds, with fractions, for which an upstream that refused with 503 wants nothing from the entry that it refused. */
	retryAfter: 'retry-after',
} as const;
