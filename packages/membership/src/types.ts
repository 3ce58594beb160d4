import {type Rumours} from './rumours.js';

/** What a record stands for. */
export enum RecordKind {
	Entry = 'entry',
	Control = 'control',
	Upstream = 'upstream',
}

export enum MemberStatus {
	Alive = 'alive',
	/** Takes no new work; finishes what runs. */
	Leaving = 'leaving',
	/** Did not answer; is declared dead unless it refutes in time. */
	Suspect = 'suspect',
	/** As a suspect, and takes no new work. */
	SuspectLeaving = 'suspect_leaving',
	Dead = 'dead',
}

/** A part of a record that changes often: it spreads by itself, in few bytes, and need not reach everyone. */
export type Gauge = {readonly version: number; readonly values: readonly number[]};

/** A gauge on its way; it is taken where its record is held in the same incarnation. */
export type GaugeNote = readonly [id: string, incarnation: number, version: number, values: readonly number[]];

/** One member as everyone knows it. The newest by incarnation, then version, wins everywhere. */
export type MemberRecord = {
	readonly id: string;
	readonly kind: RecordKind;
	/** Grows with each start of the member. */
	readonly incarnation: number;
	/** Grows with each change within an incarnation. */
	readonly version: number;
	readonly status: MemberStatus;
	/** `host:port` of the link listener; of the HTTP listener for an upstream. */
	readonly address: string;
	readonly availabilityZone: string;
	/** The daemon that an upstream announces itself to and that watches it. */
	readonly sponsorId?: string;
	/** What the kind needs beyond this; not read here. */
	readonly details: Readonly<Record<string, unknown>>;
	readonly gauge?: Gauge;
};

export type Timing = {
	readonly probeMs: number;
	/** A probe not answered by then is tried through others. */
	readonly probeTimeoutMs: number;
	readonly suspectMs: number;
	/** Dead records are kept this long, so that old news does not revive them. */
	readonly forgetMs: number;
	/** An upstream whose sponsor died is kept this long for another to take over. */
	readonly orphanMs: number;
	readonly syncMs: number;
};

/** A record with what only this daemon knows of it. */
export type Held = {
	readonly record: MemberRecord;
	/** Until when a suspect may refute, a dead record is kept, or an orphan may be announced again. */
	readonly deadlineMs: number | undefined;
};

type Probe = {
	readonly targetId: string;
	readonly sequence: number;
	readonly relayDeadlineMs: number;
	readonly failDeadlineMs: number;
	readonly isRelayed: boolean;
};

export type Membership = {
	readonly selfId: string;
	readonly timing: Timing;
	readonly held: ReadonlyMap<string, Held>;
	/** Records still to be passed on, with how often they have been. */
	readonly rumours: Rumours;
	/** Gauges still to be passed on, with how often they have been. */
	readonly gaugeRumours: Rumours;
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
	/** Asks another to ping in one's place. */
	PingRequest = 'ping_request',
	/** Digests of parts of the table; the answer holds the records of parts that differ. */
	Sync = 'sync',
	SyncReply = 'sync_reply',
}

type WithRumours = {readonly records: readonly MemberRecord[]; readonly gauges?: readonly GaugeNote[]};

export type Gossip = WithRumours & (
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
	/** Sets the gauge of such an upstream. */
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
	/** A record became new to this daemon. */
	Changed = 'changed',
}

export type Output
	= | {readonly kind: OutputKind.Send; readonly address: string; readonly gossip: Gossip}
		| {readonly kind: OutputKind.Changed; readonly record: MemberRecord};
