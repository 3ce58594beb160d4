import {
	MemberStatus, type MemberRecord, type Membership, type MembershipTiming, type RecordKind,
} from './types.js';

export type MembershipOptions = {
	/** This daemon's own record. */
	readonly self: MemberRecord;
	/** Link addresses of daemons to contact first. */
	readonly seeds?: readonly string[];
	readonly nowMs: number;
	readonly timing?: Partial<MembershipTiming>;
};

const defaultTiming: MembershipTiming = {
	probeIntervalMs: 400,
	probeTimeoutMs: 200,
	suspectTimeoutMs: 1500,
	deadRetentionMs: 60_000,
	orphanTimeoutMs: 5000,
	syncIntervalMs: 5000,
};

/**
Creates the initial membership of a daemon, which holds only its own record.

@example
```
const membership = createMembership({self, seeds: ['10.0.0.1:7200'], nowMs: 0});
```
*/
export function createMembership(options: MembershipOptions): Membership {
	const {self, seeds = [], nowMs, timing = {}} = options;

	return {
		selfId: self.id,
		timing: {...defaultTiming, ...timing},
		held: new Map([[self.id, {record: self, deadlineMs: undefined}]]),
		pendingUpdates: new Map([[self.id, 0]]),
		pendingGauges: new Map(),
		probe: undefined,
		probeOrder: [],
		nextProbeMs: nowMs,
		nextSyncMs: nowMs,
		sequence: 1,
		seeds: seeds.filter(seed => seed !== self.address),
	};
}

/** Lists all records of a kind, dead ones included. */
export function listRecords(membership: Membership, kind: RecordKind): readonly MemberRecord[] {
	return [...membership.held.values()].map(held => held.record).filter(record => record.kind === kind);
}

/**
Whether a member is known in the given incarnation and not dead, so that work that it began in that incarnation can still be running.

@example
```
isAliveInIncarnation(membership, 'entry-1', 1_700_000_000_000); //=> false once it is dead, unknown or restarted
```
*/
export function isAliveInIncarnation({held}: Membership, id: string, incarnation: number): boolean {
	const record = held.get(id)?.record;

	return record?.incarnation === incarnation && record.status !== MemberStatus.Dead;
}

/** Lists the records of a kind that accept new work: alive and suspect members, but no leaving ones. */
export function listServing(membership: Membership, kind: RecordKind): readonly MemberRecord[] {
	return listRecords(membership, kind).filter(record => record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect);
}
