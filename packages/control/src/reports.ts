import {type Member, type ReplicaState} from '@fescuestair/agreement';
import {
	listRecords, MemberStatus, RecordKind, type MemberRecord, type Membership,
} from '@fescuestair/membership';

/** A daemon or upstream, as listed for operators. */
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
	/** Names of replicas that wait to be added to the group. */
	readonly waiting: readonly string[];
	/** Number of further voters that can be lost without losing the majority. */
	readonly canLose: number;
	readonly configVersion: number;
	readonly presetInForce: string | undefined;
	readonly claims: number;
	readonly term: number;
	readonly commitIndex: number;
};

/** Lists all daemons and upstreams known by gossip, grouped by kind. */
export function listInstanceRows(membership: Membership): readonly InstanceRow[] {
	return Object.values(RecordKind).flatMap(kind => listRecords(membership, kind).map(record => toRow(record)));
}

function toRow({id, kind, status, address, availabilityZone, details}: MemberRecord): InstanceRow {
	return {
		id, kind, status, address, availabilityZone, details,
	};
}

/** Lists the replicas of the group. A replica is reachable if gossip reports it as alive. */
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

/** Counts the voters whose loss is tolerable: reachable voters in excess of a majority. */
export function countTolerableLosses(rows: readonly ReplicaRow[]): number {
	const voters = rows.filter(row => row.role !== 'learner');
	const reachable = voters.filter(row => row.isReachable).length;

	return Math.max(0, reachable - Math.floor(voters.length / 2) - 1);
}
