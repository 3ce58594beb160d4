import {computeElectionDeadline} from './timing.js';
import {
	EffectKind, ReplicaRole, type Effect, type ReplicaState,
} from './types.js';

type FollowInput = {
	readonly term: number;
	readonly leaderId: string | undefined;
	readonly nowMs: number;
};

/** Follows a leader, or nobody yet. A vote is kept within its term and forgotten in a later one. */
export function becomeFollower(state: ReplicaState, {term, leaderId, nowMs}: FollowInput): ReplicaState {
	return {
		...state,
		role: ReplicaRole.Follower,
		term,
		votedFor: term === state.term ? state.votedFor : undefined,
		leaderId,
		electionDeadlineMs: computeElectionDeadline({
			id: state.id, term, timing: state.timing, nowMs,
		}),
		votes: new Set(),
		progress: new Map(),
		leaseDeadlineMs: Number.NEGATIVE_INFINITY,
	};
}

/** The effects that make a changed term or vote durable; none where neither changed. */
export function persistHardState(before: ReplicaState, after: ReplicaState): readonly Effect[] {
	if (before.term === after.term && before.votedFor === after.votedFor) {
		return [];
	}

	return [{kind: EffectKind.Persist, hardState: {term: after.term, votedFor: after.votedFor}}];
}
