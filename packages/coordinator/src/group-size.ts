import {setTimeout as sleep} from 'node:timers/promises';
import {countVoters, ReplicaRole, type ReplicaState} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';

/** A new group takes in its members one after the other: a few heartbeats for each. */
const growMs = 2500;
const pollMs = 25;

/**
Computes the voters that a group needs so that what it agreed on outlives a number of lost disks.

@example
```
computeLeastVoters(2); //=> 5
```
*/
export function computeLeastVoters(lossesBorne: number): number {
	return (2 * lossesBorne) + 1;
}

export type GrowthOptions = {
	readonly clock: Clock;
	readonly getState: () => ReplicaState | undefined;
	readonly leastVoters: number;
};

/**
Waits, where this replica leads, until its group is large enough for what is to be agreed on; throws where it does not grow in time. Answers
the load pattern of a first start: the first change comes before the group has taken in all its members, and must not be lost with two of them.

@example
```
await waitForVoters({clock, getState: replica.getState, leastVoters: 5});
```
*/
export async function waitForVoters({clock, getState, leastVoters}: GrowthOptions): Promise<void> {
	const deadlineMs = clock.readMonotonicMs() + growMs;
	const isTooSmall = () => {
		const state = getState();

		return state?.role === ReplicaRole.Leader && countVoters(state.members) < leastVoters;
	};

	while (isTooSmall()) {
		if (clock.readMonotonicMs() >= deadlineMs) {
			throw new ProposalError(true, `the group has fewer than ${leastVoters} voters`);
		}

		await sleep(pollMs);
	}
}
