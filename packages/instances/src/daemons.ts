import {type HomeList} from './directory.js';
import {type InstanceNote, type InstanceRenewal} from './types.js';

export enum DaemonRole {
	/** Serves callers. */
	Gateway = 'gateway',
	/** Holds the durable state and takes announcements. */
	Coordinator = 'coordinator',
}

/** What a daemon tells of itself. */
export type DaemonCard = {
	readonly name: string;
	readonly role: DaemonRole;
	/** Grows with each start, as the wall clock does. */
	readonly incarnation: number;
	readonly linkAddress: string;
	/** Where callers reach a gateway, or operators and instances a coordinator. */
	readonly serviceAddress: string;
	readonly availabilityZone: string;
	/** Takes new work. */
	readonly isReady: boolean;
	/** Grows within one start with each change of what the card says. */
	readonly sequence: number;
};

/** The durable state that spreads to all daemons. */
export type Published = {
	/** Grows with each change that is committed. */
	readonly revision: number;
	readonly configVersion: number;
	/** The configuration as it was accepted; absent where the receiver has it. */
	readonly configText: string | undefined;
	/** The weights named last, by model, and how long ago as far as is known; longer where it is not. */
	readonly weights: ReadonlyArray<readonly [model: string, version: number, ageMs: number]>;
};

/** What a daemon is to a coordinator that it greets. */
export enum GreetingRole {
	/** The coordinator tells it of loads and of stored parts, and of whatever changes. */
	PrimaryHome = 'primary_home',
	/** The coordinator tells it of whatever changes. */
	SecondaryHome = 'secondary_home',
	/** It only asks, to repair what was missed elsewhere. */
	Visitor = 'visitor',
	/** A coordinator itself. */
	Peer = 'peer',
}

/** What a daemon says to a coordinator, at intervals and on changes. */
export type Hello = {
	readonly card: DaemonCard;
	readonly greeting: GreetingRole;
	readonly publishedRevision: number;
	readonly configVersion: number;
	/** Asks for news of instances; absent where the sender asks others this time. */
	readonly newsAfter: NewsCursor | undefined;
	/** Asks for what changes too often to be told each time. */
	readonly wantsFleet: boolean;
	/** Of a coordinator: the gateways that have it as their home; absent where the receiver holds that list. */
	readonly homes?: HomeList;
};

/** How far a daemon has a coordinator's news of instances. */
export type NewsCursor = {
	/** The start of the coordinator that the revision belongs to; `undefined` where nothing is known of it. */
	readonly bootId: string | undefined;
	readonly revision: number;
};

export type HelloReply = {
	readonly news: InstanceNews | undefined;
	readonly fleet: FleetNews | undefined;
	readonly published: Published | undefined;
	/** The replica that leads, as far as the coordinator knows. */
	readonly leaderAddress: string | undefined;
	/** Whether the coordinator heard from a leader lately, so that what it says is new. */
	readonly isCurrent: boolean;
	/** Which list of the sender's homes the coordinator holds. */
	readonly heldHomes: Pick<HomeList, 'incarnation' | 'revision'> | undefined;
};

/** What a coordinator has learned of instances since it was last asked. */
export type InstanceNews = {
	readonly cursor: NewsCursor;
	readonly notes: readonly InstanceNote[];
};

/** What a coordinator knows of the fleet as a whole. */
export type FleetNews = {
	readonly renewals: readonly InstanceRenewal[];
	readonly coordinators: readonly DaemonCard[];
	/** Gateways that are known, ready or not. */
	readonly gateways: number;
};

/** The daemons that one coordinator has heard, by name. Immutable. */
export type DaemonTable = ReadonlyMap<string, {readonly card: DaemonCard; readonly heardAtMs: number}>;

/**
Takes a daemon's word of itself; that of an earlier start is not taken.

@example
```
const next = takeCard(new Map(), card, nowMs);
```
*/
export function takeCard(table: DaemonTable, card: DaemonCard, nowMs: number): DaemonTable {
	const known = table.get(card.name);

	return known !== undefined && known.card.incarnation > card.incarnation ? table : new Map(table).set(card.name, {card, heardAtMs: nowMs});
}

export type ListOptions = {
	readonly role: DaemonRole;
	readonly nowMs: number;
	/** Those that were not heard for longer are left out. */
	readonly maxAgeMs: number;
};

/** Lists the daemons of a role that were heard lately. */
export function listCards(table: DaemonTable, {role, nowMs, maxAgeMs}: ListOptions): readonly DaemonCard[] {
	return [...table.values()].filter(({card, heardAtMs}) => card.role === role && nowMs - heardAtMs <= maxAgeMs).map(({card}) => card);
}
