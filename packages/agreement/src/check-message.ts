import {
	isAnyOf, isAnything, isCount, isFiniteNumber, isFlag, isListOf, isOneOf, isOptional, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {EntryKind, PeerMessageKind, type PeerMessage} from './types.js';

/** Limit for ids, names and addresses. First members are named after their addresses, which can be this long; generated ids are shorter. */
const maxNameLength = 1000;
/** Well above the size of any group. */
const maxMembers = 100;
/** Above the number of entries that a leader sends in one message. */
const maxEntries = 10_000;

const isName = isTextUpTo(maxNameLength);
const isMember = isRecordOf({
	id: isName, name: isName, address: isName, isVoter: isFlag, replaces: isOptional(isName),
});
const isMembers = isListOf(isMember, maxMembers);
const isPayload = isAnyOf(
	isRecordOf({kind: isOneOf([EntryKind.Noop])}),
	isRecordOf({kind: isOneOf([EntryKind.Members]), members: isMembers}),
	isRecordOf({kind: isOneOf([EntryKind.Command]), command: isAnything}),
);
const isEntry = isRecordOf({index: isCount, term: isCount, payload: isPayload});

/** Checks the form of a message from another replica. Commands in log entries are not checked here but where they are proposed. */
export const isPeerMessage = isAnyOf(
	isRecordOf({
		kind: isOneOf([PeerMessageKind.Append]), term: isCount, previousIndex: isCount, previousTerm: isCount, entries: isListOf(isEntry, maxEntries),
		commitIndex: isCount, sentAtMs: isFiniteNumber,
	}),
	isRecordOf({
		kind: isOneOf([PeerMessageKind.AppendReply]), term: isCount, isAccepted: isFlag, index: isCount, rejectedIndex: isCount, sentAtMs: isFiniteNumber,
	}),
	isRecordOf({
		kind: isOneOf([PeerMessageKind.VoteRequest]), term: isCount, lastIndex: isCount, lastTerm: isCount, isPreVote: isFlag, isTransfer: isFlag,
	}),
	isRecordOf({
		kind: isOneOf([PeerMessageKind.VoteReply]), term: isCount, isPreVote: isFlag, isGranted: isFlag,
	}),
	isRecordOf({
		kind: isOneOf([PeerMessageKind.Snapshot]), term: isCount, data: isAnything, sentAtMs: isFiniteNumber,
		mark: isRecordOf({index: isCount, term: isCount, members: isMembers}),
	}),
	isRecordOf({kind: isOneOf([PeerMessageKind.TimeoutNow]), term: isCount}),
) as Guard<unknown> as Guard<PeerMessage>;
