import {BaseError} from '@fescuestair/core';

/** A file's content does not match its checksum or its place: it must not be used. */
export class CorruptFileError extends BaseError {
	constructor(readonly path: string, readonly offset: number, reason: string) {
		super('corrupt_file', `${path} at byte ${offset}: ${reason}`);
	}
}

/** The operating system refused a read, a write or a sync. */
export class DiskError extends BaseError {
	constructor(readonly path: string, operation: string, cause: unknown) {
		const systemCode = (cause as NodeJS.ErrnoException).code ?? 'unknown';
		super(systemCode === 'ENOSPC' ? 'disk_full' : 'disk_error', `${operation} of ${path} failed: ${systemCode}`, {cause});
	}
}
