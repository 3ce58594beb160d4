import {
	isAnyOf, isUnknown, isNonNegativeInteger, isFiniteNumber, isBoolean, isArrayOf, isOneOf, isOptional, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';
import {EntryKind, PeerMessageKind, type PeerMessage} from './types.js';

/** Limit for ids, names and addresses. First members are named after their addresses, which can be this long; generated ids are shorter. */
const maxNameLength = 1000;
/** Well above the size of any group. */
const maxMembers = 100;
/** Above the number of entries that a leader sends in one message. */
const maxEntries = 10_000;

const isName = isStringUpTo(maxNameLength);
const isMember = isObjectWith({
	id: isName, name: isName, address: isName, isVoter: isBoolean, replaces: isOptional(isName),
});
const isMembers = isArrayOf(isMember, maxMembers);
const isClockReading = isObjectWith({clockId: isName, atMs: isFiniteNumber});
const isPayload = isAnyOf(
	isObjectWith({kind: isOneOf([EntryKind.Noop])}),
	isObjectWith({kind: isOneOf([EntryKind.Members]), members: isMembers}),
	isObjectWith({kind: isOneOf([EntryKind.Command]), command: isUnknown}),
);
const isEntry = isObjectWith({index: isNonNegativeInteger, term: isNonNegativeInteger, payload: isPayload});

/** Checks the form of a message from another replica. Commands in log entries are not checked here but where they are proposed. */
export const isPeerMessage = isAnyOf(
	isObjectWith({
		kind: isOneOf([PeerMessageKind.Append]), term: isNonNegativeInteger, previousIndex: isNonNegativeInteger, previousTerm: isNonNegativeInteger, entries: isArrayOf(isEntry, maxEntries),
		commitIndex: isNonNegativeInteger, sentAtMs: isFiniteNumber, confirmedForMs: isOptional(isFiniteNumber), reading: isOptional(isClockReading),
	}),
	isObjectWith({
		kind: isOneOf([PeerMessageKind.AppendReply]), term: isNonNegativeInteger, isAccepted: isBoolean, index: isNonNegativeInteger, rejectedIndex: isNonNegativeInteger, sentAtMs: isFiniteNumber,
		reading: isOptional(isClockReading),
	}),
	isObjectWith({
		kind: isOneOf([PeerMessageKind.VoteRequest]), term: isNonNegativeInteger, lastIndex: isNonNegativeInteger, lastTerm: isNonNegativeInteger, isPreVote: isBoolean, isTransfer: isBoolean,
	}),
	isObjectWith({
		kind: isOneOf([PeerMessageKind.VoteReply]), term: isNonNegativeInteger, isPreVote: isBoolean, isGranted: isBoolean,
	}),
	isObjectWith({
		kind: isOneOf([PeerMessageKind.Snapshot]), term: isNonNegativeInteger, data: isUnknown, sentAtMs: isFiniteNumber,
		mark: isObjectWith({index: isNonNegativeInteger, term: isNonNegativeInteger, members: isMembers}),
	}),
	isObjectWith({kind: isOneOf([PeerMessageKind.TimeoutNow]), term: isNonNegativeInteger}),
) as TypeGuard<unknown> as TypeGuard<PeerMessage>;
