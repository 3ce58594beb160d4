import {type Member} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {ProposalError, type LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {type Logger} from '@fescuestair/runtime';
import {type FileSystem} from '@fescuestair/storage';
import {decideFounding, FoundingStepKind, type FoundingReport} from './founding.js';
import {loadIdentity, saveIdentity, type Identity} from './identity.js';

export type GroupMembershipOptions = {
	readonly dataFolder: string;
	readonly name: string;
	readonly clock: Clock;
	readonly log: Logger;
	/**
	Set when the group starts for the first time and this replica is one of its first members. It may stay set: a replica whose disk was lost
	founds no other group, but joins the one that exists as a new member.
	*/
	readonly firstGroup?: FirstGroup;
	readonly fileSystem?: FileSystem;
	/** End of a new identity; random by default. */
	readonly createIdSuffix?: () => string;
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
	readonly recordCandidate: (message: JoinMessage) => void;
	readonly listCandidates: (members: readonly Member[]) => readonly Member[];
	readonly requireCandidate: (members: readonly Member[], name: string) => Member;
	/** What to tell a founder; `undefined` once a leader has assigned this replica to a group. */
	readonly describeFounding: (isEmpty: boolean) => JoinMessage['founding'];
	/** On the founder, takes the next step towards the group; returns its members once it can be created. */
	readonly advanceFounding: (isEmpty: boolean, invite: (address: string, invitation: Invitation) => void) => Promise<readonly Member[] | undefined>;
	/** Promises to belong to the group, if this replica is not bound to another one; resolves once that is saved. */
	readonly acceptInvitation: (invitation: Invitation, isEmpty: boolean) => Promise<void>;
};

type JoinMessage = Extract<LinkMessage, {kind: LinkMessageKind.Join}>;

export type Invitation = Omit<Extract<LinkMessage, {kind: LinkMessageKind.InviteToGroup}>, 'kind'>;

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
export async function createGroupMembership(options: GroupMembershipOptions): Promise<GroupMembership> {
	const {
		dataFolder, name, clock, log, firstGroup, fileSystem, createIdSuffix,
	} = options;
	const founding = firstGroup && {ownAddress: firstGroup.ownAddress, addresses: firstGroup.addresses.toSorted()};
	let identity = await loadIdentity(dataFolder, name, {founding, fileSystem, createIdSuffix});
	const addresses = new Map<string, string>();
	const candidates = new Map<string, Candidate>();

	let saving: Promise<void> | undefined;

	const saveGroup = async (joined: Identity) => {
		await saveIdentity(dataFolder, joined, fileSystem);
		identity = joined;
		log.info('joined a group', {groupId: identity.groupId, replicaId: identity.id});
	};

	// Later calls share the promise of the first: messages that arrive while the group is being saved neither save it again
	// nor save another group.
	const join = async (groupId: string) => {
		if (identity.groupId === undefined) {
			saving ??= saveGroup({id: identity.id, groupId});
		}

		return saving;
	};

	const promise = async (groupId: string) => {
		saving = saveGroup({...identity, groupId, isPromised: true});

		try {
			await saving;
		} finally {
			saving = undefined;
		}
	};

	const isAssigned = () => identity.groupId !== undefined && identity.isPromised !== true;

	const listFoundingReports = (): readonly FoundingReport[] => [...candidates.values()]
		.filter(candidate => candidate.deadlineMs > clock.readMonotonicMs())
		.flatMap(({founding, member: {id, address}}) => founding === undefined ? [] : [{id, address, ...founding}])
		// A replica whose disk was lost has reported under both identities.
		.toReversed();

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
		recordCandidate({
			id, name: memberName, address, founding,
		}) {
			const member = {
				id, name: memberName, address, isVoter: false,
			};
			// The newest one comes last.
			candidates.delete(id);
			candidates.set(id, {member, founding, deadlineMs: clock.readMonotonicMs() + candidateLifetimeMs});
		},
		listCandidates,
		requireCandidate(members, memberName) {
			const candidate = listCandidates(members).find(one => one.name === memberName);

			if (candidate === undefined) {
				throw new ProposalError(true, `no replica ${memberName} waits to be added`);
			}

			return candidate;
		},
		describeFounding: isEmpty => isAssigned() ? undefined : {groupId: identity.groupId, isEmpty},
		async advanceFounding(isEmpty, invite) {
			const {id: ownId, groupId, founding: first} = identity;

			if (first === undefined || saving !== undefined) {
				return undefined;
			}

			const own = {
				id: ownId, address: first.ownAddress, groupId, isEmpty,
			};
			const step = decideFounding({own, addresses: first.addresses, reports: listFoundingReports()});

			switch (step.kind) {
				case FoundingStepKind.Wait: {
					return undefined;
				}

				case FoundingStepKind.Choose: {
					await promise(`g-${ownId}`);

					return undefined;
				}

				case FoundingStepKind.Invite: {
					for (const {id, address, groupId: previousGroupId} of step.invitees) {
						invite(address, {toId: id, groupId: groupId!, previousGroupId});
					}

					return undefined;
				}

				case FoundingStepKind.Create: {
					return step.members;
				}
			}
		},
		async acceptInvitation({toId, groupId, previousGroupId}, isEmpty) {
			if (toId === identity.id && !isAssigned() && isEmpty && saving === undefined && previousGroupId === identity.groupId) {
				await promise(groupId);
			}
		},
	};
}

type Candidate = {
	readonly member: Member;
	readonly founding: JoinMessage['founding'];
	readonly deadlineMs: number;
};
