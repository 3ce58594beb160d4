import {type DaemonRecord} from './daemons.js';

/** The gateways that use one coordinator as a home, as it sends them to the other coordinators. */
export type HomeList = {
	/** Incarnation of the coordinator, and revision of its list. The list is sent again only when it changes. */
	readonly incarnation: number;
	readonly revision: number;
	readonly cards: readonly DaemonRecord[];
};

type HomeGateway = {readonly card: DaemonRecord; readonly isPrimary: boolean; readonly heardAtMs: number};

/** The gateways known to one coordinator: those that use it as a home, and those on the home lists of other coordinators. Immutable. */
export type GatewayDirectory = {
	readonly homes: ReadonlyMap<string, HomeGateway>;
	/** Increases when a home gateway is added, removed or restarted, or changes whether it is ready or accepts. */
	readonly revision: number;
	/** Home lists of the other coordinators, by link address of the coordinator. */
	readonly listsByCoordinator: ReadonlyMap<string, {readonly list: HomeList; readonly atMs: number}>;
};

export type DirectoryExpiry = {
	readonly nowMs: number;
	/** A gateway that sent no hello to its home for longer than this is removed from the directory. */
	readonly gatewayAgeMs: number;
	/** The list of a coordinator that sent no hello for longer than this is removed; its gateways have other homes by then. */
	readonly coordinatorAgeMs: number;
};

export function createGatewayDirectory(): GatewayDirectory {
	return {homes: new Map(), revision: 0, listsByCoordinator: new Map()};
}

/** Records a hello of a gateway that uses this coordinator as a home; a hello of an earlier incarnation is ignored. */
export function recordHomeHello(directory: GatewayDirectory, {card, isPrimary, nowMs}: {
	readonly card: DaemonRecord; readonly isPrimary: boolean; readonly nowMs: number;
}): GatewayDirectory {
	const known = directory.homes.get(card.name);

	if ((known?.card.incarnation ?? 0) > card.incarnation) {
		return directory;
	}

	const isChanged = known?.card.incarnation !== card.incarnation || known.card.isReady !== card.isReady
		|| known.card.leaving?.isAccepting !== card.leaving?.isAccepting;

	return {
		...directory,
		revision: directory.revision + (isChanged ? 1 : 0),
		homes: new Map(directory.homes).set(card.name, {card, isPrimary, heardAtMs: nowMs}),
	};
}

/** Removes gateways that sent no hello for too long, which includes those that chose another home, and expired lists of other coordinators. */
export function expireGateways(directory: GatewayDirectory, {nowMs, gatewayAgeMs, coordinatorAgeMs}: DirectoryExpiry): GatewayDirectory {
	const homes = new Map([...directory.homes].filter(([, {heardAtMs}]) => nowMs - heardAtMs <= gatewayAgeMs));
	const listsByCoordinator = new Map([...directory.listsByCoordinator].filter(([, {atMs}]) => nowMs - atMs <= coordinatorAgeMs));
	const isSame = homes.size === directory.homes.size && listsByCoordinator.size === directory.listsByCoordinator.size;

	return isSame ? directory : {homes, listsByCoordinator, revision: directory.revision + (homes.size === directory.homes.size ? 0 : 1)};
}

/** Creates the list of the gateways that use this coordinator as a home, for the other coordinators. */
export function createHomeList({homes, revision}: GatewayDirectory, incarnation: number): HomeList {
	return {incarnation, revision, cards: [...homes.values()].map(({card}) => card)};
}

/** Records the home list of another coordinator. Without a list, the one it sent before is still valid; an older list is ignored. */
export function recordHomeList(directory: GatewayDirectory, {from, list, nowMs}: {
	readonly from: string; readonly list: HomeList | undefined; readonly nowMs: number;
}): GatewayDirectory {
	const known = directory.listsByCoordinator.get(from)?.list;
	const isOlder = known !== undefined && list !== undefined
		&& (known.incarnation > list.incarnation || (known.incarnation === list.incarnation && known.revision > list.revision));
	const next = list === undefined || isOlder ? known : list;

	return next === undefined ? directory : {...directory, listsByCoordinator: new Map(directory.listsByCoordinator).set(from, {list: next, atMs: nowMs})};
}

/** Returns the version of the home list that is held for another coordinator, so that it sends its list only after a change. */
export function getHomeListVersion({listsByCoordinator}: GatewayDirectory, from: string): Pick<HomeList, 'incarnation' | 'revision'> | undefined {
	return listsByCoordinator.get(from)?.list;
}

/** Returns a positive number if `a` is newer. */
function compareDaemonRecords(a: DaemonRecord, b: DaemonRecord): number {
	return a.incarnation === b.incarnation ? a.sequence - b.sequence : a.incarnation - b.incarnation;
}

/**
Lists all known gateways, each with its newest record.

@example
```
listGateways(directory, times).filter(card => card.isReady);
```
*/
export function listGateways(directory: GatewayDirectory, times: DirectoryExpiry): readonly DaemonRecord[] {
	const {homes, listsByCoordinator} = expireGateways(directory, times);
	const newest = new Map<string, DaemonRecord>();

	for (const card of [...[...listsByCoordinator.values()].flatMap(({list}) => list.cards), ...[...homes.values()].map(one => one.card)]) {
		const known = newest.get(card.name);

		if (known === undefined || compareDaemonRecords(known, card) <= 0) {
			newest.set(card.name, card);
		}
	}

	return [...newest.values()];
}

/**
Lists the link addresses of the gateways that use this coordinator as a home. `isPrimary` limits the list to those that use it as their
primary home, for messages that all coordinators relay and that each gateway must receive once.
*/
export function listHomeGatewayAddresses({homes}: GatewayDirectory, {isPrimary = false}: {readonly isPrimary?: boolean} = {}): readonly string[] {
	return [...homes.values()].filter(one => one.isPrimary || !isPrimary).map(({card}) => card.linkAddress);
}

/**
Picks a random sample of daemons. A response to a caller can name only a limited number of gateways; if it always named the first ones of
the list, these would get all callers.

@example
```
pickRandomDaemons(cards, 64, Math.random).map(card => card.serviceAddress);
```
*/
export function pickRandomDaemons(cards: readonly DaemonRecord[], count: number, random: () => number): readonly DaemonRecord[] {
	// Partial Fisher-Yates shuffle.
	const shuffled = [...cards];

	for (let position = 0; position < Math.min(count, shuffled.length - 1); position++) {
		const other = position + Math.floor(random() * (shuffled.length - position));
		[shuffled[position], shuffled[other]] = [shuffled[other]!, shuffled[position]!];
	}

	return shuffled.slice(0, count);
}
