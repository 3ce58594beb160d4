import {invariant} from '@fescuestair/core';
import {findMembers} from './log.js';
import {computeElectionDeadline} from './timing.js';
import {
	ReplicaRole, type Entry, type ReplicaState, type SnapshotMark, type Timing,
} from './types.js';

export type ReplicaOptions = {
	readonly id: string;
	readonly nowMs: number;
	readonly timing?: Timing;
	readonly hardState?: {readonly term: number; readonly votedFor: string | undefined};
	readonly snapshot?: SnapshotMark;
	readonly entries?: readonly Entry[];
};

const defaultTiming: Timing = {heartbeatMs: 100, electionMs: 600, leaseMs: 450};
const emptySnapshot: SnapshotMark = {index: 0, term: 0, members: []};

/**
Creates the state of a replica from what it found on its disk. A replica without members waits to be added.

@example
```
const state = createReplica({id: 'control-1.9f86', nowMs: clock.readMonotonicMs()});
```
*/
export function createReplica(options: ReplicaOptions): ReplicaState {
	const {
		id, nowMs, timing = defaultTiming, hardState = {term: 0, votedFor: undefined}, snapshot = emptySnapshot, entries = [],
	} = options;
	invariant(timing.leaseMs < timing.electionMs, 'the lease must end before another replica may be elected');
	const log = {snapshot, entries};
	const startElectionMs = timing.startElectionMs ?? timing.electionMs;

	return {
		id,
		timing,
		role: ReplicaRole.Follower,
		term: hardState.term,
		votedFor: hardState.votedFor,
		leaderId: undefined,
		...findMembers(log),
		log,
		commitIndex: snapshot.index,
		electionDeadlineMs: computeElectionDeadline({
			id, term: hardState.term, timing: {...timing, electionMs: startElectionMs}, nowMs,
		}),
		// Before its restart this replica may have heard from a leader whose lease still runs.
		voteDeadlineMs: nowMs + startElectionMs,
		heartbeatDeadlineMs: 0,
		votes: new Set(),
		progress: new Map(),
		leaseDeadlineMs: Number.NEGATIVE_INFINITY,
	};
}
