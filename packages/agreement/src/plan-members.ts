import {countVoters, findMember, type Member} from './members.js';

export type MembershipPlan = {
	readonly members: readonly Member[];
	/** Replicas without a place in the group that asked for one; each has an id of its own disk. */
	readonly candidates: readonly Member[];
	/** When a member was last heard; `undefined` where it never was. */
	readonly getHeardAtMs: (id: string) => number | undefined;
	readonly nowMs: number;
	/** Voters that the group grows to; an odd number. */
	readonly wantedVoters: number;
	/** A voter that was not heard for this long may be replaced. */
	readonly lostMs: number;
};

/**
Plans the next change of members by which the group keeps itself whole without an operator: a replica that lost its disk takes the
place of its former self, the group grows to the voters wanted, and a candidate takes the place of a voter that is lost. Answers the
load pattern of instances that are replaced for good, one after another. `undefined` where nothing is to be done.

@example
```
const next = planMembers({members, candidates, getHeardAtMs, nowMs, wantedVoters: 5, lostMs: 2000});
```
*/
export function planMembers(plan: MembershipPlan): readonly Member[] | undefined {
	const {members, candidates, wantedVoters} = plan;

	// One change at a time: a learner is on its way, or a replaced member is about to leave.
	if (members.some(member => !member.isVoter || member.replaces !== undefined)) {
		return dropLostLearner(plan);
	}

	const waiting = candidates.filter(candidate => findMember(members, candidate.id) === undefined);

	for (const candidate of waiting) {
		const former = members.find(member => member.address === candidate.address);

		if (former !== undefined) {
			return [...members, {...candidate, isVoter: false, replaces: former.id}];
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

// A learner that died before it caught up would hold the place for good.
function dropLostLearner(plan: MembershipPlan): readonly Member[] | undefined {
	const learner = plan.members.find(member => !member.isVoter);

	return learner !== undefined && isLost(plan, learner.id) ? plan.members.filter(member => member.id !== learner.id) : undefined;
}

function isLost({getHeardAtMs, nowMs, lostMs}: MembershipPlan, id: string): boolean {
	const heardAtMs = getHeardAtMs(id);

	return heardAtMs !== undefined && nowMs - heardAtMs >= lostMs;
}
