import {findMajorityValue} from './members.js';
import {getTermAt} from './log.js';
import {ReplicaRole, type ReplicaState} from './types.js';

/**
Tells whether a majority has answered messages that this leader sent after `sinceMs`, so that what it has committed was the
newest at that moment. Rests on no clock but the order of the leader's own readings, so a process that stood still cannot be wrong.

@example
```
isReadConfirmed(state, askedAtMs);
```
*/
export function isReadConfirmed(state: ReplicaState, sinceMs: number): boolean {
	if (state.role !== ReplicaRole.Leader || getTermAt(state.log, state.commitIndex) !== state.term) {
		return false;
	}

	const confirmedMs = findMajorityValue(
		state.members,
		id => id === state.id ? Number.POSITIVE_INFINITY : state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY,
	);

	return confirmedMs > sinceMs;
}
