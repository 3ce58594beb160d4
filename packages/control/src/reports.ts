import {type Member, type ReplicaState} from '@fescuestair/agreement';
import {
	listRecords, MemberStatus, RecordKind, type MemberRecord, type Membership,
} from '@fescuestair/membership';

/** One daemon or upstream in a listing. */
export type InstanceRow = {
	readonly id: string;
	readonly kind: string;
	readonly status: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly details: Readonly<Record<string, unknown>>;
};

export type ReplicaRow = {
	readonly id: string;
	readonly name: string;
	readonly address: string;
	readonly role: string;
	readonly isReachable: boolean;
};

export type StatusReport = {
	readonly replicaId: string;
	readonly groupId: string | undefined;
	readonly leaderName: string | undefined;
	readonly isServing: boolean;
	readonly replicas: readonly ReplicaRow[];
	/** Replicas that wait to be added. */
	readonly waiting: readonly string[];
	/** Voters that may be lost from now on without a stop. */
	readonly canLose: number;
	readonly configVersion: number;
	readonly presetInForce: string | undefined;
	readonly claims: number;
	readonly term: number;
	readonly commitIndex: number;
};

/** Lists all members for operators. */
export function listInstanceRows(membership: Membership): readonly InstanceRow[] {
	return Object.values(RecordKind).flatMap(kind => listRecords(membership, kind).map(record => toRow(record)));
}

function toRow({id, kind, status, address, availabilityZone, details}: MemberRecord): InstanceRow {
	return {
		id, kind, status, address, availabilityZone, details,
	};
}

/** Lists the replicas, with whether gossip reaches them. */
export function listReplicaRows(state: ReplicaState, membership: Membership): readonly ReplicaRow[] {
	return state.members.map(member => ({
		id: member.id,
		name: member.name,
		address: member.address,
		role: describeRole(state, member),
		isReachable: member.id === state.id || isReachable(membership, member.name),
	}));
}

function describeRole(state: ReplicaState, member: Member): string {
	if (member.id === state.leaderId) {
		return 'leader';
	}

	return member.isVoter ? 'voter' : 'learner';
}

function isReachable(membership: Membership, name: string): boolean {
	return membership.held.get(name)?.record.status === MemberStatus.Alive;
}

/** Counts the voters that may still be lost: those reachable beyond a majority. */
export function countSpareVoters(rows: readonly ReplicaRow[]): number {
	const voters = rows.filter(row => row.role !== 'learner');
	const reachable = voters.filter(row => row.isReachable).length;

	return Math.max(0, reachable - Math.floor(voters.length / 2) - 1);
}
