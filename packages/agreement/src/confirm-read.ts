import {findMajorityValue} from './members.js';
import {getTermAt} from './log.js';
import {ReplicaRole, type ReplicaState} from './types.js';

/**
Checks whether a majority has acknowledged messages that this leader sent after `requestedAtMs`. If so, no later leader had been elected by
that time, and this leader's committed entries were the latest. The check compares readings of the leader's own clock only and relies on no
lease, so it is also correct in a process that was suspended.

@example
```
isReadConfirmed(state, requestedAtMs);
```
*/
export function isReadConfirmed(state: ReplicaState, requestedAtMs: number): boolean {
	return findConfirmedAtMs(state) > requestedAtMs;
}

/**
Finds when the latest messages were sent that a majority has acknowledged to this leader: its commit index holds all that had been committed by then. -Infinity where it does not lead, or has committed no entry
of its own term, which those of earlier leaders come before; Infinity where it is the only voter.
*/
export function findConfirmedAtMs(state: ReplicaState): number {
	if (state.role !== ReplicaRole.Leader || getTermAt(state.log, state.commitIndex) !== state.term) {
		return Number.NEGATIVE_INFINITY;
	}

	return findMajorityAckedAtMs(state);
}

/** Finds when the latest messages were sent that a majority has acknowledged to this leader; Infinity where it is the only voter, which needs no acknowledgement. */
export function findMajorityAckedAtMs({id: ownId, members, progress}: ReplicaState): number {
	return findMajorityValue(members, id => id === ownId ? Number.POSITIVE_INFINITY : progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY);
}
