import {setTimeout as sleep} from 'node:timers/promises';
import fs from 'node:fs/promises';
import path from 'node:path';
import {findMember, type PeerMessage} from '@fescuestair/agreement';
import {type Clock, createSystemClock} from '@fescuestair/core';
import {createFateStore} from '@fescuestair/fates';
import {
	listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {
	createFaultLog, createGossip, openCommandListener, type Log,
} from '@fescuestair/runtime';
import {createGroupDoor, createReplicaRunner, proposeAtLeader} from '@fescuestair/replication';
import {createLogStore} from '@fescuestair/storage';
import {
	CommandKind, stampRequest, type Answer, type Request,
} from '@fescuestair/state';
import {
	createLinks, parseAddress, type ClusterKeys, type KeyRing,
} from '@fescuestair/transport';
import {createOrderGiver, createOrderSender} from './order-giver.js';
import {createControlCommands} from './link-handler.js';
import {createOperatorServer} from './operator-server.js';
import {createStateHost} from './state-host.js';
import {createOperatorBackend} from './operator-backend.js';

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
const expireMs = 60_000;
const handoverMs = 300;

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
	const door = await createGroupDoor({
		dataFolder, name, clock, log,
	});
	const links = createLinks({getKeys: getClusterKeys});
	const host = createStateHost(clock);

	const sendAgreement = (toId: string, message: PeerMessage) => {
		const address = findMember(runner.getState().members, toId)?.address ?? door.findAddress(toId);
		const {id: fromId, groupId} = door.getIdentity();

		if (address !== undefined && groupId !== undefined) {
			links.send(address, {
				kind: LinkKind.Agreement, groupId, fromId, fromAddress: peerListen, toId, message,
			} satisfies LinkMessage);
		}
	};

	const runner = await createReplicaRunner({
		id: door.getIdentity().id,
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

	const backend = createOperatorBackend({
		name, peerListen, door, runner, host, gossip, fates, links, propose,
	});
	const linkServer = await openCommandListener({
		listen: peerListen,
		getKeys: getClusterKeys,
		log,
		commands: createControlCommands({
			runner, host, gossip, fates, propose: proposeHere, findLeaderAddress, acceptAgreement: door.accept, noteJoin: door.noteCandidate,
			onFault: createFaultLog({log, clock, count: () => undefined}),
		}),
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
				kind: LinkKind.Join, id: door.getIdentity().id, name, address: peerListen,
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
		...door.getIdentity(), peerListen, operatorListen: options.operatorListen,
	});

	return {
		async stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			orders.stop();
			runner.transferLeadership();
			gossip.publishSelf({status: MemberStatus.Leaving});
			await sleep(handoverMs);
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
