import {type Step} from '@fescuestair/core';
import {becomeFollower, persistHardState} from './roles.js';
import {
	appendEntries, findMembers, getLastIndex, getTermAt, sliceEntries,
} from './log.js';
import {
	EffectKind, PeerMessageKind, type AppendMessage, type Effect, type Entry, type PeerMessage, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type SnapshotMessage = Extract<PeerMessage, {readonly kind: PeerMessageKind.Snapshot}>;

/** Takes entries and word of what is committed from the leader. */
export function handleAppend(state: ReplicaState, from: string, message: AppendMessage, nowMs: number): ReplicaStep {
	if (message.term < state.term) {
		return {
			state, effects: [replyAppend(from, {
				term: state.term, isAccepted: false, index: 0, message,
			})],
		};
	}

	const following = followLeader(state, from, message.term, nowMs);
	const persisted = persistHardState(state, following);

	if (!hasPrevious(following, message)) {
		const index = findRetryIndex(following, message);

		return {
			state: following, effects: [...persisted, replyAppend(from, {
				term: message.term, isAccepted: false, index, message,
			})],
		};
	}

	const fresh = findNewEntries(following, message.entries);
	const stored = storeEntries(following, fresh);
	const matchIndex = message.previousIndex + message.entries.length;
	const committed = commitUpTo(stored.state, Math.min(message.commitIndex, matchIndex));

	return {
		state: committed.state,
		effects: [
			...persisted,
			...stored.effects,
			replyAppend(from, {
				term: message.term, isAccepted: true, index: matchIndex, message,
			}),
			...committed.effects,
		],
	};
}

function followLeader(state: ReplicaState, leaderId: string, term: number, nowMs: number): ReplicaState {
	return {
		...becomeFollower(state, {term, leaderId, nowMs}),
		voteDeadlineMs: nowMs + state.timing.electionMs,
	};
}

function hasPrevious(state: ReplicaState, message: AppendMessage): boolean {
	// What the snapshot covers is committed, so it matches any leader's log.
	return message.previousIndex < state.log.snapshot.index || getTermAt(state.log, message.previousIndex) === message.previousTerm;
}

function findRetryIndex(state: ReplicaState, message: AppendMessage): number {
	const lastIndex = getLastIndex(state.log);

	if (message.previousIndex > lastIndex) {
		return lastIndex;
	}

	// Skips back over the whole term that disagrees.
	const wrongTerm = getTermAt(state.log, message.previousIndex);
	let index = message.previousIndex;

	while (index > state.commitIndex && getTermAt(state.log, index) === wrongTerm) {
		index--;
	}

	return index;
}

function findNewEntries(state: ReplicaState, entries: readonly Entry[]): readonly Entry[] {
	const position = entries.findIndex(entry => entry.index > state.log.snapshot.index && getTermAt(state.log, entry.index) !== entry.term);

	return position === -1 ? [] : entries.slice(position);
}

function storeEntries(state: ReplicaState, entries: readonly Entry[]): ReplicaStep {
	const first = entries[0];

	if (first === undefined) {
		return {state, effects: []};
	}

	const log = appendEntries(state.log, entries);
	const isOverwriting = first.index <= getLastIndex(state.log);
	const persist: Effect = {kind: EffectKind.Persist, entries, ...(isOverwriting && {truncateFrom: first.index})};

	return {state: {...state, log, ...findMembers(log)}, effects: [persist]};
}

function commitUpTo(state: ReplicaState, index: number): ReplicaStep {
	if (index <= state.commitIndex) {
		return {state, effects: []};
	}

	return {
		state: {...state, commitIndex: index},
		effects: [{kind: EffectKind.Apply, entries: sliceEntries(state.log, state.commitIndex + 1, index)}],
	};
}

/** Takes a whole snapshot in place of entries that the leader no longer keeps. */
export function handleSnapshot(state: ReplicaState, from: string, message: SnapshotMessage, nowMs: number): ReplicaStep {
	const reply = (term: number, isAccepted: boolean, index: number): Effect => ({
		kind: EffectKind.Send,
		to: from,
		message: {
			kind: PeerMessageKind.AppendReply, term, isAccepted, index, rejectedIndex: 0, sentAtMs: message.sentAtMs,
		},
		isBeforeSync: false,
	});

	if (message.term < state.term) {
		return {state, effects: [reply(state.term, false, 0)]};
	}

	const following = followLeader(state, from, message.term, nowMs);
	const persisted = persistHardState(state, following);

	if (message.mark.index <= following.commitIndex) {
		return {state: following, effects: [...persisted, reply(message.term, true, following.commitIndex)]};
	}

	const log = {snapshot: message.mark, entries: []};

	return {
		state: {
			...following, log, ...findMembers(log), commitIndex: message.mark.index,
		},
		effects: [
			...persisted,
			{kind: EffectKind.InstallSnapshot, mark: message.mark, data: message.data},
			reply(message.term, true, message.mark.index),
		],
	};
}

type ReplyInput = {
	readonly term: number;
	readonly isAccepted: boolean;
	readonly index: number;
	readonly message: AppendMessage;
};

function replyAppend(to: string, {term, isAccepted, index, message}: ReplyInput): Effect {
	return {
		kind: EffectKind.Send,
		to,
		message: {
			kind: PeerMessageKind.AppendReply,
			term,
			isAccepted,
			index,
			rejectedIndex: message.previousIndex,
			sentAtMs: message.sentAtMs,
		},
		isBeforeSync: false,
	};
}
