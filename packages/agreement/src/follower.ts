import {type Step} from '@fescuestair/core';
import {takeConfirmation} from './confirmation.js';
import {becomeFollower, createHardStateEffects} from './roles.js';
import {
	appendEntries, findLatestMembers, getLastIndex, getTermAt, sliceEntries,
} from './log.js';
import {
	EffectKind, PeerMessageKind, type AppendMessage, type ClockReading, type Effect, type Entry, type PeerMessage, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type SnapshotMessage = Extract<PeerMessage, {readonly kind: PeerMessageKind.Snapshot}>;

/** Appends entries from the leader and applies those that it has committed. */
export function handleAppend(state: ReplicaState, from: string, message: AppendMessage, nowMs: number): ReplicaStep {
	if (message.term < state.term) {
		return {
			state, effects: [createAppendReply(from, {
				term: state.term, isAccepted: false, index: 0, message,
			})],
		};
	}

	const followerState: ReplicaState = {...followLeader(state, from, message.term, nowMs), receivedConfirmation: takeConfirmation(state, message, nowMs)};
	const hardStateEffects = createHardStateEffects(state, followerState);
	const reading: ClockReading = {clockId: state.clockId, atMs: nowMs};

	if (!hasMatchingPreviousEntry(followerState, message)) {
		const index = findRetryIndex(followerState, message);

		return {
			state: followerState, effects: [...hardStateEffects, createAppendReply(from, {
				term: message.term, isAccepted: false, index, message, reading,
			})],
		};
	}

	const newEntries = findNewEntries(followerState, message.entries);
	const persistStep = persistEntries(followerState, newEntries);
	const matchIndex = message.previousIndex + message.entries.length;
	const committed = commitUpTo(persistStep.state, Math.min(message.commitIndex, matchIndex));

	return {
		state: committed.state,
		effects: [
			...hardStateEffects,
			...persistStep.effects,
			createAppendReply(from, {
				term: message.term, isAccepted: true, index: matchIndex, message, reading,
			}),
			...committed.effects,
		],
	};
}

function followLeader(state: ReplicaState, leaderId: string, term: number, nowMs: number): ReplicaState {
	return {
		...becomeFollower(state, {term, leaderId, nowMs}),
		voteAllowedAtMs: nowMs + state.timing.electionTimeoutMs,
	};
}

function hasMatchingPreviousEntry(state: ReplicaState, message: AppendMessage): boolean {
	// Entries covered by the snapshot are committed, so they match the log of any leader.
	return message.previousIndex < state.log.snapshot.index || getTermAt(state.log, message.previousIndex) === message.previousTerm;
}

function findRetryIndex(state: ReplicaState, message: AppendMessage): number {
	const lastIndex = getLastIndex(state.log);

	if (message.previousIndex > lastIndex) {
		return lastIndex;
	}

	// Skips all entries of the conflicting term, so that the leader needs one message for each term and not for each entry.
	const conflictingTerm = getTermAt(state.log, message.previousIndex);
	let index = message.previousIndex;

	while (index > state.commitIndex && getTermAt(state.log, index) === conflictingTerm) {
		index--;
	}

	return index;
}

function findNewEntries(state: ReplicaState, entries: readonly Entry[]): readonly Entry[] {
	const position = entries.findIndex(entry => entry.index > state.log.snapshot.index && getTermAt(state.log, entry.index) !== entry.term);

	return position === -1 ? [] : entries.slice(position);
}

function persistEntries(state: ReplicaState, entries: readonly Entry[]): ReplicaStep {
	const first = entries[0];

	if (first === undefined) {
		return {state, effects: []};
	}

	const log = appendEntries(state.log, entries);
	const isOverwriting = first.index <= getLastIndex(state.log);
	const persist: Effect = {kind: EffectKind.Persist, entries, ...(isOverwriting && {truncateFrom: first.index})};

	return {state: {...state, log, ...findLatestMembers(log)}, effects: [persist]};
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

/** Installs a snapshot in place of entries that the leader has compacted. */
export function handleSnapshot(state: ReplicaState, from: string, message: SnapshotMessage, nowMs: number): ReplicaStep {
	const reply = (term: number, isAccepted: boolean, index: number): Effect => ({
		kind: EffectKind.Send,
		to: from,
		message: {
			kind: PeerMessageKind.AppendReply, term, isAccepted, index, rejectedIndex: 0, sentAtMs: message.sentAtMs, reading: {clockId: state.clockId, atMs: nowMs},
		},
		canSendBeforeSync: false,
	});

	if (message.term < state.term) {
		return {state, effects: [reply(state.term, false, 0)]};
	}

	const followerState = followLeader(state, from, message.term, nowMs);
	const hardStateEffects = createHardStateEffects(state, followerState);

	if (message.mark.index <= followerState.commitIndex) {
		return {state: followerState, effects: [...hardStateEffects, reply(message.term, true, followerState.commitIndex)]};
	}

	const log = {snapshot: message.mark, entries: []};

	return {
		state: {
			...followerState, log, ...findLatestMembers(log), commitIndex: message.mark.index,
		},
		effects: [
			...hardStateEffects,
			{kind: EffectKind.InstallSnapshot, mark: message.mark, data: message.data},
			reply(message.term, true, message.mark.index),
		],
	};
}

type AppendReplyInput = {
	readonly term: number;
	readonly isAccepted: boolean;
	readonly index: number;
	readonly message: AppendMessage;
	readonly reading?: ClockReading;
};

function createAppendReply(to: string, {term, isAccepted, index, message, reading}: AppendReplyInput): Effect {
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
			...(reading && {reading}),
		},
		canSendBeforeSync: false,
	};
}
