import {
	isAnyOf, isNonNegativeInteger, isFiniteNumber, isBoolean, isArrayOf, isNumberInRange, isOneOf, isOptional, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {isTraits} from '@fescuestair/crashes';
import {type CommandRequest} from './command-request.js';
import {CommandResponseKind, CommandKind, type CommandResponse} from './types.js';

const maxShortTextLength = 2000;
/** Maximum number of list elements, and of characters in a summary or a reason. */
const maxListOrTextLength = 100_000;
/** 31 days: longer than any lease or retention period. */
const maxDurationMs = 2_678_400_000;

const isShortText = isStringUpTo(maxShortTextLength);
const isDurationMs = isNumberInRange(0, maxDurationMs);
const isShortTextList = isArrayOf(isShortText, maxListOrTextLength);
const isBytes: TypeGuard<Uint8Array> = (value): value is Uint8Array => value instanceof Uint8Array;
const isClaimOutcome = isObjectWith({
	status: isNonNegativeInteger, contentType: isShortText, body: isBytes, isBodyOmitted: isBoolean, isUnframed: isOptional(isBoolean),
});
const isKind = <const Kind extends string>(kind: Kind) => isOneOf([kind]);

/**
Checks a request that another process sent. A committed command reaches every replica: one that cannot be applied would crash all of
them, and again at each restart, so it must not enter the log.
*/
export const isCommandRequest = isAnyOf(
	isObjectWith({
		kind: isKind(CommandKind.ChangeConfig), changeId: isShortText, actor: isShortText, expectedVersion: isNonNegativeInteger,
		upserts: isArrayOf(isTupleOf(isShortText, isObjectWith({kind: isShortText})), maxListOrTextLength), removals: isShortTextList, presetInForce: isOptional(isShortText),
		summary: isStringUpTo(maxListOrTextLength),
	}),
	isObjectWith({
		kind: isKind(CommandKind.Claim), organisation: isShortText, key: isShortText, bodyDigest: isShortText, requestId: isShortText, entryId: isShortText, leaseMs: isDurationMs,
		keepMs: isDurationMs,
	}),
	isObjectWith({
		kind: isKind(CommandKind.RecordOutcome), key: isShortText, token: isNonNegativeInteger, outcome: isOptional(isClaimOutcome),
	}),
	isObjectWith({kind: isKind(CommandKind.Release), key: isShortText, token: isNonNegativeInteger}),
	isObjectWith({
		kind: isKind(CommandKind.MarkOutcomeUnknown), key: isShortText, token: isNonNegativeInteger, isHolderLost: isBoolean,
	}),
	isObjectWith({
		kind: isKind(CommandKind.ReportCrash), fingerprint: isShortText, organisation: isShortText, requestId: isShortText, upstreamId: isShortText, keepMs: isDurationMs,
		unanswered: isOptional(isObjectWith({run: isShortText, traits: isTraits, sentAgeMs: isDurationMs})),
	}),
	isObjectWith({
		kind: isKind(CommandKind.AssignRetry), fingerprint: isShortText, candidateIds: isShortTextList, retryMs: isDurationMs,
	}),
	isObjectWith({
		kind: isKind(CommandKind.ClearSuspicion), fingerprint: isShortText, answered: isOptional(isObjectWith({traits: isTraits, ageMs: isDurationMs})),
	}),
	isObjectWith({kind: isKind(CommandKind.ReserveTrial), traits: isTraits}),
	isObjectWith({kind: isKind(CommandKind.IssueFencingToken)}),
	isObjectWith({kind: isKind(CommandKind.Expire)}),
) as TypeGuard<unknown> as TypeGuard<CommandRequest>;

/** Checks a response of the replicated state that another process sent. */
export const isCommandResponse = isAnyOf(
	isObjectWith({kind: isOneOf([CommandResponseKind.Accepted]), version: isNonNegativeInteger}),
	isObjectWith({kind: isOneOf([CommandResponseKind.VersionConflict]), version: isNonNegativeInteger, last: isOptional(isObjectWith({}))}),
	isObjectWith({kind: isOneOf([CommandResponseKind.Invalid]), reason: isStringUpTo(maxListOrTextLength)}),
	isObjectWith({kind: isOneOf([CommandResponseKind.Granted]), token: isNonNegativeInteger}),
	isObjectWith({
		kind: isOneOf([CommandResponseKind.Running]), token: isNonNegativeInteger, requestId: isShortText, entryId: isShortText, isOverdue: isBoolean,
	}),
	isObjectWith({kind: isOneOf([CommandResponseKind.OutcomeRecorded]), requestId: isShortText, outcome: isClaimOutcome}),
	isObjectWith({kind: isOneOf([CommandResponseKind.OutcomeUnknown]), requestId: isShortText}),
	isObjectWith({kind: isOneOf([CommandResponseKind.KeyReused, CommandResponseKind.TooManyClaims, CommandResponseKind.StaleToken])}),
	isObjectWith({kind: isOneOf([CommandResponseKind.Assigned]), upstreamId: isOptional(isShortText)}),
	isObjectWith({kind: isOneOf([CommandResponseKind.Trial]), isGranted: isBoolean, retryMs: isDurationMs}),
	isObjectWith({kind: isOneOf([CommandResponseKind.Done]), value: isFiniteNumber}),
) as TypeGuard<unknown> as TypeGuard<CommandResponse>;
