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
	/** How far the sender has this coordinator's news of instances. */
	readonly bootId: string | undefined;
	readonly instanceRevision: number;
};

export type HelloReply = {
	readonly bootId: string;
	readonly instanceRevision: number;
	readonly notes: readonly InstanceNote[];
	readonly coordinators: readonly DaemonCard[];
	/** Link addresses of the gateways that were heard lately, ready or not. */
	readonly gateways: readonly string[];
	readonly published: Published | undefined;
	/** The replica that leads, as far as the coordinator knows. */
	readonly leaderAddress: string | undefined;
	/** Whether the coordinator heard from a leader lately, so that what it says is new. */
	readonly isCurrent: boolean;
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
