/** Base class of the project's errors; `code` is stable and can be matched by programs. */
export class BaseError extends Error {
	constructor(readonly code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** A violated invariant: a defect in the code, as opposed to invalid input. */
export class InvariantError extends BaseError {
	constructor(message: string) {
		super('invariant', message);
	}
}
