/** One replica of the group. Its id changes when its disk is lost, its name does not. */
export type Member = {
	readonly id: string;
	readonly name: string;
	/** `host:port` of its link listener. */
	readonly address: string;
	/** A learner receives the log and does not vote; it becomes a voter once it has caught up. */
	readonly isVoter: boolean;
	/** The member that leaves once this one votes. */
	readonly replaces?: string;
};

/**
Finds a member by id.

@example
```
findMember(state.members, 'control-1.9f86')?.address;
```
*/
export function findMember(members: readonly Member[], id: string): Member | undefined {
	return members.find(member => member.id === id);
}

/**
Tells whether an id belongs to a voter.

@example
```
isVoter(state.members, state.id);
```
*/
export function isVoter(members: readonly Member[], id: string): boolean {
	return findMember(members, id)?.isVoter ?? false;
}

/**
Counts the voters.

@example
```
const majority = Math.floor(countVoters(members) / 2) + 1;
```
*/
export function countVoters(members: readonly Member[]): number {
	return members.filter(member => member.isVoter).length;
}

/** Finds the largest value that a majority of voters has reached. */
export function findMajorityValue(members: readonly Member[], getValue: (id: string) => number): number {
	const values = members.filter(member => member.isVoter).map(member => getValue(member.id)).toSorted((a, b) => b - a);

	return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

/** Tells whether the ids hold a majority of the voters. */
export function isMajority(members: readonly Member[], ids: ReadonlySet<string>): boolean {
	const count = members.filter(member => member.isVoter && ids.has(member.id)).length;

	return count > countVoters(members) / 2;
}

/**
Derives the next step of a replacement under way: a learner that caught up becomes a voter, then the member it
replaces leaves. One change at a time, so that any two majorities before and after share a voter.
*/
export function deriveNextMembers(members: readonly Member[], isCaughtUp: (id: string) => boolean): readonly Member[] | undefined {
	const replacing = members.find(member => member.isVoter && member.replaces !== undefined);

	if (replacing !== undefined) {
		return members
			.filter(member => member.id !== replacing.replaces)
			.map(member => member.id === replacing.id ? {...member, replaces: undefined} : member);
	}

	const learner = members.find(member => !member.isVoter && isCaughtUp(member.id));

	return learner && members.map(member => member.id === learner.id ? {...member, isVoter: true} : member);
}
