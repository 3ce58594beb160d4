import {invariant, type Step} from '@fescuestair/core';
import {handleAppend, handleSnapshot} from './follower.js';
import {
	handleTimeoutNow, handleVoteReply, handleVoteRequest, startPreVote,
} from './election.js';
import {becomeFollower} from './roles.js';
import {
	changeMembers, handleAppendReply, proposeCommand, sendHeartbeats, transferLeadership,
} from './leader.js';
import {findLatestMembers, getTermAt, sliceEntries} from './log.js';
import {
	MessageKind, PeerMessageKind, ReplicaRole, type Effect, type Message, type PeerMessage, type ReplicaState, type SnapshotMetadata,
} from './types.js';
import {isVoter} from './members.js';

type ReplicaStep = Step<ReplicaState, Effect>;

/**
Advances a replica by one message. Pure: the caller performs the effects. It has to sync `Persist` effects before it performs those
after them, except for messages marked `canSendBeforeSync`.

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
			return proposeCommand(state, message, nowMs);
		}

		case MessageKind.ChangeMembers: {
			return changeMembers(state, message, nowMs);
		}

		case MessageKind.Compacted: {
			return compact(state, message.index);
		}

		case MessageKind.ConfirmLeadership: {
			return state.role === ReplicaRole.Leader ? sendHeartbeats(state, nowMs) : {state, effects: []};
		}

		case MessageKind.TransferLeadership: {
			return transferLeadership(state, nowMs);
		}
	}
}

/**
Checks whether a replica may answer requests as leader: a majority acknowledged it so recently that no other leader can have been
elected. Also false when a process resumes after it was suspended for longer than the lease.

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
	// No majority has acknowledged this leader for a whole election timeout after its lease ended: another leader may have been elected.
	if (nowMs >= state.leaseDeadlineMs + state.timing.electionTimeoutMs) {
		return {state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}), effects: []};
	}

	return nowMs < state.nextHeartbeatAtMs ? {state, effects: []} : sendHeartbeats(state, nowMs);
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

	const log = {snapshot: createSnapshotMetadata(state, index), entries: state.log.entries.filter(entry => entry.index > index)};

	return {state: {...state, log, ...findLatestMembers(log)}, effects: []};
}

/**
Creates the metadata of a snapshot up to a committed index that has not been compacted.

@example
```
const metadata = createSnapshotMetadata(state, state.commitIndex);
```
*/
export function createSnapshotMetadata(state: ReplicaState, index: number): SnapshotMetadata {
	const term = getTermAt(state.log, index);
	invariant(term !== undefined, `index ${index} is not in the log`);
	const logUpToIndex = {...state.log, entries: sliceEntries(state.log, 0, index)};

	return {index, term, members: findLatestMembers(logUpToIndex).members};
}
