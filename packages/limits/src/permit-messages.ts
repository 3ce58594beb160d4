import {
	isArrayOf, isNumberInRange, isOptional, isObjectWith, type TypeGuard,
} from '@fescuestair/core';
import {isRequestLimitNote, requestLimitNoteGuards, type RequestLimitNote} from '@fescuestair/instances';

/** A question for one permit. */
export type PermitQuestion = RequestLimitNote & {
	/** Longest time for which the request can wait for its permit. */
	readonly maxWaitMs: number;
};

/** The answer to one question, with the limit by which it was decided. */
export type PermitReply = {
	readonly note: RequestLimitNote;
	/** Absent where there is no permit. */
	readonly startInMs?: number;
	readonly retryInMs: number;
};

/** Limit of the questions in one message: those of all gateways of a home within one relay interval. */
const maxListLength = 10_000;
const maxAgeMs = 86_400_000;

const isPermitQuestion = isObjectWith({...requestLimitNoteGuards, maxWaitMs: isNumberInRange(0, maxAgeMs)});

export const isPermitQuestions = isArrayOf(isPermitQuestion, maxListLength) as TypeGuard<unknown> as TypeGuard<readonly PermitQuestion[]>;
export const isPermitReplies = isArrayOf(isObjectWith({
	note: isRequestLimitNote, startInMs: isOptional(isNumberInRange(-maxAgeMs, maxAgeMs)), retryInMs: isNumberInRange(-maxAgeMs, maxAgeMs),
}), maxListLength) as TypeGuard<unknown> as TypeGuard<readonly PermitReply[]>;
