import {type InstanceNote} from './types.js';

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

/** What a daemon says to each coordinator, at intervals and on changes. */
export type Hello = {
	readonly card: DaemonCard;
	readonly publishedRevision: number;
	readonly configVersion: number;
	/** Asks for news of daemons and instances; absent where the sender asks others this time. */
	readonly newsAfter: NewsCursor | undefined;
};

/** How far a daemon has a coordinator's news of instances. */
export type NewsCursor = {
	/** The start of the coordinator that the revision belongs to; `undefined` where nothing is known of it. */
	readonly bootId: string | undefined;
	readonly revision: number;
};

export type HelloReply = {
	readonly news: FleetNews | undefined;
	readonly published: Published | undefined;
	/** The replica that leads, as far as the coordinator knows. */
	readonly leaderAddress: string | undefined;
	/** Whether the coordinator heard from a leader lately, so that what it says is new. */
	readonly isCurrent: boolean;
};

/** What a coordinator knows of the other daemons, and has learned of instances since it was last asked. */
export type FleetNews = {
	readonly cursor: NewsCursor;
	readonly notes: readonly InstanceNote[];
	readonly coordinators: readonly DaemonCard[];
	/** Link addresses of the gateways that were heard lately, ready or not. */
	readonly gateways: readonly string[];
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

/** Coordinators that a daemon asks for news in one round: one may be lost, and each knows what the others know. */
const newsSources = 2;

/**
Picks the coordinators to ask for news in one round; each has its turn. What changes is told to everyone at once, so rounds only renew
what is known and repair what was missed. Answers the load pattern of many daemons before many coordinators: what each is told in a
round does not grow with the number of coordinators.

@example
```
pickNewsSources(['a', 'b', 'c'], 1); //=> Set {'c', 'a'}
```
*/
export function pickNewsSources(addresses: readonly string[], round: number): ReadonlySet<string> {
	const start = round * newsSources;

	return new Set(Array.from({length: Math.min(newsSources, addresses.length)}, (_, index) => addresses[(start + index) % addresses.length]!));
}
