import {BaseError} from '@fescuestair/core';
import {ExecutionStatus, type AttemptOutcome} from '@fescuestair/protocol';

/** Thrown when an attempt at an upstream ended before the answer was complete. */
export class AttemptError extends BaseError {
	/** `status` is that of the upstream's response where this is a refusal. */
	constructor(readonly end: AttemptOutcome, detail: string, readonly ran = ExecutionStatus.Unknown, readonly status?: number) {
		super('attempt', detail);
	}
}

const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Whether the connection could not be established, so that nothing can have been sent. */
export function isConnectError(error: unknown): boolean {
	return connectCodes.has((error as NodeJS.ErrnoException).code ?? '');
}
