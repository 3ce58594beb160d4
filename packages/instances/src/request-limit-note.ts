import {
	isArrayOf, isNonNegativeInteger, isNumberInRange, isOptional, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';

/** What a daemon knows about the limit of one run of an instance, as sent to another daemon. */
export type RequestLimitNote = {
	readonly id: string;
	readonly incarnation: number;
	/** Absent where the instance names no limit any more. */
	readonly perSecond?: number;
	/** Time since the answer that said so arrived; a span, since clocks differ. */
	readonly ageMs: number;
	/** How much longer the instance is cold, as far as the sender knows; absent where it is not. */
	readonly coldLeftMs?: number;
	/** Requests per second that it is sent meanwhile, for daemons that do not know its service. */
	readonly coldPerSecond?: number;
};

const maxNameLength = 500;
/** Limit of instances in one message: ten times the size that the system is designed for. */
const maxListLength = 10_000;
const maxAgeMs = 86_400_000;

export const requestLimitNoteGuards = {
	id: isStringUpTo(maxNameLength), incarnation: isNonNegativeInteger, perSecond: isOptional(isNumberInRange(0, Number.MAX_SAFE_INTEGER)), ageMs: isNumberInRange(0, maxAgeMs),
	coldLeftMs: isOptional(isNumberInRange(0, maxAgeMs)), coldPerSecond: isOptional(isNumberInRange(0, Number.MAX_SAFE_INTEGER)),
};

export const isRequestLimitNote = isObjectWith(requestLimitNoteGuards) as TypeGuard<unknown> as TypeGuard<RequestLimitNote>;
export const isRequestLimitNotes = isArrayOf(isRequestLimitNote, maxListLength);
