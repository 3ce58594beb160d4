import {countVoters, findMember, type Member} from './members.js';

export type MembershipPlanInput = {
	readonly members: readonly Member[];
	/** Replicas that asked to join the group; the id of each comes from its own disk. */
	readonly candidates: readonly Member[];
	/** Gets the time of the last message received from a member; `undefined` if there was none. */
	readonly getLastHeardAtMs: (id: string) => number | undefined;
	readonly nowMs: number;
	/** Number of voters that the group grows to; odd. */
	readonly wantedVoters: number;
	/** A member counts as lost if no message from it was received for this long: a voter may then be replaced, and a learner is removed. */
	readonly lostMs: number;
};

/**
Plans the next membership change, so that the group repairs itself without an operator; `undefined` if no change is needed. In this
order: a replica that lost its disk replaces its former member id at the same address, a candidate replaces a lost voter, and a candidate joins while
there are fewer voters than wanted. This covers deployments in which instances are permanently replaced, one after another.

@example
```
const next = planMembershipChange({members, candidates, getLastHeardAtMs, nowMs, wantedVoters: 5, lostMs: 2000});
```
*/
export function planMembershipChange(plan: MembershipPlanInput): readonly Member[] | undefined {
	const {members, candidates, wantedVoters} = plan;

	// One change at a time: a learner is still catching up, or the member that a new voter replaces has not been removed yet.
	if (members.some(member => !member.isVoter || member.replaces !== undefined)) {
		return removeLostLearner(plan);
	}

	const waiting = candidates.filter(candidate => findMember(members, candidate.id) === undefined);

	for (const candidate of waiting) {
		const previousMember = members.find(member => member.address === candidate.address);

		if (previousMember !== undefined) {
			return [...members, {...candidate, isVoter: false, replaces: previousMember.id}];
		}
	}

	const candidate = waiting[0];

	if (candidate === undefined) {
		return undefined;
	}

	const lost = members.find(member => isLost(plan, member.id));

	if (lost !== undefined) {
		return [...members, {...candidate, isVoter: false, replaces: lost.id}];
	}

	return countVoters(members) < wantedVoters ? [...members, {...candidate, isVoter: false}] : undefined;
}

// A learner that is lost before it has caught up would block further changes for good.
function removeLostLearner(plan: MembershipPlanInput): readonly Member[] | undefined {
	const learner = plan.members.find(member => !member.isVoter);

	return learner !== undefined && isLost(plan, learner.id) ? plan.members.filter(member => member.id !== learner.id) : undefined;
}

// Without a last message time, it is unknown how long a member has been silent, so it does not count as lost.
function isLost({getLastHeardAtMs, nowMs, lostMs}: MembershipPlanInput, id: string): boolean {
	const heardAtMs = getLastHeardAtMs(id);

	return heardAtMs !== undefined && nowMs - heardAtMs >= lostMs;
}
