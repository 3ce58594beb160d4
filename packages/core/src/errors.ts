/** Base of every error the project throws; `code` is stable and meant for programs. */
export class BaseError extends Error {
	constructor(readonly code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** A condition that the code relies on does not hold: a defect, not bad input. */
export class InvariantError extends BaseError {
	constructor(message: string) {
		super('invariant', message);
	}
}
