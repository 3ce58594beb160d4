import {type PendingUpdates} from './pending-updates.js';

/** Kind of member that a record describes. */
export enum RecordKind {
	Entry = 'entry',
	Control = 'control',
	Upstream = 'upstream',
}

export enum MemberStatus {
	Alive = 'alive',
	/** Accepts no new work; finishes the work in progress. */
	Leaving = 'leaving',
	/** Did not answer a probe; is declared dead unless it refutes the suspicion in time. */
	Suspect = 'suspect',
	/** Suspected while leaving: declared dead like a suspect, and accepts no new work meanwhile. */
	SuspectLeaving = 'suspect_leaving',
	Dead = 'dead',
}

/** Part of a record that changes often. It is gossiped apart from the record, in a few bytes, and need not reach every daemon. */
export type Gauge = {readonly version: number; readonly values: readonly number[]};

/** A gauge as gossiped. It is applied only where the record is known in the same incarnation. */
export type GaugeUpdate = readonly [id: string, incarnation: number, version: number, values: readonly number[]];

/** A member as gossiped. Of two records the one with the higher incarnation wins, then the higher version, then the worse status. */
export type MemberRecord = {
	readonly id: string;
	readonly kind: RecordKind;
	/** Increases with each start of the member. */
	readonly incarnation: number;
	/** Increases with each change within an incarnation. */
	readonly version: number;
	readonly status: MemberStatus;
	/** `host:port` of the link listener; for an upstream, of its HTTP listener. */
	readonly address: string;
	readonly availabilityZone: string;
	/** The daemon that an upstream announces itself to and that monitors it. */
	readonly sponsorId?: string;
	/** Fields specific to the kind; opaque to this package. */
	readonly details: Readonly<Record<string, unknown>>;
	readonly gauge?: Gauge;
};

export type MembershipTiming = {
	readonly probeIntervalMs: number;
	/** Without an ack within this time, a probe is repeated through other peers; after three times this, its target is suspected. */
	readonly probeTimeoutMs: number;
	readonly suspectTimeoutMs: number;
	/** Dead records are kept this long, so that outdated gossip does not revive them. */
	readonly deadRetentionMs: number;
	/** An upstream whose sponsor died is declared dead after this, unless another sponsor takes it over. */
	readonly orphanTimeoutMs: number;
	readonly syncIntervalMs: number;
};

/** A record with the local state of this daemon for it. */
export type TrackedMember = {
	readonly record: MemberRecord;
	/** End of the time in which a suspect can refute, a dead record is kept, or another sponsor can take over an upstream without one. */
	readonly deadlineMs: number | undefined;
};

type Probe = {
	readonly targetId: string;
	readonly sequence: number;
	/** Without an ack by then, other peers are asked to probe the target. */
	readonly relayDeadlineMs: number;
	/** Without an ack by then, the target is suspected. */
	readonly failDeadlineMs: number;
	readonly isRelayed: boolean;
};

export type Membership = {
	readonly selfId: string;
	readonly timing: MembershipTiming;
	/** Known members by id. */
	readonly held: ReadonlyMap<string, TrackedMember>;
	/** Records still to be disseminated, with their number of transmissions. */
	readonly pendingUpdates: PendingUpdates;
	/** Gauges still to be disseminated, with their number of transmissions. */
	readonly pendingGauges: PendingUpdates;
	readonly probe: Probe | undefined;
	readonly probeOrder: readonly string[];
	readonly nextProbeMs: number;
	readonly nextSyncMs: number;
	readonly sequence: number;
	readonly seeds: readonly string[];
};

export enum GossipKind {
	Ping = 'ping',
	Ack = 'ack',
	/** Asks a peer to ping the target on the sender's behalf (indirect probe). */
	PingRequest = 'ping_request',
	/** Digests of the sender's table by bucket; the reply carries the records of the buckets that differ. */
	Sync = 'sync',
	/**
	Records of the buckets whose digests differ; `parts` lists the numbers of these buckets. The receiver replies with the records that the
	sender lacks, with empty `parts`, which ends the exchange.
	*/
	SyncReply = 'sync_reply',
}

type WithUpdates = {readonly records: readonly MemberRecord[]; readonly gauges?: readonly GaugeUpdate[]};

/** `onBehalfOf`: address of the daemon that requested the indirect probe; the relay forwards the ack to it. */
export type Gossip = WithUpdates & (
	| {readonly kind: GossipKind.Ping; readonly sequence: number; readonly onBehalfOf?: string}
	| {readonly kind: GossipKind.Ack; readonly sequence: number; readonly onBehalfOf?: string}
	| {readonly kind: GossipKind.PingRequest; readonly sequence: number; readonly targetId: string}
	| {readonly kind: GossipKind.Sync; readonly digests: readonly string[]}
	| {readonly kind: GossipKind.SyncReply; readonly parts: readonly number[]}
);

export enum InputKind {
	Tick = 'tick',
	Gossip = 'gossip',
	/** Sets the record of an upstream that this daemon sponsors. */
	Publish = 'publish',
	/** Sets the gauge of an upstream that this daemon sponsors. */
	PublishGauge = 'publish_gauge',
	/** Sets this daemon's own record. */
	PublishSelf = 'publish_self',
}

export type Input
	= | {readonly kind: InputKind.Tick}
		| {readonly kind: InputKind.Gossip; readonly fromId: string; readonly fromAddress: string; readonly gossip: Gossip}
		| {readonly kind: InputKind.PublishGauge; readonly id: string; readonly values: readonly number[]}
		| {readonly kind: InputKind.Publish | InputKind.PublishSelf; readonly record: MemberRecord};

export enum OutputKind {
	Send = 'send',
	/** A record was added or replaced. */
	Changed = 'changed',
}

export type Output
	= | {readonly kind: OutputKind.Send; readonly address: string; readonly gossip: Gossip}
		| {readonly kind: OutputKind.Changed; readonly record: MemberRecord};
