import {
	isAnyOf, isAnything, isCount, isFiniteNumber, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	AttemptEnd, FateEventKind, FateOutcome, type FateEvent,
} from './request-event.js';
import {type LinkReply} from './link-messages.js';
import {Ran, RefusalCode} from './refusal.js';

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
export const isName = isTextUpTo(maxNameLength);
/** Ages and remaining durations, in ms. */
export const isAgeMs = isNumberIn(0, maxAgeMs);

export const isGossipMessage = isRecordOf({fromId: isName, fromAddress: isName, gossip: isAnything});
export const isPollStateMessage = isRecordOf({publicVersion: isCount});
export const isFindFatesMessage = isRecordOf({requestId: isName});
export const isJoinMessage = isRecordOf({id: isName, name: isName, address: isName});
export const isNoteReturnMessage = isRecordOf({root: isName});

const isHashes = isListOf(isName, maxHashesPerLookup);
export const isFindPiecesMessage = isRecordOf({hashes: isHashes});
export const isNotePiecesMessage = isRecordOf({
	upstreamId: isName, isReset: isFlag, changes: isListOf(isRecordOf({root: isName, hashes: isListOf(isName, maxItems), isHeld: isFlag}), maxItems),
});

const isRequestEventOf = (kind: FateEventKind, fields: Parameters<typeof isRecordOf>[0]) => isRecordOf({
	requestId: isName, atMs: isFiniteNumber, kind: isOneOf([kind]), ...fields,
});
const isCandidate = isRecordOf({
	upstreamId: isName, queueMs: isFiniteNumber, fetchMs: isFiniteNumber, prefillMs: isFiniteNumber, recomputedTokens: isFiniteNumber,
	linkBytes: isFiniteNumber, cost: isFiniteNumber,
});
const isDetailText = isTextUpTo(maxItems);
const isRequestEvent = isAnyOf(
	isRequestEventOf(FateEventKind.Begun, {
		organisation: isName, requestClass: isName, target: isName, entryId: isName, entryIncarnation: isCount, promptTokens: isFiniteNumber, preset: isName,
	}),
	isRequestEventOf(FateEventKind.Planned, {candidates: isListOf(isCandidate, maxItems), chosenId: isName, reason: isDetailText}),
	isRequestEventOf(FateEventKind.Claimed, {token: isCount}),
	isRequestEventOf(FateEventKind.Fetched, {
		attempt: isCount, storeId: isName, wanted: isCount, used: isCount, bytes: isFiniteNumber, detail: isDetailText,
	}),
	isRequestEventOf(FateEventKind.Exported, {
		storeId: isName, wanted: isCount, kept: isCount, bytes: isFiniteNumber,
	}),
	isRequestEventOf(FateEventKind.Dispatched, {attempt: isCount, upstreamId: isName}),
	isRequestEventOf(FateEventKind.FirstToken, {attempt: isCount}),
	isRequestEventOf(FateEventKind.AttemptEnded, {
		attempt: isCount, end: isOneOf(Object.values(AttemptEnd)), detail: isDetailText, offset: isFiniteNumber,
	}),
	isRequestEventOf(FateEventKind.Finished, {
		outcome: isOneOf(Object.values(FateOutcome)), ran: isOneOf(Object.values(Ran)), code: isOptional(isOneOf(Object.values(RefusalCode))), status: isCount,
		tokens: isFiniteNumber,
	}),
) as Guard<unknown> as Guard<FateEvent>;
export const isRecordFatesMessage = isRecordOf({events: isListOf(isRequestEvent, maxRequestEvents)});

const isKeyedItems = isListOf(isTupleOf(isName, isAnything), maxItems);
const isReplyOf = (kind: LinkReply['kind'], fields: Parameters<typeof isRecordOf>[0]) => isRecordOf({kind: isOneOf([kind]), ...fields});

/** Replies of any kind. Fields of unknown type are checked by the packages that read them. */
export const isLinkReply = isAnyOf(
	isReplyOf('hello', {reply: isAnything}),
	isReplyOf('parts', {reply: isAnything, ageMs: isAgeMs}),
	isReplyOf('published', {published: isAnything}),
	isReplyOf('answer', {answer: isAnything}),
	isReplyOf('not_leader', {leaderAddress: isOptional(isName)}),
	isReplyOf('state', {
		ageMs: isOptional(isAgeMs),
		publicVersion: isCount,
		changes: isOptional(isListOf(isRecordOf({version: isCount, upserts: isKeyedItems, removals: isListOf(isName, maxItems)}), maxItems)),
		items: isOptional(isKeyedItems),
		leaderAddress: isOptional(isName),
		controlAddresses: isListOf(isName, maxItems),
	}),
	isReplyOf('fates', {events: isListOf(isRequestEvent, maxRequestEvents)}),
	isReplyOf('pieces', {held: isListOf(isTupleOf(isName, isCount), maxItems)}),
	isReplyOf('noted', {}),
	isReplyOf('returns', {timesSeen: isCount, returns: isRecordOf({seenOnce: isCount, returned: isCount})}),
	isReplyOf('error', {message: isTextUpTo(maxItems)}),
) as Guard<unknown> as Guard<LinkReply>;
