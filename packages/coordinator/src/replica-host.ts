import fs from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	findMember, isEmptyReplica, ReplicaRole, type PeerMessage, type ReplicaState, type ReplicaTiming,
} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {LinkMessageKind, ProposalError, type LinkMessage} from '@fescuestair/protocol';
import {
	createGroupMembership, createReplicaRunner, type FirstGroup, type GroupMembership, type Invitation, type ReplicaRunner,
} from '@fescuestair/replication';
import {type Logger} from '@fescuestair/runtime';
import {createLogStore} from '@fescuestair/storage';
import {type Links} from '@fescuestair/transport';
import {
	applyPublish, createPublishedState, decodePublishedState, encodePublishedState, type PublishAnswer, type PublishCommand, type PublishedState,
} from './published-state.js';

/** How this replica learnt of a state. */
export enum PublishedSource {
	/** It leads, and the command was committed under it. */
	OwnCommit = 'own_commit',
	/** From its log, which another leader has committed; entries from before its start included. */
	Log = 'log',
	/** From the snapshot on its disk. */
	StoredSnapshot = 'stored_snapshot',
	/** From a snapshot that another replica sent. */
	ReceivedSnapshot = 'received_snapshot',
}

export type ReplicaHostOptions = {
	readonly name: string;
	readonly linkAddress: string;
	readonly dataFolder: string;
	/** The first members; `undefined` unless the whole system starts for the first time and this coordinator is one of them. */
	readonly firstGroup: FirstGroup | undefined;
	readonly clock: Clock;
	readonly links: Links;
	readonly log: Logger;
	readonly timing: ReplicaTiming;
	/** Called with each state that is newer than the previous one, also while the log is replayed on opening. */
	readonly onPublished: (state: PublishedState, source: PublishedSource) => void;
	/** Called with each state that differs from the one before only in the recorded ages of targets. */
	readonly onAgesRecorded: (state: PublishedState) => void;
};

/** The replica of this coordinator. It is reopened after a disk failure until the host is stopped. */
export type ReplicaHost = {
	readonly groupMembership: GroupMembership;
	/** The request to be added to the group; sent to all coordinators while this one is not a current member. */
	readonly createJoinMessage: () => Extract<LinkMessage, {kind: LinkMessageKind.Join}>;
	readonly receiveInvitation: (invitation: Invitation) => void;
	readonly receive: (message: Extract<LinkMessage, {kind: LinkMessageKind.Agreement}>) => void;
	readonly propose: (command: PublishCommand) => Promise<PublishAnswer>;
	readonly confirmRead: () => Promise<void>;
	/** `undefined` between a disk failure and the next successful opening. */
	readonly getRunner: () => ReplicaRunner | undefined;
	readonly getState: () => ReplicaState | undefined;
	readonly getPublished: () => PublishedState;
	readonly findLeaderAddress: () => string | undefined;
	/** The term in which this replica leads; `undefined` if it does not lead or its lease has expired. */
	readonly getLeadingTerm: () => number | undefined;
	readonly stop: () => Promise<void>;
};

/** Delay between attempts to reopen a replica after a disk failure. */
const reopenDelayMs = 1000;
/** Kept low because an entry may hold a whole configuration of several hundred KB. */
const snapshotIntervalEntries = 64;
const retainedLogEntries = 16;
const tickIntervalMs = 50;
/** Interval of the steps towards a group that is founded. */
const foundingIntervalMs = 100;

/**
Creates the replica of a coordinator and reopens it after disk failures.

@example
```
const replica = await createReplicaHost({name: 'core-1', dataFolder: '/data', ...rest});
```
*/
export async function createReplicaHost(options: ReplicaHostOptions): Promise<ReplicaHost> {
	const {
		name, linkAddress, dataFolder, firstGroup, clock, links, log, timing, onPublished, onAgesRecorded,
	} = options;
	const folder = path.join(dataFolder, 'agreement');
	await fs.mkdir(folder, {recursive: true});
	const groupMembership = await createGroupMembership({
		dataFolder, name, clock, log, firstGroup,
	});
	let published = createPublishedState();
	let runner: ReplicaRunner | undefined;
	let isStopped = false;
	let wasLeading = false;

	// A reopened replica first replays older states from its disk; the newest state that was published stays in place.
	const publish = (state: PublishedState, source: PublishedSource) => {
		if (state.revision > published.revision) {
			published = state;
			onPublished(state, source);
		} else if (state.revision === published.revision && state.targets !== published.targets) {
			published = state;
			onAgesRecorded(state);
		}
	};

	const isLeader = () => runner?.getState().role === ReplicaRole.Leader;

	const send = (toId: string, message: PeerMessage) => {
		const address = findMember(runner?.getState().members ?? [], toId)?.address ?? groupMembership.findAddress(toId);
		const {id: fromId, groupId} = groupMembership.getIdentity();

		if (address !== undefined && groupId !== undefined) {
			links.send(address, {
				kind: LinkMessageKind.Agreement, groupId, fromId, fromAddress: linkAddress, toId, message,
			} satisfies LinkMessage);
		}
	};

	const openRunner = async () => {
		let state = createPublishedState();
		const identity = groupMembership.getIdentity();

		return createReplicaRunner({
			id: identity.id,
			clock,
			store: createLogStore({folder}),
			machine: {
				apply(command) {
					const answer = applyPublish(state, command as PublishCommand);
					state = answer.state;
					publish(state, isLeader() ? PublishedSource.OwnCommit : PublishedSource.Log);

					return answer;
				},
				encode: () => encodePublishedState(state),
				decode(data) {
					state = decodePublishedState(data);
					publish(state, runner === undefined ? PublishedSource.StoredSnapshot : PublishedSource.ReceivedSnapshot);
				},
			},
			send,
			onFailure: handleRunnerFailure,
			snapshotIntervalEntries,
			retainedEntries: retainedLogEntries,
			tickMs: tickIntervalMs,
			timing,
			firstMembers: identity.firstMembers,
		});
	};

	const handleRunnerFailure = (error: unknown) => {
		log.error('the replica lost its disk for now', {reason: String(error)});
		runner = undefined;
		setTimeout(reopenRunner, reopenDelayMs);
	};

	const reopenRunner = async () => {
		if (isStopped) {
			return;
		}

		try {
			runner = await openRunner();
			log.info('replica reopened after a disk failure');
		} catch (error) {
			handleRunnerFailure(error);
		}
	};

	const requireRunner = () => {
		if (runner === undefined) {
			throw new ProposalError(true, 'the disk of this replica fails');
		}

		return runner;
	};

	const getLeadingTerm = () => {
		const term = runner?.canServeReads() ? runner.getState().term : undefined;

		if ((term !== undefined) !== wasLeading) {
			wasLeading = term !== undefined;
			log.info(wasLeading ? 'leads the group' : 'leads the group no longer', {term: runner?.getState().term});
		}

		return term;
	};

	const isEmpty = () => runner !== undefined && isEmptyReplica(runner.getState());

	const createJoinMessage = () => {
		const founding = groupMembership.describeFounding(isEmpty());
		const {id} = groupMembership.getIdentity();

		return {
			kind: LinkMessageKind.Join as const, id, name, address: linkAddress, ...(founding && {founding}),
		};
	};

	const invite = (address: string, invitation: Invitation) => {
		links.send(address, {kind: LinkMessageKind.InviteToGroup, ...invitation} satisfies LinkMessage);
	};

	const reportToFounder = () => {
		const founderAddress = groupMembership.getIdentity().founding?.addresses[0];

		if (founderAddress !== undefined && founderAddress !== linkAddress) {
			links.send(founderAddress, createJoinMessage());
		}
	};

	const advanceFounding = async () => {
		reportToFounder();
		const members = await groupMembership.advanceFounding(isEmpty(), invite);

		if (members !== undefined) {
			log.info('the group is created', {members: members.map(member => member.id)});
			await runner?.changeMembers(members);
		}
	};

	const isFounding = () => !isStopped && groupMembership.getIdentity().founding !== undefined && (runner === undefined || isEmpty());

	const runFounding = async () => {
		if (isFounding()) {
			log.info('waits until all first members have reported, or until a group adds this replica', {
				founder: groupMembership.getIdentity().founding?.addresses[0], firstMembers: groupMembership.getIdentity().founding?.addresses,
			});
		}

		while (isFounding()) {
			try {
				await advanceFounding();
			} catch (error) {
				log.warn('the group was not founded yet', {reason: String(error)});
			}

			await sleep(foundingIntervalMs);
		}
	};

	runner = await openRunner();

	void runFounding();

	return {
		groupMembership,
		createJoinMessage,
		receiveInvitation(invitation) {
			void (async () => {
				try {
					await groupMembership.acceptInvitation(invitation, isEmpty());
					reportToFounder();
				} catch (error) {
					log.error('the group could not be saved', {groupId: invitation.groupId, reason: String(error)});
				}
			})();
		},
		receive(message) {
			if (groupMembership.accept(message)) {
				runner?.receive(message.fromId, message.message as PeerMessage);
			}
		},
		propose: async command => await requireRunner().propose(command) as PublishAnswer,
		confirmRead: async () => requireRunner().confirmRead(),
		getRunner: () => runner,
		getState: () => runner?.getState(),
		getPublished: () => published,
		findLeaderAddress() {
			const state = runner?.getState();

			return state?.leaderId === undefined || state.role === ReplicaRole.Leader ? undefined : findMember(state.members, state.leaderId)?.address;
		},
		getLeadingTerm,
		async stop() {
			isStopped = true;
			runner?.transferLeadership();
			await runner?.stop();
		},
	};
}
