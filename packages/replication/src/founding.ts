import {type Member} from '@fescuestair/agreement';

/** What a replica says of itself that no leader has assigned to a group: it has promised to belong to one that may not exist yet, or to none. */
export type FoundingReport = {
	readonly id: string;
	readonly address: string;
	/** Group that the replica has promised to belong to; saved on its disk. */
	readonly groupId?: string;
	/** Whether it holds no entry, no snapshot and no term, so that it cannot have acknowledged anything or voted. */
	readonly isEmpty: boolean;
};

export enum FoundingStepKind {
	/** Not all first members have reported, or a group may exist. */
	Wait = 'wait',
	/** The founder chooses a new group and saves it, before it invites anyone. */
	Choose = 'choose',
	/** The founder asks first members for their promise. */
	Invite = 'invite',
	/** All have promised, so the founder writes the first entry. */
	Create = 'create',
}

export type FoundingStep
	= | {readonly kind: FoundingStepKind.Wait}
		| {readonly kind: FoundingStepKind.Choose; readonly previousGroupId: string | undefined}
		| {readonly kind: FoundingStepKind.Invite; readonly invitees: readonly FoundingReport[]}
		| {readonly kind: FoundingStepKind.Create; readonly members: readonly Member[]};

export type DecideFoundingInput = {
	readonly own: FoundingReport;
	/** Sorted addresses of the first members. */
	readonly addresses: readonly string[];
	/** What others said; of two with the same address, the newer one comes first. */
	readonly reports: readonly FoundingReport[];
};

const wait: FoundingStep = {kind: FoundingStepKind.Wait};

/**
Decides how the founder, the first member with the lowest address, goes on. A group is created only if every first member is known to be
empty, and has saved that it belongs to this group: from then on, a first member whose disk was lost finds at least one that does not take
part in another founding, unless the disks of all first members were lost.

@example
```
const step = decideFounding({own, addresses: ['10.0.0.1:1', '10.0.0.2:1'], reports});
```
*/
export function decideFounding({own, addresses, reports}: DecideFoundingInput): FoundingStep {
	const others = addresses
		.filter(address => address !== own.address)
		.map(address => reports.find(report => report.address === address));

	if (own.address !== addresses[0] || !own.isEmpty || !others.every(report => report?.isEmpty === true)) {
		return wait;
	}

	const known = others as readonly FoundingReport[];

	return own.groupId === undefined ? decideGroup(known) : advanceGroup(own, known);
}

// If all others have promised the same group and are empty, its founder has lost its disk before anything was committed.
function decideGroup(others: readonly FoundingReport[]): FoundingStep {
	const previousGroupId = others[0]?.groupId;

	return others.every(report => report.groupId === previousGroupId) ? {kind: FoundingStepKind.Choose, previousGroupId} : wait;
}

function advanceGroup(own: FoundingReport, others: readonly FoundingReport[]): FoundingStep {
	const invitees = others.filter(report => report.groupId !== own.groupId);

	if (invitees.length > 0) {
		return {kind: FoundingStepKind.Invite, invitees};
	}

	const members = [own, ...others].map(({id, address}) => ({
		id, name: address, address, isVoter: true,
	}));

	return {kind: FoundingStepKind.Create, members};
}
