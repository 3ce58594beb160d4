import {
	isAnyOf, isAnything, isCount, isFiniteNumber, isFlag, isListOf, isNumberIn, isOneOf, isOptional, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {
	AttemptEnd, FateEventKind, FateOutcome, type FateEvent,
} from './fate.js';
import {type LinkReply} from './link-messages.js';
import {Ran, RefusalCode} from './refusal.js';

/** Names, addresses and ids of daemons, instances, requests and groups; a first group is named by the addresses of its members. */
const maxNameLength = 1000;
/** Hashes of the pieces of one prompt: a million tokens in pieces of a thousand. */
const maxHashes = 1000;
/** Items of the configuration, instances, members and what else one message lists. */
const maxItems = 100_000;
const maxFates = 10_000;
/** A day, far beyond any age that is told. */
const maxAgeMs = 86_400_000;

/** Names, addresses and ids. */
export const isName = isTextUpTo(maxNameLength);
/** Ages and spans that are left, in ms. */
export const isAgeMs = isNumberIn(0, maxAgeMs);

export const isGossipMessage = isRecordOf({fromId: isName, fromAddress: isName, gossip: isAnything});
export const isPollStateMessage = isRecordOf({publicVersion: isCount});
export const isFindFatesMessage = isRecordOf({requestId: isName});
export const isJoinMessage = isRecordOf({id: isName, name: isName, address: isName});
export const isNoteReturnMessage = isRecordOf({root: isName});

const isHashes = isListOf(isName, maxHashes);
export const isFindPiecesMessage = isRecordOf({hashes: isHashes});
export const isNotePiecesMessage = isRecordOf({
	upstreamId: isName, isReset: isFlag, changes: isListOf(isRecordOf({root: isName, hashes: isListOf(isName, maxItems), isHeld: isFlag}), maxItems),
});

const isFateOf = (kind: FateEventKind, fields: Parameters<typeof isRecordOf>[0]) => isRecordOf({
	requestId: isName, atMs: isFiniteNumber, kind: isOneOf([kind]), ...fields,
});
const isCandidate = isRecordOf({
	upstreamId: isName, queueMs: isFiniteNumber, fetchMs: isFiniteNumber, prefillMs: isFiniteNumber, recomputedTokens: isFiniteNumber,
	linkBytes: isFiniteNumber, cost: isFiniteNumber,
});
const isDetail = isTextUpTo(maxItems);
const isFateEvent = isAnyOf(
	isFateOf(FateEventKind.Begun, {
		organisation: isName, requestClass: isName, target: isName, entryId: isName, entryIncarnation: isCount, promptTokens: isFiniteNumber, preset: isName,
	}),
	isFateOf(FateEventKind.Planned, {candidates: isListOf(isCandidate, maxItems), chosenId: isName, reason: isDetail}),
	isFateOf(FateEventKind.Claimed, {token: isCount}),
	isFateOf(FateEventKind.Fetched, {
		attempt: isCount, storeId: isName, wanted: isCount, used: isCount, bytes: isFiniteNumber, detail: isDetail,
	}),
	isFateOf(FateEventKind.Exported, {
		storeId: isName, wanted: isCount, kept: isCount, bytes: isFiniteNumber,
	}),
	isFateOf(FateEventKind.Dispatched, {attempt: isCount, upstreamId: isName}),
	isFateOf(FateEventKind.FirstToken, {attempt: isCount}),
	isFateOf(FateEventKind.AttemptEnded, {
		attempt: isCount, end: isOneOf(Object.values(AttemptEnd)), detail: isDetail, offset: isFiniteNumber,
	}),
	isFateOf(FateEventKind.Finished, {
		outcome: isOneOf(Object.values(FateOutcome)), ran: isOneOf(Object.values(Ran)), code: isOptional(isOneOf(Object.values(RefusalCode))), status: isCount,
		tokens: isFiniteNumber,
	}),
) as Guard<unknown> as Guard<FateEvent>;
export const isRecordFatesMessage = isRecordOf({events: isListOf(isFateEvent, maxFates)});

const isKeyedItems = isListOf(isTupleOf(isName, isAnything), maxItems);
const isReplyOf = (kind: LinkReply['kind'], fields: Parameters<typeof isRecordOf>[0]) => isRecordOf({kind: isOneOf([kind]), ...fields});

/** Replies of any kind. What a field that holds anything holds is checked by the package that reads it. */
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
	isReplyOf('fates', {events: isListOf(isFateEvent, maxFates)}),
	isReplyOf('pieces', {held: isListOf(isTupleOf(isName, isCount), maxItems)}),
	isReplyOf('noted', {}),
	isReplyOf('returns', {timesSeen: isCount, returns: isRecordOf({seenOnce: isCount, returned: isCount})}),
	isReplyOf('error', {message: isTextUpTo(maxItems)}),
) as Guard<unknown> as Guard<LinkReply>;
