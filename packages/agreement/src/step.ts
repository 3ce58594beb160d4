import {invariant, type Step} from '@fescuestair/core';
import {handleAppend, handleSnapshot} from './follower.js';
import {
	handleTimeoutNow, handleVoteReply, handleVoteRequest, startPreVote,
} from './election.js';
import {becomeFollower} from './roles.js';
import {
	changeMembers, handleAppendReply, propose, sendHeartbeats, transferLeadership,
} from './leader.js';
import {findMembers, getTermAt, sliceEntries} from './log.js';
import {
	MessageKind, PeerMessageKind, ReplicaRole, type Effect, type Message, type PeerMessage, type ReplicaState, type SnapshotMark,
} from './types.js';
import {isVoter} from './members.js';

type ReplicaStep = Step<ReplicaState, Effect>;

/**
Advances a replica by one message. Pure: the caller syncs `Persist` effects before it carries out those after them,
but for messages marked `isBeforeSync`.

@example
```
const {state, effects} = stepReplica(replica, {kind: MessageKind.Tick}, clock.readMonotonicMs());
```
*/
export function stepReplica(state: ReplicaState, message: Message, nowMs: number): ReplicaStep {
	switch (message.kind) {
		case MessageKind.Tick: {
			return tick(state, nowMs);
		}

		case MessageKind.Peer: {
			return handlePeer(state, message.from, message.message, nowMs);
		}

		case MessageKind.Propose: {
			return propose(state, message, nowMs);
		}

		case MessageKind.ChangeMembers: {
			return changeMembers(state, message, nowMs);
		}

		case MessageKind.Compacted: {
			return compact(state, message.index);
		}

		case MessageKind.Confirm: {
			return state.role === ReplicaRole.Leader ? sendHeartbeats(state, nowMs) : {state, effects: []};
		}

		case MessageKind.TransferLeadership: {
			return transferLeadership(state, nowMs);
		}
	}
}

/**
Tells whether a replica may answer as leader: a majority has answered it so lately that no other can have been
elected. False also after the process was frozen.

@example
```
if (!isLeaseHeld(state, clock.readMonotonicMs())) {
	return {kind: 'not_leader'};
}
```
*/
export function isLeaseHeld(state: ReplicaState, nowMs: number): boolean {
	return state.role === ReplicaRole.Leader && nowMs < state.leaseDeadlineMs;
}

function tick(state: ReplicaState, nowMs: number): ReplicaStep {
	if (state.role === ReplicaRole.Leader) {
		return tickLeader(state, nowMs);
	}

	if (nowMs < state.electionDeadlineMs || !isVoter(state.members, state.id)) {
		return {state, effects: []};
	}

	return startPreVote(state, nowMs);
}

function tickLeader(state: ReplicaState, nowMs: number): ReplicaStep {
	// Cut off from the majority for a whole election timeout: another may lead by now.
	if (nowMs >= state.leaseDeadlineMs + state.timing.electionMs) {
		return {state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}), effects: []};
	}

	return nowMs < state.heartbeatDeadlineMs ? {state, effects: []} : sendHeartbeats(state, nowMs);
}

function handlePeer(state: ReplicaState, from: string, message: PeerMessage, nowMs: number): ReplicaStep {
	switch (message.kind) {
		case PeerMessageKind.VoteRequest: {
			return handleVoteRequest(state, from, message, nowMs);
		}

		case PeerMessageKind.VoteReply: {
			return handleVoteReply(state, from, message, nowMs);
		}

		case PeerMessageKind.Append: {
			return handleAppend(state, from, message, nowMs);
		}

		case PeerMessageKind.AppendReply: {
			return handleAppendReply(state, from, message, nowMs);
		}

		case PeerMessageKind.Snapshot: {
			return handleSnapshot(state, from, message, nowMs);
		}

		case PeerMessageKind.TimeoutNow: {
			return handleTimeoutNow(state, message, nowMs);
		}
	}
}

function compact(state: ReplicaState, index: number): ReplicaStep {
	if (index <= state.log.snapshot.index || index > state.commitIndex) {
		return {state, effects: []};
	}

	const log = {snapshot: createMark(state, index), entries: state.log.entries.filter(entry => entry.index > index)};

	return {state: {...state, log, ...findMembers(log)}, effects: []};
}

/**
Creates the mark of a snapshot that ends at a committed index still in the log.

@example
```
const mark = createMark(state, state.commitIndex);
```
*/
export function createMark(state: ReplicaState, index: number): SnapshotMark {
	const term = getTermAt(state.log, index);
	invariant(term !== undefined, `index ${index} is not in the log`);
	const upTo = {...state.log, entries: sliceEntries(state.log, 0, index)};

	return {index, term, members: findMembers(upTo).members};
}
