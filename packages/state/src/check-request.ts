import {
	isAnyOf, isCount, isFiniteNumber, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {type Request} from './stamp.js';
import {AnswerKind, CommandKind, type Answer} from './types.js';

const maxNameLength = 2000;
/** Items of one change, or candidates of one retry. */
const maxItems = 100_000;
/** A month, beyond any time for which something is kept. */
const maxSpanMs = 2_678_400_000;

const isName = isTextUpTo(maxNameLength);
const isSpanMs = isNumberIn(0, maxSpanMs);
const isNames = isListOf(isName, maxItems);
const isBytes: Guard<Uint8Array> = (value): value is Uint8Array => value instanceof Uint8Array;
const isOutcome = isRecordOf({
	status: isCount, contentType: isName, body: isBytes, isBodyOmitted: isFlag,
});
const isKind = <const Kind extends string>(kind: Kind) => isOneOf([kind]);

/**
Requests as another process may send them. What is agreed on reaches every replica: one that cannot be applied would end them all, now and
at each start, so it must not get into the log.
*/
export const isStateRequest = isAnyOf(
	isRecordOf({
		kind: isKind(CommandKind.ChangeConfig), changeId: isName, actor: isName, expectedVersion: isCount,
		upserts: isListOf(isTupleOf(isName, isRecordOf({kind: isName})), maxItems), removals: isNames, presetInForce: isOptional(isName),
		summary: isTextUpTo(maxItems),
	}),
	isRecordOf({
		kind: isKind(CommandKind.Claim), organisation: isName, key: isName, bodyDigest: isName, requestId: isName, entryId: isName, leaseMs: isSpanMs,
		keepMs: isSpanMs,
	}),
	isRecordOf({
		kind: isKind(CommandKind.Settle), key: isName, token: isCount, outcome: isOptional(isOutcome),
	}),
	isRecordOf({kind: isKind(CommandKind.Release), key: isName, token: isCount}),
	isRecordOf({
		kind: isKind(CommandKind.Abandon), key: isName, token: isCount, isHolderLost: isFlag,
	}),
	isRecordOf({
		kind: isKind(CommandKind.ReportCrash), fingerprint: isName, organisation: isName, requestId: isName, upstreamId: isName, keepMs: isSpanMs,
	}),
	isRecordOf({
		kind: isKind(CommandKind.AssignRetry), fingerprint: isName, candidateIds: isNames, retryMs: isSpanMs,
	}),
	isRecordOf({kind: isKind(CommandKind.ClearSuspicion), fingerprint: isName}),
	isRecordOf({kind: isKind(CommandKind.TakeFencingNumber)}),
	isRecordOf({kind: isKind(CommandKind.Expire)}),
) as Guard<unknown> as Guard<Request>;

/** Answers of the replicated state as another process may send them. */
export const isStateAnswer = isAnyOf(
	isRecordOf({kind: isOneOf([AnswerKind.Accepted]), version: isCount}),
	isRecordOf({kind: isOneOf([AnswerKind.VersionConflict]), version: isCount, last: isOptional(isRecordOf({}))}),
	isRecordOf({kind: isOneOf([AnswerKind.Invalid]), reason: isTextUpTo(maxItems)}),
	isRecordOf({kind: isOneOf([AnswerKind.Granted]), token: isCount}),
	isRecordOf({
		kind: isOneOf([AnswerKind.Running]), token: isCount, requestId: isName, entryId: isName, isOverdue: isFlag,
	}),
	isRecordOf({kind: isOneOf([AnswerKind.Recorded]), requestId: isName, outcome: isOutcome}),
	isRecordOf({kind: isOneOf([AnswerKind.Unknown]), requestId: isName}),
	isRecordOf({kind: isOneOf([AnswerKind.KeyReused, AnswerKind.TooManyClaims, AnswerKind.StaleToken])}),
	isRecordOf({kind: isOneOf([AnswerKind.Assigned]), upstreamId: isOptional(isName)}),
	isRecordOf({kind: isOneOf([AnswerKind.Done]), value: isFiniteNumber}),
) as Guard<unknown> as Guard<Answer>;
