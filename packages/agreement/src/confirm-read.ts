import {findMajorityValue} from './members.js';
import {getTermAt} from './log.js';
import {ReplicaRole, type ReplicaState} from './types.js';

/**
Tells whether a majority has acknowledged messages that this leader sent after `requestedAtMs`, so that what it has committed was the
newest at that time. Depends only on the order of the leader's own clock readings and on no lease, so the answer is also right in a
process that was suspended.

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
