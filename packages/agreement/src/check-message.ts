import {
	isAnyOf, isAnything, isCount, isFiniteNumber, isFlag, isListOf, isOneOf, isOptional, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {EntryKind, PeerMessageKind, type PeerMessage} from './types.js';

/** As long as an address of a first group; ids are shorter. */
const maxNameLength = 1000;
/** Far more than a group has. */
const maxMembers = 100;
/** More than one message carries. */
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

/** Messages of a replica; commands are checked where they are proposed. */
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
