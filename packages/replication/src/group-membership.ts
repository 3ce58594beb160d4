import {type Member} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {ProposalError, type LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';
import {loadIdentity, saveIdentity, type Identity} from './identity.js';

export type GroupMembershipOptions = {
	readonly dataFolder: string;
	readonly name: string;
	readonly clock: Clock;
	readonly log: Logger;
	/** Set when the group starts for the first time and this replica is one of its first members. */
	readonly firstGroup?: FirstGroup;
};

/** Addresses of the first members of a group. `addresses` must be the same on all of them, in any order. */
export type FirstGroup = {readonly ownAddress: string; readonly addresses: readonly string[]};

/** Identity of this replica, the group that it belongs to, and the candidates: replicas that asked to be added to the group. */
export type GroupMembership = {
	readonly getIdentity: () => Identity;
	/** Address in the last message that was received from a replica. */
	readonly findAddress: (id: string) => string | undefined;
	/** Whether a message is addressed to this identity and its group. A replica without a group joins that of the first message. */
	readonly accept: (message: Extract<LinkMessage, {kind: LinkMessageKind.Agreement}>) => boolean;
	readonly join: (groupId: string) => Promise<void>;
	readonly recordCandidate: (message: Extract<LinkMessage, {kind: LinkMessageKind.Join}>) => void;
	readonly listCandidates: (members: readonly Member[]) => readonly Member[];
	readonly requireCandidate: (members: readonly Member[], name: string) => Member;
};

/** A candidate that has not repeated its request for this long is no longer listed. */
const candidateLifetimeMs = 5000;

/**
Creates the group membership of a replica. A replica that lost its disk has a new identity and rejects messages addressed
to the earlier one.

@example
```
const group = await createGroupMembership({dataFolder, name: 'control-1', clock, log});
```
*/
export async function createGroupMembership({dataFolder, name, clock, log, firstGroup}: GroupMembershipOptions): Promise<GroupMembership> {
	let identity = await loadIdentity(dataFolder, name, firstGroup && deriveFirstIdentity(firstGroup));
	const addresses = new Map<string, string>();
	const candidates = new Map<string, {readonly member: Member; readonly deadlineMs: number}>();

	let joining: Promise<void> | undefined;

	const saveGroup = async (groupId: string) => {
		const joined: Identity = {...identity, groupId};
		await saveIdentity(dataFolder, joined);
		identity = joined;
		log.info('joined a group', {groupId, replicaId: identity.id});
	};

	// Later calls share the promise of the first: messages that arrive while the group is being saved neither save it again
	// nor save another group.
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
				// The first message assigns this replica to its group. It is not processed: the leader sends it again.
				void join(message.groupId);

				return false;
			}

			addresses.set(message.fromId, message.fromAddress);

			return message.groupId === identity.groupId;
		},
		join,
		recordCandidate({id, name: memberName, address}) {
			const member = {
				id, name: memberName, address, isVoter: false,
			};
			candidates.set(id, {member, deadlineMs: clock.readMonotonicMs() + candidateLifetimeMs});
		},
		listCandidates,
		requireCandidate(members, memberName) {
			const candidate = listCandidates(members).find(one => one.name === memberName);

			if (candidate === undefined) {
				throw new ProposalError(true, `no replica ${memberName} waits to be added`);
			}

			return candidate;
		},
	};
}

// All first members derive the same group from the same addresses, so that exactly one group is created, whatever the order of their starts.
function deriveFirstIdentity({ownAddress, addresses}: FirstGroup): Identity {
	const firstMembers = addresses.toSorted().map(address => ({
		id: `first-${address}`, name: address, address, isVoter: true,
	}));

	return {id: `first-${ownAddress}`, groupId: `first-${addresses.toSorted().join(',')}`, firstMembers};
}
