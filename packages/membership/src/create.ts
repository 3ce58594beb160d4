import {
	MemberStatus, type MemberRecord, type Membership, type RecordKind, type Timing,
} from './types.js';

export type MembershipOptions = {
	/** This daemon's own record. */
	readonly self: MemberRecord;
	/** Link addresses to begin with. */
	readonly seeds?: readonly string[];
	readonly nowMs: number;
	readonly timing?: Partial<Timing>;
};

const defaultTiming: Timing = {
	probeMs: 400,
	probeTimeoutMs: 200,
	suspectMs: 1500,
	forgetMs: 60_000,
	orphanMs: 5000,
	syncMs: 5000,
};

/**
Creates what a daemon knows at start: itself.

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
		rumours: new Map([[self.id, 0]]),
		gaugeRumours: new Map(),
		probe: undefined,
		probeOrder: [],
		nextProbeMs: nowMs,
		nextSyncMs: nowMs,
		sequence: 1,
		seeds: seeds.filter(seed => seed !== self.address),
	};
}

/** Lists all records of a kind. */
export function listRecords(membership: Membership, kind: RecordKind): readonly MemberRecord[] {
	return [...membership.held.values()].map(held => held.record).filter(record => record.kind === kind);
}

/**
Tells whether a member still runs in the incarnation that something was begun in.

@example
```
isAliveIn(membership, 'entry-1', 1_700_000_000_000); //=> false once it is dead, unknown or started anew
```
*/
export function isAliveIn({held}: Membership, id: string, incarnation: number): boolean {
	const record = held.get(id)?.record;

	return record?.incarnation === incarnation && record.status !== MemberStatus.Dead;
}

/** Lists the records of a kind that take new work: a suspect still does, a leaving one does not. */
export function listServing(membership: Membership, kind: RecordKind): readonly MemberRecord[] {
	return listRecords(membership, kind).filter(record => record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect);
}
