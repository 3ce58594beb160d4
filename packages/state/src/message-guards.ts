import {
	isAnyOf, isCount, isFiniteNumber, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {type CommandRequest} from './command-request.js';
import {CommandResponseKind, CommandKind, type CommandResponse} from './types.js';

const maxShortTextLength = 2000;
/** Maximum number of list elements, and of characters in a summary or a reason. */
const maxListOrTextLength = 100_000;
/** 31 days: longer than any lease or retention period. */
const maxDurationMs = 2_678_400_000;

const isShortText = isTextUpTo(maxShortTextLength);
const isDurationMs = isNumberIn(0, maxDurationMs);
const isShortTextList = isListOf(isShortText, maxListOrTextLength);
const isBytes: Guard<Uint8Array> = (value): value is Uint8Array => value instanceof Uint8Array;
const isClaimOutcome = isRecordOf({
	status: isCount, contentType: isShortText, body: isBytes, isBodyOmitted: isFlag,
});
const isKind = <const Kind extends string>(kind: Kind) => isOneOf([kind]);

/**
Checks a request that another process sent. A committed command reaches every replica: one that cannot be applied would crash all of
them, and again at each restart, so it must not enter the log.
*/
export const isCommandRequest = isAnyOf(
	isRecordOf({
		kind: isKind(CommandKind.ChangeConfig), changeId: isShortText, actor: isShortText, expectedVersion: isCount,
		upserts: isListOf(isTupleOf(isShortText, isRecordOf({kind: isShortText})), maxListOrTextLength), removals: isShortTextList, presetInForce: isOptional(isShortText),
		summary: isTextUpTo(maxListOrTextLength),
	}),
	isRecordOf({
		kind: isKind(CommandKind.Claim), organisation: isShortText, key: isShortText, bodyDigest: isShortText, requestId: isShortText, entryId: isShortText, leaseMs: isDurationMs,
		keepMs: isDurationMs,
	}),
	isRecordOf({
		kind: isKind(CommandKind.RecordOutcome), key: isShortText, token: isCount, outcome: isOptional(isClaimOutcome),
	}),
	isRecordOf({kind: isKind(CommandKind.Release), key: isShortText, token: isCount}),
	isRecordOf({
		kind: isKind(CommandKind.MarkOutcomeUnknown), key: isShortText, token: isCount, isHolderLost: isFlag,
	}),
	isRecordOf({
		kind: isKind(CommandKind.ReportCrash), fingerprint: isShortText, organisation: isShortText, requestId: isShortText, upstreamId: isShortText, keepMs: isDurationMs,
	}),
	isRecordOf({
		kind: isKind(CommandKind.AssignRetry), fingerprint: isShortText, candidateIds: isShortTextList, retryMs: isDurationMs,
	}),
	isRecordOf({kind: isKind(CommandKind.ClearSuspicion), fingerprint: isShortText}),
	isRecordOf({kind: isKind(CommandKind.IssueFencingToken)}),
	isRecordOf({kind: isKind(CommandKind.Expire)}),
) as Guard<unknown> as Guard<CommandRequest>;

/** Checks a response of the replicated state that another process sent. */
export const isCommandResponse = isAnyOf(
	isRecordOf({kind: isOneOf([CommandResponseKind.Accepted]), version: isCount}),
	isRecordOf({kind: isOneOf([CommandResponseKind.VersionConflict]), version: isCount, last: isOptional(isRecordOf({}))}),
	isRecordOf({kind: isOneOf([CommandResponseKind.Invalid]), reason: isTextUpTo(maxListOrTextLength)}),
	isRecordOf({kind: isOneOf([CommandResponseKind.Granted]), token: isCount}),
	isRecordOf({
		kind: isOneOf([CommandResponseKind.Running]), token: isCount, requestId: isShortText, entryId: isShortText, isOverdue: isFlag,
	}),
	isRecordOf({kind: isOneOf([CommandResponseKind.OutcomeRecorded]), requestId: isShortText, outcome: isClaimOutcome}),
	isRecordOf({kind: isOneOf([CommandResponseKind.OutcomeUnknown]), requestId: isShortText}),
	isRecordOf({kind: isOneOf([CommandResponseKind.KeyReused, CommandResponseKind.TooManyClaims, CommandResponseKind.StaleToken])}),
	isRecordOf({kind: isOneOf([CommandResponseKind.Assigned]), upstreamId: isOptional(isShortText)}),
	isRecordOf({kind: isOneOf([CommandResponseKind.Done]), value: isFiniteNumber}),
) as Guard<unknown> as Guard<CommandResponse>;
