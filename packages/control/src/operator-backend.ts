import {countBucketMap} from '@fescuestair/core';
import {
	isAliveInIncarnation, listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {type RequestEventStore} from '@fescuestair/fates';
import {
	describeRequest, LinkMessageKind, ProposalError, type RequestEvent, type LinkReply,
} from '@fescuestair/protocol';
import {type GroupMembership, type ReplicaRunner} from '@fescuestair/replication';
import {createFindRequestEvents, type GossipHost} from '@fescuestair/runtime';
import {
	getPresetInForceName, presetInForceKey, ItemKind, type CommandResponse, type ConfigItem, type CommandRequest,
} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {countTolerableLosses, listInstanceRows, listReplicaRows} from './reports.js';
import {type OperatorBackend} from './operator-router.js';
import {type StateMachine} from './state-machine.js';

export type OperatorBackendOptions = {
	readonly name: string;
	readonly peerListen: string;
	readonly groupMembership: GroupMembership;
	readonly runner: ReplicaRunner;
	readonly stateMachine: StateMachine;
	readonly gossip: GossipHost;
	readonly fates: RequestEventStore;
	readonly links: Links;
	readonly propose: (request: CommandRequest) => Promise<unknown>;
};

/** Creates the implementation of the operators' procedures on top of this replica. */
export function createOperatorBackend(options: OperatorBackendOptions): OperatorBackend {
	const {
		name, peerListen, groupMembership, runner, stateMachine, gossip, fates, links, propose,
	} = options;

	const isEntryAlive = (entryId: string, incarnation: number) => isAliveInIncarnation(gossip.getMembership(), entryId, incarnation);

	const findFates = createFindRequestEvents({gossip, links, local: {name, findEvents: fates.findEvents}});

	return {
		getStatus() {
			const state = runner.getState();
			const replicaRows = listReplicaRows(state, gossip.getMembership());
			const replicatedState = stateMachine.getState();
			const {id, groupId} = groupMembership.getIdentity();

			return {
				replicaId: id,
				groupId,
				leaderName: state.members.find(member => member.id === state.leaderId)?.name,
				isServing: runner.canServeReads(),
				replicas: replicaRows,
				waiting: groupMembership.listCandidates(state.members).map(candidate => candidate.name),
				canLose: countTolerableLosses(replicaRows),
				configVersion: replicatedState.configVersion,
				presetInForce: getPresetInForceName(replicatedState.publicState),
				claims: countBucketMap(replicatedState.claims),
				term: state.term,
				commitIndex: state.commitIndex,
			};
		},
		listInstances: () => listInstanceRows(gossip.getMembership()),
		getConfig() {
			const {configVersion, publicState} = stateMachine.getState();
			const items = [...publicState.items].filter(([key]) => isItemKey(key)).map(([, item]) => item as ConfigItem);

			return {version: configVersion, inForce: getPresetInForceName(publicState), items};
		},
		getHistory: () => stateMachine.getState().history,
		propose: async request => await propose(request) as CommandResponse,
		traceRequest: async requestId => describeRequest(await findFates(requestId), isEntryAlive),
		async initialize() {
			const {id, groupId} = groupMembership.getIdentity();

			if (groupId !== undefined || runner.getState().members.length > 0) {
				throw new ProposalError(true, 'this replica already belongs to a group');
			}

			await groupMembership.join(`g-${id}`);
			await runner.changeMembers([{
				id, name, address: peerListen, isVoter: true,
			}]);
		},
		async addReplica(memberName, replacesName) {
			const {members} = runner.getState();
			const candidate = groupMembership.requireCandidate(members, memberName);
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
	return key !== presetInForceKey && Object.values(ItemKind).some(kind => key.startsWith(`${kind}/`));
}
