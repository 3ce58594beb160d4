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
} as const;
