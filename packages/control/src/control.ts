import fs from 'node:fs/promises';
import path from 'node:path';
import {findMember, type Member, type PeerMessage} from '@fescuestair/agreement';
import {type Clock, createSystemClock, rankByRendezvous} from '@fescuestair/core';
import {createFateStore} from '@fescuestair/fates';
import {
	listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {
	describeFate, LinkKind, ProposalError, type Fate, type FateEvent, type LinkMessage, type LinkReply,
} from '@fescuestair/protocol';
import {createGossip, type Log} from '@fescuestair/runtime';
import {createLogStore} from '@fescuestair/storage';
import {
	CommandKind, countBucketMap, getInForceName, stampRequest, type Answer, type ConfigItem, type Request, inForceKey, ItemKind,
} from '@fescuestair/state';
import {
	createLinks, createLinkServer, parseAddress, type ClusterKeys, type KeyRing,
} from '@fescuestair/transport';
import {countSpareVoters, listInstanceRows, listReplicaRows} from './reports.js';
import {createOrderGiver, createOrderSender} from './order-giver.js';
import {createLinkHandler} from './link-handler.js';
import {createOperatorServer} from './operator-server.js';
import {createReplicaRunner} from './replica-runner.js';
import {createStateHost} from './state-host.js';
import {loadIdentity, saveIdentity, type Identity} from './identity.js';
import {proposeAtLeader} from './leader-client.js';
import {type OperatorBackend} from './operator-router.js';

export type ControlOptions = {
	readonly name: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
	readonly dataFolder: string;
	readonly operatorListen: string;
	readonly peerListen: string;
	readonly seeds: readonly string[];
	readonly getClusterKeys: () => ClusterKeys;
	readonly getOperatorKeys: () => KeyRing;
	readonly log: Log;
	readonly clock?: Clock;
	readonly snapshotEvery?: number;
	/** Shown to upstreams that check who orders. */
	readonly orderKey?: string;
	/** The process must end: its disk failed, or a defect showed. */
	readonly onFailure: (error: unknown) => void;
};

export type Control = {
	/** Hands leadership over and ends. */
	readonly stop: () => Promise<void>;
};

const joinMs = 1000;
const candidateMs = 5000;
const expireMs = 60_000;
const fateTimeoutMs = 3000;

/**
Creates a control replica: state, agreement, fates and the operators' listener.

@example
```
const control = await createControl({name: 'control-1', dataFolder: '/data', ...listeners, onFailure});
await control.stop();
```
*/
export async function createControl(options: ControlOptions): Promise<Control> {
	const {
		name, incarnation, availabilityZone, dataFolder, peerListen, seeds, getClusterKeys, log, clock = createSystemClock(), snapshotEvery, onFailure,
	} = options;
	const folders = await prepareFolders(dataFolder);
	let identity = await loadIdentity(dataFolder, name);
	const links = createLinks({getKeys: getClusterKeys});
	const host = createStateHost(clock);
	const learnedAddresses = new Map<string, string>();
	const candidates = new Map<string, {readonly member: Member; readonly deadlineMs: number}>();

	const sendAgreement = (toId: string, message: PeerMessage) => {
		const address = findMember(runner.getState().members, toId)?.address ?? learnedAddresses.get(toId);

		if (address !== undefined && identity.groupId !== undefined) {
			links.send(address, {
				kind: LinkKind.Agreement, groupId: identity.groupId, fromId: identity.id, fromAddress: peerListen, toId, message,
			} satisfies LinkMessage);
		}
	};

	const runner = await createReplicaRunner({
		id: identity.id,
		clock,
		store: createLogStore({folder: folders.agreement}),
		machine: host,
		send: sendAgreement,
		onFailure,
		snapshotEvery,
	});

	const findLeaderAddress = () => {
		const state = runner.getState();

		return state.leaderId === undefined ? undefined : findMember(state.members, state.leaderId)?.address;
	};

	const proposeHere = async (request: Request) => runner.propose(stampRequest(request, {atMs: host.readGroupMs(), wallMs: clock.readWallMs()}));
	const propose = async (request: Request) => proposeAtLeader({links, proposeHere, findLeaderAddress}, request);

	// A first message takes an unassigned replica into the group; it must be addressed to this very identity.
	const acceptAgreement = (message: Extract<LinkMessage, {kind: LinkKind.Agreement}>) => {
		if (message.toId !== identity.id) {
			return false;
		}

		if (identity.groupId === undefined) {
			void joinGroup(message.groupId);

			return false;
		}

		learnedAddresses.set(message.fromId, message.fromAddress);

		return message.groupId === identity.groupId;
	};

	const joinGroup = async (groupId: string) => {
		const joined: Identity = {...identity, groupId};
		await saveIdentity(dataFolder, joined);
		identity = joined;
		log.info('joined a group', {groupId, replicaId: identity.id});
	};

	const self: MemberRecord = {
		id: name,
		kind: RecordKind.Control,
		incarnation,
		version: 1,
		status: MemberStatus.Alive,
		address: peerListen,
		availabilityZone,
		details: {operatorAddress: options.operatorListen},
	};
	const gossip = createGossip({
		self, seeds, clock, links, onFailure,
	});
	const fates = createFateStore({
		folder: folders.fates,
		readWallMs: clock.readWallMs,
		onError(error) {
			log.error('fates cannot be kept', error);
		},
	});

	const noteJoin = ({id, name: memberName, address}: Extract<LinkMessage, {kind: LinkKind.Join}>) => {
		candidates.set(id, {
			member: {
				id, name: memberName, address, isVoter: false,
			},
			deadlineMs: clock.readMonotonicMs() + candidateMs,
		});
	};

	const listCandidates = () => {
		const memberIds = new Set(runner.getState().members.map(member => member.id));

		return [...candidates.values()]
			.filter(candidate => candidate.deadlineMs > clock.readMonotonicMs() && !memberIds.has(candidate.member.id))
			.map(candidate => candidate.member);
	};

	const findCandidate = (memberName: string) => {
		const found = listCandidates().find(candidate => candidate.name === memberName);

		if (found === undefined) {
			throw new ProposalError(true, `no replica ${memberName} waits to be added`);
		}

		return found;
	};

	const isEntryAlive = (entryId: string, entryIncarnation: number) => {
		const record = gossip.getMembership().held.get(entryId)?.record;

		return record?.incarnation === entryIncarnation && record.status !== MemberStatus.Dead;
	};

	const findFatesAt = async (record: MemberRecord, requestId: string): Promise<readonly FateEvent[]> => {
		if (record.id === name) {
			return fates.findEvents(requestId);
		}

		try {
			const reply = await links.call(record.address, {kind: LinkKind.FindFates, requestId}, fateTimeoutMs) as LinkReply;

			return reply.kind === 'fates' ? reply.events : [];
		} catch {
			return [];
		}
	};

	const backend: OperatorBackend = {
		getStatus() {
			const state = runner.getState();
			const rows = listReplicaRows(state, gossip.getMembership());
			const replicated = host.getState();

			return {
				replicaId: identity.id,
				groupId: identity.groupId,
				leaderName: state.members.find(member => member.id === state.leaderId)?.name,
				isServing: runner.canServeReads(),
				replicas: rows,
				waiting: listCandidates().map(candidate => candidate.name),
				canLose: countSpareVoters(rows),
				configVersion: replicated.configVersion,
				presetInForce: getInForceName(replicated.publicState),
				claims: countBucketMap(replicated.claims),
				term: state.term,
				commitIndex: state.commitIndex,
			};
		},
		listInstances: () => listInstanceRows(gossip.getMembership()),
		getConfig() {
			const {configVersion, publicState} = host.getState();
			const items = [...publicState.items].filter(([key]) => isItemKey(key)).map(([, item]) => item as ConfigItem);

			return {version: configVersion, inForce: getInForceName(publicState), items};
		},
		getHistory: () => host.getState().history,
		propose: async request => await propose(request) as Answer,
		// Every replica is asked: the two that hold a request's fate may be others by now, or be gone.
		async traceRequest(requestId): Promise<Fate | undefined> {
			const records = listRecords(gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);
			const found = await Promise.all(records.map(async record => findFatesAt(record, requestId)));

			return describeFate(found.flat(), isEntryAlive);
		},
		async initialize() {
			if (identity.groupId !== undefined || runner.getState().members.length > 0) {
				throw new ProposalError(true, 'this replica already belongs to a group');
			}

			await joinGroup(`g-${identity.id}`);
			await runner.changeMembers([{
				id: identity.id, name, address: peerListen, isVoter: true,
			}]);
		},
		async addReplica(memberName, replacesName) {
			const {members} = runner.getState();
			const candidate = findCandidate(memberName);
			const replaced = replacesName === undefined ? undefined : members.find(member => member.name === replacesName);

			if (replacesName !== undefined && replaced === undefined) {
				throw new ProposalError(true, `no replica ${replacesName} belongs to the group`);
			}

			await runner.changeMembers([...members, {...candidate, replaces: replaced?.id}]);
		},
		async removeReplica(memberName) {
			const {members} = runner.getState();

			if (!members.some(member => member.name === memberName)) {
				throw new ProposalError(true, `no replica ${memberName} belongs to the group`);
			}

			await runner.changeMembers(members.filter(member => member.name !== memberName));
		},
	};

	const linkServer = await createLinkServer({
		listen: parseAddress(peerListen),
		getKeys: getClusterKeys,
		onMessage: createLinkHandler({
			runner, host, gossip, fates, propose: proposeHere, findLeaderAddress, acceptAgreement, noteJoin,
		}),
		onError(error) {
			log.debug('link refused', error);
		},
	});
	const operatorServer = await createOperatorServer({
		listen: parseAddress(options.operatorListen), getKeys: options.getOperatorKeys, backend, isReady: () => runner.getState().leaderId !== undefined,
	});

	const orders = createOrderGiver({
		clock,
		log,
		getState: () => host.getState().publicState,
		getMembership: gossip.getMembership,
		isLeading: runner.canServeReads,
		propose: async request => await proposeHere(request) as Answer,
		sendOrder: createOrderSender({orderKey: options.orderKey ?? ''}),
	});

	const announceJoin = () => {
		if (runner.getState().members.length > 0) {
			return;
		}

		for (const record of listRecords(gossip.getMembership(), RecordKind.Control)) {
			links.send(record.address, {
				kind: LinkKind.Join, id: identity.id, name, address: peerListen,
			} satisfies LinkMessage);
		}
	};

	const expire = async () => {
		try {
			if (runner.canServeReads()) {
				await proposeHere({kind: CommandKind.Expire});
			}
		} catch (error) {
			log.warn('expiry was not agreed on', error);
		}
	};

	const timers = [
		setInterval(announceJoin, joinMs),
		setInterval(() => {
			void expire();
		}, expireMs),
	];
	log.info('control replica started', {
		replicaId: identity.id, groupId: identity.groupId, peerListen, operatorListen: options.operatorListen,
	});

	return {
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			orders.stop();
			runner.transferLeadership();
			gossip.publishSelf({status: MemberStatus.Leaving});
			await new Promise(resolve => {
				setTimeout(resolve, handoverMs);
			});
			gossip.stop();
			await operatorServer.close();
			await linkServer.close();
			await runner.stop();
			await fates.close();
			links.close();
		},
	};
}

const handoverMs = 300;

function isItemKey(key: string): boolean {
	return key !== inForceKey && Object.values(ItemKind).some(kind => key.startsWith(`${kind}/`));
}

async function prepareFolders(dataFolder: string): Promise<{readonly agreement: string; readonly fates: string}> {
	const folders = {agreement: path.join(dataFolder, 'agreement'), fates: path.join(dataFolder, 'fates')};

	for (const folder of Object.values(folders)) {
		await fs.mkdir(folder, {recursive: true});
	}

	return folders;
}

/** Chooses the replicas that keep the fate of a request: two where there are two. */
export function chooseFateHomes(requestId: string, names: readonly string[]): readonly string[] {
	return rankByRendezvous(requestId, names).slice(0, fateCopies);
}

const fateCopies = 2;
