import {countBucketMap} from '@fescuestair/core';
import {
	isAliveIn, listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {type FateStore} from '@fescuestair/fates';
import {
	describeFate, LinkKind, ProposalError, type FateEvent, type LinkReply,
} from '@fescuestair/protocol';
import {type GroupDoor, type ReplicaRunner} from '@fescuestair/replication';
import {createFindFates, type GossipHost} from '@fescuestair/runtime';
import {
	getInForceName, inForceKey, ItemKind, type Answer, type ConfigItem, type Request,
} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {countSpareVoters, listInstanceRows, listReplicaRows} from './reports.js';
import {type OperatorBackend} from './operator-router.js';
import {type StateHost} from './state-host.js';

export type OperatorBackendOptions = {
	readonly name: string;
	readonly peerListen: string;
	readonly door: GroupDoor;
	readonly runner: ReplicaRunner;
	readonly host: StateHost;
	readonly gossip: GossipHost;
	readonly fates: FateStore;
	readonly links: Links;
	readonly propose: (request: Request) => Promise<unknown>;
};

/** Creates what the operators' procedures call. */
export function createOperatorBackend(options: OperatorBackendOptions): OperatorBackend {
	const {
		name, peerListen, door, runner, host, gossip, fates, links, propose,
	} = options;

	const isEntryAlive = (entryId: string, incarnation: number) => isAliveIn(gossip.getMembership(), entryId, incarnation);

	const findFates = createFindFates({gossip, links, local: {name, findEvents: fates.findEvents}});

	return {
		getStatus() {
			const state = runner.getState();
			const rows = listReplicaRows(state, gossip.getMembership());
			const replicated = host.getState();
			const {id, groupId} = door.getIdentity();

			return {
				replicaId: id,
				groupId,
				leaderName: state.members.find(member => member.id === state.leaderId)?.name,
				isServing: runner.canServeReads(),
				replicas: rows,
				waiting: door.listCandidates(state.members).map(candidate => candidate.name),
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
		traceRequest: async requestId => describeFate(await findFates(requestId), isEntryAlive),
		async initialize() {
			const {id, groupId} = door.getIdentity();

			if (groupId !== undefined || runner.getState().members.length > 0) {
				throw new ProposalError(true, 'this replica already belongs to a group');
			}

			await door.join(`g-${id}`);
			await runner.changeMembers([{
				id, name, address: peerListen, isVoter: true,
			}]);
		},
		async addReplica(memberName, replacesName) {
			const {members} = runner.getState();
			const candidate = door.requireCandidate(members, memberName);
			const replaced = members.find(member => member.name === replacesName);

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
}

function isItemKey(key: string): boolean {
	return key !== inForceKey && Object.values(ItemKind).some(kind => key.startsWith(`${kind}/`));
}
