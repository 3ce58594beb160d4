import {
	isAnyOf, isUnknown, isNonNegativeInteger, isFiniteNumber, isBoolean, isArrayOf, isNumberInRange, isOneOf, isOptional, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {
	AttemptOutcome, RequestEventKind, RequestOutcome, type RequestEvent,
} from './request-event.js';
import {type LinkReply} from './link-messages.js';
import {ExecutionStatus, RefusalCode} from './refusal.js';

/** Length of names, addresses and ids of daemons, instances, requests and groups; the id of an initial group is made of its members' addresses. */
const maxNameLength = 1000;
/** Piece hashes of one prompt: a million tokens in pieces of a thousand. */
const maxHashesPerLookup = 1000;
/** Items of the configuration, instances, members and other arrays in one message. */
const maxItems = 100_000;
const maxRequestEvents = 10_000;
/** One day, far longer than any age that is sent. */
const maxAgeMs = 86_400_000;

/** Names, addresses and ids. */
export const isName = isStringUpTo(maxNameLength);
/** Ages and remaining durations, in ms. */
export const isAgeMs = isNumberInRange(0, maxAgeMs);

export const isGossipMessage = isObjectWith({fromId: isName, fromAddress: isName, gossip: isUnknown});
export const isPollStateMessage = isObjectWith({publicVersion: isNonNegativeInteger});
export const isFindRequestEventsMessage = isObjectWith({requestId: isName});
export const isRunResumedMessage = isObjectWith({organisation: isName, requestId: isName});
const isFounding = isObjectWith({groupId: isOptional(isName), isEmpty: isBoolean});
export const isJoinMessage = isObjectWith({
	id: isName, name: isName, address: isName, founding: isOptional(isFounding),
});
export const isInviteToGroupMessage = isObjectWith({toId: isName, groupId: isName, previousGroupId: isOptional(isName)});
export const isRecordReuseMessage = isObjectWith({root: isName});

const isHashes = isArrayOf(isName, maxHashesPerLookup);
export const isFindPiecesMessage = isObjectWith({hashes: isHashes});
export const isRecordPiecesMessage = isObjectWith({
	upstreamId: isName, isReset: isBoolean, changes: isArrayOf(isObjectWith({root: isName, hashes: isArrayOf(isName, maxItems), isHeld: isBoolean}), maxItems),
});

const isRequestEventOf = (kind: RequestEventKind, fields: Parameters<typeof isObjectWith>[0]) => isObjectWith({
	requestId: isName, atMs: isFiniteNumber, kind: isOneOf([kind]), ...fields,
});
const isCandidate = isObjectWith({
	upstreamId: isName, queueMs: isFiniteNumber, fetchMs: isFiniteNumber, prefillMs: isFiniteNumber, recomputedTokens: isFiniteNumber,
	linkBytes: isFiniteNumber, cost: isFiniteNumber,
});
const isDetailText = isStringUpTo(maxItems);
const isRequestEvent = isAnyOf(
	isRequestEventOf(RequestEventKind.Started, {
		organisation: isName, requestClass: isName, target: isName, entryId: isName, entryIncarnation: isNonNegativeInteger, promptTokens: isFiniteNumber, preset: isName,
	}),
	isRequestEventOf(RequestEventKind.Planned, {candidates: isArrayOf(isCandidate, maxItems), chosenId: isName, reason: isDetailText}),
	isRequestEventOf(RequestEventKind.Claimed, {token: isNonNegativeInteger}),
	isRequestEventOf(RequestEventKind.Fetched, {
		attempt: isNonNegativeInteger, storeId: isName, wanted: isNonNegativeInteger, used: isNonNegativeInteger, bytes: isFiniteNumber, detail: isDetailText,
	}),
	isRequestEventOf(RequestEventKind.Exported, {
		storeId: isName, wanted: isNonNegativeInteger, kept: isNonNegativeInteger, bytes: isFiniteNumber,
	}),
	isRequestEventOf(RequestEventKind.Dispatched, {attempt: isNonNegativeInteger, upstreamId: isName}),
	isRequestEventOf(RequestEventKind.FirstToken, {attempt: isNonNegativeInteger}),
	isRequestEventOf(RequestEventKind.AttemptEnded, {
		attempt: isNonNegativeInteger, end: isOneOf(Object.values(AttemptOutcome)), detail: isDetailText, offset: isFiniteNumber,
	}),
	isRequestEventOf(RequestEventKind.RunDecided, {
		attempt: isNonNegativeInteger, upstreamId: isName, evidence: isName, action: isName, silentMs: isFiniteNumber, successorId: isOptional(isName), obstacle: isOptional(isName),
	}),
	isRequestEventOf(RequestEventKind.Finished, {
		outcome: isOneOf(Object.values(RequestOutcome)), ran: isOneOf(Object.values(ExecutionStatus)), code: isOptional(isOneOf(Object.values(RefusalCode))), status: isNonNegativeInteger,
		tokens: isFiniteNumber,
	}),
) as TypeGuard<unknown> as TypeGuard<RequestEvent>;
export const isRecordRequestEventsMessage = isObjectWith({events: isArrayOf(isRequestEvent, maxRequestEvents)});

const isKeyedItems = isArrayOf(isTupleOf(isName, isUnknown), maxItems);
const isReplyOf = (kind: LinkReply['kind'], fields: Parameters<typeof isObjectWith>[0]) => isObjectWith({kind: isOneOf([kind]), ...fields});

/** Replies of any kind. Fields of unknown type are checked by the packages that read them. */
export const isLinkReply = isAnyOf(
	isReplyOf('hello', {reply: isUnknown}),
	isReplyOf('parts', {reply: isUnknown, ageMs: isAgeMs}),
	isReplyOf('permits', {replies: isUnknown}),
	isReplyOf('trial', {trial: isUnknown}),
	isReplyOf('stream_origins', {origins: isUnknown}),
	isReplyOf('published', {published: isUnknown}),
	isReplyOf('answer', {answer: isUnknown}),
	isReplyOf('not_leader', {leaderAddress: isOptional(isName)}),
	isReplyOf('state', {
		ageMs: isOptional(isAgeMs),
		publicVersion: isNonNegativeInteger,
		changes: isOptional(isArrayOf(isObjectWith({version: isNonNegativeInteger, upserts: isKeyedItems, removals: isArrayOf(isName, maxItems)}), maxItems)),
		items: isOptional(isKeyedItems),
		leaderAddress: isOptional(isName),
		controlAddresses: isArrayOf(isName, maxItems),
	}),
	isReplyOf('fates', {events: isArrayOf(isRequestEvent, maxRequestEvents)}),
	isReplyOf('pieces', {held: isArrayOf(isTupleOf(isName, isNonNegativeInteger), maxItems)}),
	isReplyOf('noted', {}),
	isReplyOf('returns', {timesSeen: isNonNegativeInteger, returns: isObjectWith({seenOnce: isNonNegativeInteger, returned: isNonNegativeInteger})}),
	isReplyOf('error', {message: isStringUpTo(maxItems)}),
) as TypeGuard<unknown> as TypeGuard<LinkReply>;
