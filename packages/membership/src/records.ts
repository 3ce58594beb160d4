import {computeHashHex} from '@fescuestair/core';
import {
	MemberStatus, RecordKind, type Held, type MemberRecord, type Membership, type Output, OutputKind,
} from './types.js';

const statusRank: Readonly<Record<MemberStatus, number>> = {
	[MemberStatus.Alive]: 0,
	[MemberStatus.Suspect]: 1,
	[MemberStatus.Leaving]: 2,
	[MemberStatus.SuspectLeaving]: 3,
	[MemberStatus.Dead]: 4,
};

/**
Tells whether one record replaces another. At equal numbers the worse status wins, so that a suspicion spreads until
the member itself refutes it with a higher number.

@example
```
isNewer({...record, version: 2}, record); //=> true
```
*/
export function isNewer(record: MemberRecord, than: MemberRecord): boolean {
	if (record.incarnation !== than.incarnation) {
		return record.incarnation > than.incarnation;
	}

	if (record.version !== than.version) {
		return record.version > than.version;
	}

	return statusRank[record.status] > statusRank[than.status];
}

type Merged = {readonly membership: Membership; readonly outputs: readonly Output[]};

/** Takes records in; those that are news are passed on. */
export function mergeRecords(membership: Membership, records: readonly MemberRecord[], nowMs: number): Merged {
	const news = records.filter(record => isNews(membership, record));

	if (news.length === 0) {
		return {membership, outputs: []};
	}

	const held = new Map(membership.held);
	const rumours = new Map(membership.rumours);
	const outputs: Output[] = [];

	for (const record of news) {
		const kept = record.id === membership.selfId ? refute(held.get(record.id)!.record, record) : record;
		held.set(kept.id, hold(membership, rememberGauge(kept, held.get(kept.id)?.record), nowMs));
		rumours.set(kept.id, 0);
		outputs.push({kind: OutputKind.Changed, record: kept});
	}

	return {membership: {...membership, held, rumours}, outputs};
}

// News about a member may have left before its latest gauge.
function rememberGauge(record: MemberRecord, known: MemberRecord | undefined): MemberRecord {
	const isOlder = known?.incarnation === record.incarnation && (known.gauge?.version ?? 0) > (record.gauge?.version ?? 0);

	return isOlder ? {...record, gauge: known.gauge} : record;
}

function isNews(membership: Membership, record: MemberRecord): boolean {
	const known = membership.held.get(record.id);

	// A dead member that nobody here remembers is no news: it must not come back as a record.
	return known === undefined ? record.status !== MemberStatus.Dead : isNewer(record, known.record);
}

// Only a member speaks for itself: what others say of it is answered with a higher number.
function refute(own: MemberRecord, claimed: MemberRecord): MemberRecord {
	return {...own, incarnation: Math.max(own.incarnation, claimed.incarnation), version: Math.max(own.version, claimed.version) + 1};
}

function hold(membership: Membership, record: MemberRecord, nowMs: number): Held {
	const {timing} = membership;

	switch (record.status) {
		case MemberStatus.Suspect:
		case MemberStatus.SuspectLeaving: {
			return {record, deadlineMs: nowMs + timing.suspectMs};
		}

		case MemberStatus.Dead: {
			return {record, deadlineMs: nowMs + timing.forgetMs};
		}

		case MemberStatus.Alive:
		case MemberStatus.Leaving: {
			return {record, deadlineMs: undefined};
		}
	}
}

/** Finds the records that a deadline has overtaken, as they stand now. */
export function listOverdue(membership: Membership, nowMs: number): readonly MemberRecord[] {
	return [...membership.held.values()]
		.filter(held => held.deadlineMs !== undefined && nowMs >= held.deadlineMs && held.record.status !== MemberStatus.Dead)
		.map(held => ({...held.record, status: MemberStatus.Dead}));
}

/** Drops dead records whose time is up, and gives upstreams of dead sponsors a deadline. */
export function tidyRecords(membership: Membership, nowMs: number): Membership {
	const held = new Map(membership.held);
	let didChange = false;

	for (const [id, one] of membership.held) {
		if (one.record.status === MemberStatus.Dead && one.deadlineMs !== undefined && nowMs >= one.deadlineMs) {
			held.delete(id);
			didChange = true;
		}

		if (isOrphan(membership, one) && one.deadlineMs === undefined) {
			held.set(id, {...one, deadlineMs: nowMs + membership.timing.orphanMs});
			didChange = true;
		}
	}

	return didChange ? {...membership, held} : membership;
}

function isOrphan(membership: Membership, {record}: Held): boolean {
	if (record.kind !== RecordKind.Upstream || record.status === MemberStatus.Dead) {
		return false;
	}

	const sponsor = membership.held.get(record.sponsorId ?? '')?.record;

	return sponsor === undefined || sponsor.status === MemberStatus.Dead;
}

const syncParts = 16;

/** Splits the table into parts and computes a digest of each; equal digests need no records to be sent. */
export function computeDigests(membership: Membership): readonly string[] {
	const parts = Array.from({length: syncParts}, (): string[] => []);

	for (const {record} of membership.held.values()) {
		parts[findPart(record.id)]!.push(`${record.id}/${record.incarnation}/${record.version}/${record.status}`);
	}

	return parts.map(part => computeHashHex(part.toSorted().join('\n')));
}

/** Lists the records of some parts. */
export function listParts(membership: Membership, parts: readonly number[]): readonly MemberRecord[] {
	const wanted = new Set(parts);

	return [...membership.held.values()].map(held => held.record).filter(record => wanted.has(findPart(record.id)));
}

function findPart(id: string): number {
	return Number.parseInt(computeHashHex(id).slice(-1), syncParts);
}
