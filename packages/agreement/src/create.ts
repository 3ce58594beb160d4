import {invariant} from '@fescuestair/core';
import {findLatestMembers} from './log.js';
import {computeElectionDeadline} from './election-deadline.js';
import {
	ReplicaRole, type Entry, type ReplicaState, type SnapshotMetadata, type ReplicaTiming,
} from './types.js';

export type ReplicaOptions = {
	readonly id: string;
	readonly nowMs: number;
	/** Identifies the clock that `nowMs` is read from; has to be another one for each run. The id by default. */
	readonly clockId?: string;
	readonly timing?: ReplicaTiming;
	readonly hardState?: {readonly term: number; readonly votedFor: string | undefined};
	readonly snapshot?: SnapshotMetadata;
	readonly entries?: readonly Entry[];
};

const defaultTiming: ReplicaTiming = {heartbeatIntervalMs: 100, electionTimeoutMs: 600, leaseMs: 450};
const emptySnapshot: SnapshotMetadata = {index: 0, term: 0, members: []};

/**
Creates the state of a replica from what was loaded from its disk. A replica without members stays a follower until a leader adds it.

@example
```
const state = createReplica({id: 'control-1.9f86', nowMs: clock.readMonotonicMs()});
```
*/
export function createReplica(options: ReplicaOptions): ReplicaState {
	const {
		id, nowMs, clockId = id, timing = defaultTiming, hardState = {term: 0, votedFor: undefined}, snapshot = emptySnapshot, entries = [],
	} = options;
	invariant(timing.leaseMs < timing.electionTimeoutMs, 'the lease must end before the election timeout, since another leader may be elected then');
	const log = {snapshot, entries};
	const startupElectionTimeoutMs = timing.startupElectionTimeoutMs ?? timing.electionTimeoutMs;

	return {
		id,
		clockId,
		timing,
		role: ReplicaRole.Follower,
		term: hardState.term,
		votedFor: hardState.votedFor,
		leaderId: undefined,
		...findLatestMembers(log),
		log,
		commitIndex: snapshot.index,
		electionDeadlineMs: computeElectionDeadline({
			id, term: hardState.term, timing: {...timing, electionTimeoutMs: startupElectionTimeoutMs}, nowMs,
		}),
		// Before its restart, this replica may have acknowledged a leader whose lease has not expired yet.
		voteAllowedAtMs: nowMs + startupElectionTimeoutMs,
		nextHeartbeatAtMs: 0,
		votes: new Set(),
		progress: new Map(),
		lostLogIds: new Set(),
		leaseDeadlineMs: Number.NEGATIVE_INFINITY,
		receivedConfirmation: undefined,
	};
}
