import {setTimeout as sleep} from 'node:timers/promises';
import {countVoters, ReplicaRole, type ReplicaState} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';

/** Long enough for a new group to add its members: they are added one at a time, and each takes a few heartbeats. */
const groupGrowthTimeoutMs = 2500;
const pollIntervalMs = 25;

/**
Computes how many voters a group needs so that committed entries survive the loss of a given number of disks.

@example
```
computeRequiredVoters(2); //=> 5
```
*/
export function computeRequiredVoters(lossesBorne: number): number {
	return (2 * lossesBorne) + 1;
}

export type WaitForVotersOptions = {
	readonly clock: Clock;
	readonly getState: () => ReplicaState | undefined;
	readonly requiredVoters: number;
};

/**
If this replica leads, waits until the group has the required number of voters; throws if that takes too long. On the first start, a change
can arrive before all members have been added; committed by fewer voters, it could be lost with the disks of two of them.

@example
```
await waitForVoters({clock, getState: replica.getState, requiredVoters: 5});
```
*/
export async function waitForVoters({clock, getState, requiredVoters}: WaitForVotersOptions): Promise<void> {
	const deadlineMs = clock.readMonotonicMs() + groupGrowthTimeoutMs;
	const isTooSmall = () => {
		const state = getState();

		return state?.role === ReplicaRole.Leader && countVoters(state.members) < requiredVoters;
	};

	while (isTooSmall()) {
		if (clock.readMonotonicMs() >= deadlineMs) {
			throw new ProposalError(true, `the group has fewer than ${requiredVoters} voters`);
		}

		await sleep(pollIntervalMs);
	}
}
