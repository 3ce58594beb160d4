import {type HomeList} from './directory.js';
import {type RequestLimitNote} from './request-limit-note.js';
import {type InstanceUpdate, type InstanceRenewal} from './types.js';

export enum DaemonRole {
	/** Serves callers' requests. */
	Gateway = 'gateway',
	/** Holds the durable state and receives the announcements of instances. */
	Coordinator = 'coordinator',
}

/** How far the stop of a gateway is. */
export type GatewayLeaving = {
	/** Wall clock of the gateway when it was told to stop; used only to order the gateways that stop, so that all see them in the same order. */
	readonly sinceWallMs: number;
	/** Accepts new requests of any length. */
	readonly isAccepting: boolean;
};

/** What a gateway that stops is told about the others. */
export type GatewayPeers = {
	/** All gateways that are known, with the one that asks. */
	readonly known: number;
	readonly ready: number;
	/** Gateways that stop, still accept requests, and were told to stop after the one that asks. */
	readonly acceptingAfter: number;
	/** Other gateways that stop and accept nothing any more, so that their successors are next. */
	readonly ending: number;
};

/** What a daemon announces about itself. */
export type DaemonRecord = {
	readonly name: string;
	readonly role: DaemonRole;
	/** Increases with each start, because it is taken from the wall clock. */
	readonly incarnation: number;
	readonly linkAddress: string;
	/** Address for callers on a gateway; for operators and instances on a coordinator. */
	readonly serviceAddress: string;
	readonly availabilityZone: string;
	/** Takes new callers. */
	readonly isReady: boolean;
	/** Of a gateway that stops; absent before. */
	readonly leaving?: GatewayLeaving;
	/** Increases within one incarnation with each change of the other fields. */
	readonly sequence: number;
};

/** Told as the age of a target weight version whose time is not known, in ms: longer than any limit on the use of older weights. */
export const unknownTargetAgeMs = 60_000;

/** The part of the durable state that is distributed to all daemons. */
export type PublishedSnapshot = {
	/** Increases with each committed change. */
	readonly revision: number;
	readonly configVersion: number;
	/** The configuration as it was accepted; omitted if the receiver already has this version. */
	readonly configText: string | undefined;
	/** Latest target weight versions of each model, oldest first, with their ages; `unknownTargetAgeMs` or more where the age is not known. */
	readonly weights: ReadonlyArray<readonly [model: string, version: number, ageMs: number]>;
	/** Availability zones to whose instances nothing is to be sent; absent from a coordinator whose software knows no evacuations. */
	readonly evacuatedZones?: readonly string[] | undefined;
	/** For how long the sender has known that this was accepted; absent from one of older software. */
	readonly heldMs?: number | undefined;
};

/** The relation of the sender of a hello to the coordinator that receives it. */
export enum HelloKind {
	/** The receiver is the sender's primary home: it sends the sender changes, relays its load and answers its look-ups of stored parts. */
	PrimaryHome = 'primary_home',
	/** The receiver is the sender's secondary home: it only sends the sender changes. */
	SecondaryHome = 'secondary_home',
	/** The sender only polls, to repair updates that it missed (anti-entropy). */
	Visitor = 'visitor',
	/** The sender is a coordinator too. */
	Peer = 'peer',
}

/** Heartbeat and poll of a daemon to a coordinator, sent periodically and on changes. */
export type Hello = {
	/** The sender's daemon record. */
	readonly card: DaemonRecord;
	readonly greeting: HelloKind;
	/** Revision of the published state that the sender holds. */
	readonly publishedRevision: number;
	readonly configVersion: number;
	/** Requests the instance updates after this position; absent if the sender polls other coordinators in this round. */
	readonly newsAfter: UpdateCursor | undefined;
	/** Requests the fleet summary: data that changes too often to be sent on each change. */
	readonly wantsFleet: boolean;
	/** From a coordinator: the gateways that use it as a home; omitted if the receiver holds the current list. */
	readonly homes?: HomeList;
	/** From a coordinator: digest of its evidence about crashes. */
	readonly evidenceDigest?: string;
};

/** Position up to which a daemon has received a coordinator's instance updates. */
export type UpdateCursor = {
	/** Identifies the run of the coordinator that the revision belongs to; `undefined` before its first reply. */
	readonly bootId: string | undefined;
	readonly revision: number;
};

export type HelloReply = {
	readonly news: InstanceUpdateBatch | undefined;
	readonly fleet: FleetSummary | undefined;
	readonly published: PublishedSnapshot | undefined;
	/** The leader of the group, as far as the coordinator knows. */
	readonly leaderAddress: string | undefined;
	/** Whether the coordinator knew all that had been accepted a moment ago, so that what it says of others may be used. */
	readonly isCurrent: boolean;
	/** Time since the coordinator knew all that had been accepted; absent where it has not since its start, and from one of older software. */
	readonly stateAgeMs?: number | undefined;
	/** From a current coordinator: the target weight versions with their ages, while one of them is young. */
	readonly targetAges?: PublishedSnapshot['weights'] | undefined;
	/** Version of the sender's home list that the coordinator holds. */
	readonly heldHomes: Pick<HomeList, 'incarnation' | 'revision'> | undefined;
	/** For a gateway that stops, from a coordinator that is current. */
	readonly peers?: GatewayPeers;
	/** For a gateway: what it is to hold back. Checked by the package that reads it, as the next field. */
	readonly quarantine?: unknown;
	/** For another coordinator: the evidence about crashes, if its own differs. */
	readonly crashReport?: unknown;
};

/** Instance updates that a coordinator received after the requested position. */
export type InstanceUpdateBatch = {
	readonly cursor: UpdateCursor;
	readonly notes: readonly InstanceUpdate[];
};

/** What a coordinator knows about the fleet as a whole. */
export type FleetSummary = {
	readonly renewals: readonly InstanceRenewal[];
	readonly coordinators: readonly DaemonRecord[];
	/** Number of known gateways, ready or not. */
	readonly gateways: number;
	/** Request limits that instances name, and those that ended lately. */
	readonly requestLimits?: readonly RequestLimitNote[];
};

/** The daemons known to one coordinator, by name. Immutable. */
export type DaemonTable = ReadonlyMap<string, {readonly card: DaemonRecord; readonly heardAtMs: number}>;

/**
Adds or replaces the record of a daemon; a record of an earlier incarnation is ignored.

@example
```
const next = mergeDaemonRecord(new Map(), card, nowMs);
```
*/
export function mergeDaemonRecord(table: DaemonTable, card: DaemonRecord, nowMs: number): DaemonTable {
	const known = table.get(card.name);

	return known !== undefined && known.card.incarnation > card.incarnation ? table : new Map(table).set(card.name, {card, heardAtMs: nowMs});
}

export type ListDaemonsOptions = {
	readonly role: DaemonRole;
	readonly nowMs: number;
	/** Daemons whose records were last received longer ago than this are omitted. */
	readonly maxAgeMs: number;
};

/** Lists the daemons of a role whose records were received recently. */
export function listDaemons(table: DaemonTable, {role, nowMs, maxAgeMs}: ListDaemonsOptions): readonly DaemonRecord[] {
	return [...table.values()].filter(({card, heardAtMs}) => card.role === role && nowMs - heardAtMs <= maxAgeMs).map(({card}) => card);
}
