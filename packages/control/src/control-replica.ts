import {setTimeout as sleep} from 'node:timers/promises';
import fs from 'node:fs/promises';
import path from 'node:path';
import {findMember, type PeerMessage} from '@fescuestair/agreement';
import {type Clock, createSystemClock} from '@fescuestair/core';
import {createRequestEventStore} from '@fescuestair/fates';
import {
	listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {
	createLinkFaultHandler, createGossip, createPermitGrantor, createRequestLimits, openCommandListener, type Logger,
} from '@fescuestair/runtime';
import {createGroupMembership, createReplicaRunner, proposeAtLeader} from '@fescuestair/replication';
import {createLogStore} from '@fescuestair/storage';
import {
	CommandKind, createCommand, type CommandResponse, type CommandRequest,
} from '@fescuestair/state';
import {
	createLinks, parseAddress, type ClusterKeys, type KeyRing,
} from '@fescuestair/transport';
import {createOrderDispatcher, createOrderSender} from './order-dispatcher.js';
import {createLinkHandlers} from './link-handlers.js';
import {createOperatorServer} from './operator-server.js';
import {createStateMachine} from './state-machine.js';
import {createOperatorBackend} from './operator-backend.js';

export type ControlReplicaOptions = {
	readonly name: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
	readonly dataFolder: string;
	readonly operatorListen: string;
	readonly peerListen: string;
	readonly seeds: readonly string[];
	readonly getClusterKeys: () => ClusterKeys;
	readonly getOperatorKeys: () => KeyRing;
	readonly log: Logger;
	readonly clock?: Clock;
	readonly snapshotEvery?: number;
	/** Authenticates load orders to upstreams that check their sender. */
	readonly orderKey?: string;
	/** Called on a disk failure or an unexpected error; the process must then exit. */
	readonly onFailure: (error: unknown) => void;
};

export type ControlReplica = {
	/** Transfers leadership and stops the replica. */
	readonly stop: () => Promise<void>;
};

const joinIntervalMs = 1000;
const expiryIntervalMs = 60_000;
const grantorRefreshIntervalMs = 250;
/** Wait during a stop, in which another replica can take over the leadership and gossip spreads that this one is leaving. */
const leadershipTransferMs = 300;

/**
Creates a control replica: consensus, replicated state, request events, load orders and the server for operators.

@example
```
const replica = await createControlReplica({name: 'control-1', dataFolder: '/data', ...listeners, onFailure});
await replica.stop();
```
*/
export async function createControlReplica(options: ControlReplicaOptions): Promise<ControlReplica> {
	const {
		name, incarnation, availabilityZone, dataFolder, peerListen, seeds, getClusterKeys, log, clock = createSystemClock(), snapshotEvery, onFailure,
	} = options;
	const folders = await prepareFolders(dataFolder);
	const groupMembership = await createGroupMembership({
		dataFolder, name, clock, log,
	});
	const links = createLinks({getKeys: getClusterKeys});
	const stateMachine = createStateMachine(clock);

	const sendPeerMessage = (toId: string, message: PeerMessage) => {
		const address = findMember(runner.getState().members, toId)?.address ?? groupMembership.findAddress(toId);
		const {id: fromId, groupId} = groupMembership.getIdentity();

		if (address !== undefined && groupId !== undefined) {
			links.send(address, {
				kind: LinkMessageKind.Agreement, groupId, fromId, fromAddress: peerListen, toId, message,
			} satisfies LinkMessage);
		}
	};

	const runner = await createReplicaRunner({
		id: groupMembership.getIdentity().id,
		clock,
		store: createLogStore({folder: folders.agreement}),
		machine: stateMachine,
		send: sendPeerMessage,
		onFailure,
		snapshotIntervalEntries: snapshotEvery,
	});

	const findLeaderAddress = () => {
		const state = runner.getState();

		return state.leaderId === undefined ? undefined : findMember(state.members, state.leaderId)?.address;
	};

	const proposeLocally = async (request: CommandRequest) => runner.propose(createCommand(request, {atMs: stateMachine.readGroupTimeMs(), wallMs: clock.readWallMs()}));
	const propose = async (request: CommandRequest) => proposeAtLeader({links, proposeLocally, findLeaderAddress}, request);

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
	const fates = createRequestEventStore({
		folder: folders.fates,
		readWallMs: clock.readWallMs,
		onError(error) {
			log.error('request events (fates) cannot be kept on disk', error);
		},
	});

	const backend = createOperatorBackend({
		name, peerListen, groupMembership, runner, stateMachine, gossip, fates, links, propose,
	});
	const commands = createLinkHandlers({
		runner, stateMachine, gossip, fates, propose: proposeLocally, findLeaderAddress, acceptAgreement: groupMembership.accept, recordCandidate: groupMembership.recordCandidate,
		onFault: createLinkFaultHandler({log, clock, count: () => undefined}),
	});
	const grantor = createPermitGrantor({
		clock,
		links,
		log,
		commands,
		requestLimits: createRequestLimits({clock, log}),
		getLeadingTerm: () => runner.canServeReads() ? runner.getState().term : undefined,
		findLeaderAddress,
		leaseMs: runner.getState().timing.leaseMs,
	});
	const linkServer = await openCommandListener({
		listen: peerListen, getKeys: getClusterKeys, log, commands,
	});
	const operatorServer = await createOperatorServer({
		listen: parseAddress(options.operatorListen), getKeys: options.getOperatorKeys, backend, isReady: () => runner.getState().leaderId !== undefined,
	});

	const orderDispatcher = createOrderDispatcher({
		clock,
		log,
		getState: () => stateMachine.getState().publicState,
		getMembership: gossip.getMembership,
		isLeading: runner.canServeReads,
		propose: async request => await proposeLocally(request) as CommandResponse,
		sendOrder: createOrderSender({orderKey: options.orderKey ?? ''}),
	});

	const announceJoin = () => {
		if (runner.getState().members.length > 0) {
			return;
		}

		for (const record of listRecords(gossip.getMembership(), RecordKind.Control)) {
			links.send(record.address, {
				kind: LinkMessageKind.Join, id: groupMembership.getIdentity().id, name, address: peerListen,
			} satisfies LinkMessage);
		}
	};

	// Evidence about crashes may settle without another command.
	const isHeldBackDue = () => {
		const {heldBackSettlesAtMs} = stateMachine.getState();

		return heldBackSettlesAtMs !== undefined && stateMachine.readGroupTimeMs() >= heldBackSettlesAtMs;
	};

	const proposeExpiry = async () => {
		try {
			if (runner.canServeReads()) {
				await proposeLocally({kind: CommandKind.Expire});
			}
		} catch (error) {
			log.warn('expiry command was not committed', error);
		}
	};

	const timers = [
		setInterval(announceJoin, joinIntervalMs),
		setInterval(() => {
			grantor.refresh();

			if (isHeldBackDue()) {
				void proposeExpiry();
			}
		}, grantorRefreshIntervalMs),
		setInterval(() => {
			void proposeExpiry();
		}, expiryIntervalMs),
	];
	log.info('control replica started', {
		...groupMembership.getIdentity(), peerListen, operatorListen: options.operatorListen,
	});

	return {
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			orderDispatcher.stop();
			grantor.stop();
			runner.transferLeadership();
			gossip.publishSelf({status: MemberStatus.Leaving});
			await sleep(leadershipTransferMs);
			gossip.stop();
			await operatorServer.close();
			await linkServer.close();
			await runner.stop();
			await fates.close();
			links.close();
		},
	};
}

async function prepareFolders(dataFolder: string): Promise<{readonly agreement: string; readonly fates: string}> {
	const folders = {agreement: path.join(dataFolder, 'agreement'), fates: path.join(dataFolder, 'fates')};

	for (const folder of Object.values(folders)) {
		await fs.mkdir(folder, {recursive: true});
	}

	return folders;
}
