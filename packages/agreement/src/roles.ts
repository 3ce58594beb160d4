import {computeElectionDeadline} from './election-deadline.js';
import {
	EffectKind, ReplicaRole, type Effect, type ReplicaState,
} from './types.js';

type BecomeFollowerInput = {
	readonly term: number;
	readonly leaderId: string | undefined;
	readonly nowMs: number;
};

/** Turns a replica into a follower of the leader, if one is known. Its vote is kept in the same term and cleared in a later one. */
export function becomeFollower(state: ReplicaState, {term, leaderId, nowMs}: BecomeFollowerInput): ReplicaState {
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

/** Creates the effect that persists the term and vote; none if neither changed. */
export function createHardStateEffects(before: ReplicaState, after: ReplicaState): readonly Effect[] {
	if (before.term === after.term && before.votedFor === after.votedFor) {
		return [];
	}

	return [{kind: EffectKind.Persist, hardState: {term: after.term, votedFor: after.votedFor}}];
}
