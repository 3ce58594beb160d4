import {BaseError} from '@fescuestair/core';

/** Thrown where the content of a file does not match its checksum. The content must not be used. */
export class CorruptFileError extends BaseError {
	constructor(readonly path: string, readonly offset: number, reason: string) {
		super('corrupt_file', `${path} at byte ${offset}: ${reason}`);
	}
}

/** Thrown where a file operation fails. The code is `disk_full` for ENOSPC and `disk_error` for every other cause. */
export class DiskError extends BaseError {
	constructor(readonly path: string, operation: string, cause: unknown) {
		const systemCode = (cause as NodeJS.ErrnoException).code ?? 'unknown';
		super(systemCode === 'ENOSPC' ? 'disk_full' : 'disk_error', `${operation} of ${path} failed: ${systemCode}`, {cause});
	}
}
