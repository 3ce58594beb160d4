import {type Member} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {ProposalError, type LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {type Log} from '@fescuestair/runtime';
import {loadIdentity, saveIdentity, type Identity} from './identity.js';

export type GroupDoorOptions = {
	readonly dataFolder: string;
	readonly name: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Set where the whole system starts for the first time and this replica is one of those that begin. */
	readonly firstGroup?: FirstGroup;
};

/** The group that a set of replicas begins with, by addresses that all of them were told alike. */
export type FirstGroup = {readonly ownAddress: string; readonly addresses: readonly string[]};

/** Who this replica is, which group it belongs to, and who waits to be added. */
export type GroupDoor = {
	readonly getIdentity: () => Identity;
	/** Address from which a replica was last heard. */
	readonly findAddress: (id: string) => string | undefined;
	/** Whether a message of another replica is meant for this very identity in its group. */
	readonly accept: (message: Extract<LinkMessage, {kind: LinkKind.Agreement}>) => boolean;
	readonly join: (groupId: string) => Promise<void>;
	readonly noteCandidate: (message: Extract<LinkMessage, {kind: LinkKind.Join}>) => void;
	readonly listCandidates: (members: readonly Member[]) => readonly Member[];
	readonly requireCandidate: (members: readonly Member[], name: string) => Member;
};

const candidateMs = 5000;

/**
Creates the door between a replica and its group. A message that was meant for the identity that a lost disk held is not
taken by the one that follows it.

@example
```
const door = await createGroupDoor({dataFolder, name: 'control-1', clock, log});
```
*/
export async function createGroupDoor({dataFolder, name, clock, log, firstGroup}: GroupDoorOptions): Promise<GroupDoor> {
	let identity = await loadIdentity(dataFolder, name, firstGroup && describeFirst(firstGroup));
	const addresses = new Map<string, string>();
	const candidates = new Map<string, {readonly member: Member; readonly deadlineMs: number}>();

	let joining: Promise<void> | undefined;

	const saveGroup = async (groupId: string) => {
		const joined: Identity = {...identity, groupId};
		await saveIdentity(dataFolder, joined);
		identity = joined;
		log.info('joined a group', {groupId, replicaId: identity.id});
	};

	// Messages that arrive while the identity is being saved find it being saved, and neither save it again nor another group.
	const join = async (groupId: string) => {
		joining ??= saveGroup(groupId);

		return joining;
	};

	const listCandidates = (members: readonly Member[]) => {
		const memberIds = new Set(members.map(member => member.id));

		return [...candidates.values()]
			.filter(candidate => candidate.deadlineMs > clock.readMonotonicMs() && !memberIds.has(candidate.member.id))
			.map(candidate => candidate.member);
	};

	return {
		getIdentity: () => identity,
		findAddress: id => addresses.get(id),
		accept(message) {
			if (message.toId !== identity.id) {
				return false;
			}

			if (identity.groupId === undefined) {
				// The first message takes an unassigned replica into the group; the leader sends it again.
				void join(message.groupId);

				return false;
			}

			addresses.set(message.fromId, message.fromAddress);

			return message.groupId === identity.groupId;
		},
		join,
		noteCandidate({id, name: memberName, address}) {
			const member = {
				id, name: memberName, address, isVoter: false,
			};
			candidates.set(id, {member, deadlineMs: clock.readMonotonicMs() + candidateMs});
		},
		listCandidates,
		requireCandidate(members, memberName) {
			const found = listCandidates(members).find(candidate => candidate.name === memberName);

			if (found === undefined) {
				throw new ProposalError(true, `no replica ${memberName} waits to be added`);
			}

			return found;
		},
	};
}

// Every replica that begins derives the same group from the same addresses, so that exactly one comes of it in whatever order they start.
function describeFirst({ownAddress, addresses}: FirstGroup): Identity {
	const firstMembers = addresses.toSorted().map(address => ({
		id: `first-${address}`, name: address, address, isVoter: true,
	}));

	return {id: `first-${ownAddress}`, groupId: `first-${addresses.toSorted().join(',')}`, firstMembers};
}
