import fs from 'node:fs/promises';
import path from 'node:path';
import {
	findMember, ReplicaRole, type PeerMessage, type ReplicaState, type Timing,
} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {LinkKind, ProposalError, type LinkMessage} from '@fescuestair/protocol';
import {
	createGroupDoor, createReplicaRunner, type FirstGroup, type GroupDoor, type ReplicaRunner,
} from '@fescuestair/replication';
import {type Log} from '@fescuestair/runtime';
import {createLogStore} from '@fescuestair/storage';
import {type Links} from '@fescuestair/transport';
import {
	applyPublish, createPublishedState, decodePublishedState, encodePublishedState, type PublishAnswer, type PublishCommand, type PublishedState,
} from './published-state.js';

export type ReplicaHostOptions = {
	readonly name: string;
	readonly linkAddress: string;
	readonly dataFolder: string;
	readonly firstGroup: FirstGroup | undefined;
	readonly clock: Clock;
	readonly links: Links;
	readonly log: Log;
	readonly timing: Timing;
	/** Called with each state that is newer than the one before, also while the replica is being opened. */
	readonly onPublished: (state: PublishedState, isLeading: boolean) => void;
};

/** The replica of this coordinator. It is opened anew after its disk failed, for as long as the process runs. */
export type ReplicaHost = {
	readonly door: GroupDoor;
	readonly receive: (message: Extract<LinkMessage, {kind: LinkKind.Agreement}>) => void;
	readonly propose: (command: PublishCommand) => Promise<PublishAnswer>;
	readonly confirmRead: () => Promise<void>;
	/** `undefined` while the disk fails. */
	readonly getRunner: () => ReplicaRunner | undefined;
	readonly getState: () => ReplicaState | undefined;
	readonly getPublished: () => PublishedState;
	readonly findLeaderAddress: () => string | undefined;
	/** The term in which this replica leads; `undefined` where it does not, or may not know. */
	readonly getLeadingTerm: () => number | undefined;
	readonly stop: () => Promise<void>;
};

/** Between attempts to open a replica whose disk failed. */
const reopenMs = 1000;
/** Entries between snapshots: each may hold a whole configuration of some hundred KB. */
const snapshotEvery = 64;
const keptEntries = 16;
const tickMs = 50;

/**
Creates the replica of a coordinator and keeps it open.

@example
```
const replica = await createReplicaHost({name: 'core-1', dataFolder: '/data', ...rest});
```
*/
export async function createReplicaHost(options: ReplicaHostOptions): Promise<ReplicaHost> {
	const {
		name, linkAddress, dataFolder, firstGroup, clock, links, log, timing, onPublished,
	} = options;
	const folder = path.join(dataFolder, 'agreement');
	await fs.mkdir(folder, {recursive: true});
	const door = await createGroupDoor({
		dataFolder, name, clock, log, firstGroup,
	});
	let published = createPublishedState();
	let runner: ReplicaRunner | undefined;
	let isStopped = false;
	let wasLeading = false;

	// A replica that is opened anew reads an older state from its disk first; what was published stays the newest.
	const publish = (state: PublishedState) => {
		if (state.revision > published.revision) {
			published = state;
			onPublished(state, runner?.getState().role === ReplicaRole.Leader);
		}
	};

	const send = (toId: string, message: PeerMessage) => {
		const address = findMember(runner?.getState().members ?? [], toId)?.address ?? door.findAddress(toId);
		const {id: fromId, groupId} = door.getIdentity();

		if (address !== undefined && groupId !== undefined) {
			links.send(address, {
				kind: LinkKind.Agreement, groupId, fromId, fromAddress: linkAddress, toId, message,
			} satisfies LinkMessage);
		}
	};

	const open = async () => {
		let state = createPublishedState();
		const identity = door.getIdentity();

		return createReplicaRunner({
			id: identity.id,
			clock,
			store: createLogStore({folder}),
			machine: {
				apply(command) {
					const answer = applyPublish(state, command as PublishCommand);
					state = answer.state;
					publish(state);

					return answer;
				},
				encode: () => encodePublishedState(state),
				decode(data) {
					state = decodePublishedState(data);
					publish(state);
				},
			},
			send,
			onFailure,
			snapshotEvery,
			keptEntries,
			tickMs,
			timing,
			firstMembers: identity.firstMembers,
		});
	};

	const onFailure = (error: unknown) => {
		log.error('the replica lost its disk for now', {reason: String(error)});
		runner = undefined;
		setTimeout(reopen, reopenMs);
	};

	const reopen = async () => {
		if (isStopped) {
			return;
		}

		try {
			runner = await open();
			log.info('the replica has its disk back');
		} catch (error) {
			onFailure(error);
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

	runner = await open();

	return {
		door,
		receive(message) {
			if (door.accept(message)) {
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
