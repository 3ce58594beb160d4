import {computeHashHex} from '@fescuestair/core';
import {
	MemberStatus, OutputKind, RecordKind, type MemberRecord, type Membership, type Output, type TrackedMember,
} from './types.js';

const statusRank: Readonly<Record<MemberStatus, number>> = {
	[MemberStatus.Alive]: 0,
	[MemberStatus.Suspect]: 1,
	[MemberStatus.Leaving]: 2,
	[MemberStatus.SuspectLeaving]: 3,
	[MemberStatus.Dead]: 4,
};

/**
Whether a record replaces another. At equal incarnation and version the worse status wins, so that a suspicion spreads
until the member itself refutes it with a higher version.

@example
```
isNewer({...record, version: 2}, record); //=> true
```
*/
export function isNewer(record: MemberRecord, other: MemberRecord): boolean {
	if (record.incarnation !== other.incarnation) {
		return record.incarnation > other.incarnation;
	}

	if (record.version !== other.version) {
		return record.version > other.version;
	}

	return statusRank[record.status] > statusRank[other.status];
}

type MergeResult = {readonly membership: Membership; readonly outputs: readonly Output[]};

/** Merges received records; those newer than the known ones are also queued for dissemination. */
export function mergeRecords(membership: Membership, records: readonly MemberRecord[], nowMs: number): MergeResult {
	const updates = records.filter(record => isUpdate(membership, record));

	if (updates.length === 0) {
		return {membership, outputs: []};
	}

	const held = new Map(membership.held);
	const pendingUpdates = new Map(membership.pendingUpdates);
	const outputs: Output[] = [];

	for (const record of updates) {
		const merged = record.id === membership.selfId ? refute(held.get(record.id)!.record, record) : record;
		held.set(merged.id, createTrackedMember(membership, setNewerGauge(merged, held.get(merged.id)?.record), nowMs));
		pendingUpdates.set(merged.id, 0);
		outputs.push({kind: OutputKind.Changed, record: merged});
	}

	return {membership: {...membership, held, pendingUpdates}, outputs};
}

// A received record may carry an older gauge than the known one, since gauges are gossiped apart from records. The newer gauge is kept.
function setNewerGauge(record: MemberRecord, known: MemberRecord | undefined): MemberRecord {
	const hasOlderGauge = known?.incarnation === record.incarnation && (known.gauge?.version ?? 0) > (record.gauge?.version ?? 0);

	return hasOlderGauge ? {...record, gauge: known.gauge} : record;
}

function isUpdate(membership: Membership, record: MemberRecord): boolean {
	const known = membership.held.get(record.id);

	// A dead member that has no record here is ignored; otherwise records that were removed would return.
	return known === undefined ? record.status !== MemberStatus.Dead : isNewer(record, known.record);
}

// Only a daemon itself may change its own record: it refutes a differing record about itself with a higher version.
function refute(own: MemberRecord, claimed: MemberRecord): MemberRecord {
	return {...own, incarnation: Math.max(own.incarnation, claimed.incarnation), version: Math.max(own.version, claimed.version) + 1};
}

function createTrackedMember(membership: Membership, record: MemberRecord, nowMs: number): TrackedMember {
	const {timing} = membership;

	switch (record.status) {
		case MemberStatus.Suspect:
		case MemberStatus.SuspectLeaving: {
			return {record, deadlineMs: nowMs + timing.suspectTimeoutMs};
		}

		case MemberStatus.Dead: {
			return {record, deadlineMs: nowMs + timing.deadRetentionMs};
		}

		case MemberStatus.Alive:
		case MemberStatus.Leaving: {
			return {record, deadlineMs: undefined};
		}
	}
}

/** Lists the suspects, and the upstreams without a sponsor, whose deadline has passed. The returned records have the status `Dead`. */
export function listTimedOut(membership: Membership, nowMs: number): readonly MemberRecord[] {
	return [...membership.held.values()]
		.filter(held => held.deadlineMs !== undefined && nowMs >= held.deadlineMs && held.record.status !== MemberStatus.Dead)
		.map(held => ({...held.record, status: MemberStatus.Dead}));
}

/** Removes dead records whose retention has ended, and sets a deadline for upstreams whose sponsor is dead or unknown. */
export function expireRecords(membership: Membership, nowMs: number): Membership {
	const held = new Map(membership.held);
	let didChange = false;

	for (const [id, member] of membership.held) {
		if (member.record.status === MemberStatus.Dead && member.deadlineMs !== undefined && nowMs >= member.deadlineMs) {
			held.delete(id);
			didChange = true;
		}

		if (isOrphan(membership, member) && member.deadlineMs === undefined) {
			held.set(id, {...member, deadlineMs: nowMs + membership.timing.orphanTimeoutMs});
			didChange = true;
		}
	}

	return didChange ? {...membership, held} : membership;
}

function isOrphan(membership: Membership, {record}: TrackedMember): boolean {
	if (record.kind !== RecordKind.Upstream || record.status === MemberStatus.Dead) {
		return false;
	}

	const sponsor = membership.held.get(record.sponsorId ?? '')?.record;

	return sponsor === undefined || sponsor.status === MemberStatus.Dead;
}

const syncBucketCount = 16;

/** Computes a digest of each bucket; records are assigned to buckets by the hash of their id. A sync skips buckets with equal digests. */
export function computeDigests(membership: Membership): readonly string[] {
	const buckets = Array.from({length: syncBucketCount}, (): string[] => []);

	for (const {record} of membership.held.values()) {
		buckets[computeBucket(record.id)]!.push(`${record.id}/${record.incarnation}/${record.version}/${record.status}`);
	}

	return buckets.map(bucket => computeHashHex(bucket.toSorted().join('\n')));
}

/** Lists the records of the given buckets. */
export function listBucketRecords(membership: Membership, buckets: readonly number[]): readonly MemberRecord[] {
	const wanted = new Set(buckets);

	return [...membership.held.values()].map(held => held.record).filter(record => wanted.has(computeBucket(record.id)));
}

function computeBucket(id: string): number {
	return Number.parseInt(computeHashHex(id).slice(-1), syncBucketCount);
}
