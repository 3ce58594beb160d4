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
	if (state.role !== ReplicaRole.Leader || getTermAt(state.log, state.commitIndex) !== state.term) {
		return false;
	}

	const majorityAckedSentAtMs = findMajorityValue(
		state.members,
		id => id === state.id ? Number.POSITIVE_INFINITY : state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY,
	);

	return majorityAckedSentAtMs > requestedAtMs;
}
