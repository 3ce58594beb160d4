/** A replica of the group. Its id changes when the replica loses its disk; its name stays the same. */
export type Member = {
	readonly id: string;
	readonly name: string;
	/** `host:port` on which the replica listens for links from other daemons. */
	readonly address: string;
	/** False for a learner, which receives the log without voting and becomes a voter once it has caught up. */
	readonly isVoter: boolean;
	/** Id of the member that is removed once this one is a voter. */
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
Checks whether an id belongs to a voter.

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

/** Finds the largest value that a majority of voters has reached or passed. */
export function findMajorityValue(members: readonly Member[], getValue: (id: string) => number): number {
	const values = members.filter(member => member.isVoter).map(member => getValue(member.id)).toSorted((a, b) => b - a);

	return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

/** Checks whether the ids include a majority of the voters. */
export function isMajority(members: readonly Member[], ids: ReadonlySet<string>): boolean {
	const count = members.filter(member => member.isVoter && ids.has(member.id)).length;

	return count > countVoters(members) / 2;
}

/**
Derives the members after the next step of an addition or replacement in progress; `undefined` if no step is due. A learner that has
caught up is promoted to voter, then the member that it replaces is removed. Members change one at a time, so that any majority before a
change and any majority after it have a voter in common.
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
