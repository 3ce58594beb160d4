import {type DaemonCard} from './daemons.js';

/** The gateways that have one coordinator as their home, as it tells the other coordinators. */
export type HomeList = {
	/** Of the coordinator's start and of the list; a list is sent anew when it changes. */
	readonly incarnation: number;
	readonly revision: number;
	readonly cards: readonly DaemonCard[];
};

type HomeGateway = {readonly card: DaemonCard; readonly isPrimary: boolean; readonly heardAtMs: number};

/**
The gateways that one coordinator knows: those that say hello to it as their home, and those that other coordinators have as theirs.
Immutable.
*/
export type GatewayDirectory = {
	readonly homes: ReadonlyMap<string, HomeGateway>;
	/** Grows with each change of the list of cards. */
	readonly revision: number;
	readonly told: ReadonlyMap<string, {readonly list: HomeList; readonly atMs: number}>;
};

export type DirectoryTimes = {
	readonly nowMs: number;
	/** A gateway that said nothing to its home for longer is out of the directory. */
	readonly gatewayAgeMs: number;
	/** The list of a coordinator that was not heard for longer counts no more; its gateways have other homes by then. */
	readonly coordinatorAgeMs: number;
};

/** Creates the directory of a coordinator that heard nobody yet. */
export function createGatewayDirectory(): GatewayDirectory {
	return {homes: new Map(), revision: 0, told: new Map()};
}

/** Takes the hello of a gateway whose home this coordinator is. */
export function takeHomeHello(directory: GatewayDirectory, {card, isPrimary, nowMs}: {
	readonly card: DaemonCard; readonly isPrimary: boolean; readonly nowMs: number;
}): GatewayDirectory {
	const known = directory.homes.get(card.name);

	if ((known?.card.incarnation ?? 0) > card.incarnation) {
		return directory;
	}

	const isChanged = known?.card.incarnation !== card.incarnation || known.card.isReady !== card.isReady;

	return {
		...directory,
		revision: directory.revision + (isChanged ? 1 : 0),
		homes: new Map(directory.homes).set(card.name, {card, isPrimary, heardAtMs: nowMs}),
	};
}

/** Drops the gateways that said nothing for too long, or chose another home. */
export function tidyDirectory(directory: GatewayDirectory, {nowMs, gatewayAgeMs, coordinatorAgeMs}: DirectoryTimes): GatewayDirectory {
	const homes = new Map([...directory.homes].filter(([, {heardAtMs}]) => nowMs - heardAtMs <= gatewayAgeMs));
	const told = new Map([...directory.told].filter(([, {atMs}]) => nowMs - atMs <= coordinatorAgeMs));
	const isSame = homes.size === directory.homes.size && told.size === directory.told.size;

	return isSame ? directory : {homes, told, revision: directory.revision + (homes.size === directory.homes.size ? 0 : 1)};
}

/** Lists the gateways whose home this coordinator is, for the others. */
export function listHomes({homes, revision}: GatewayDirectory, incarnation: number): HomeList {
	return {incarnation, revision, cards: [...homes.values()].map(({card}) => card)};
}

/** Takes the word of another coordinator: its list, or that the one that it sent before still holds. */
export function takeHomeList(directory: GatewayDirectory, {from, list, nowMs}: {
	readonly from: string; readonly list: HomeList | undefined; readonly nowMs: number;
}): GatewayDirectory {
	const known = directory.told.get(from)?.list;
	const isOlder = known !== undefined && list !== undefined
		&& (known.incarnation > list.incarnation || (known.incarnation === list.incarnation && known.revision > list.revision));
	const next = list === undefined || isOlder ? known : list;

	return next === undefined ? directory : {...directory, told: new Map(directory.told).set(from, {list: next, atMs: nowMs})};
}

/** Tells which list of another coordinator is held, so that it is sent only when it has changed. */
export function getHeldList({told}: GatewayDirectory, from: string): Pick<HomeList, 'incarnation' | 'revision'> | undefined {
	return told.get(from)?.list;
}

/** Positive where `a` is newer. */
function compareCards(a: DaemonCard, b: DaemonCard): number {
	return a.incarnation === b.incarnation ? a.sequence - b.sequence : a.incarnation - b.incarnation;
}

/**
Lists all gateways that are known, each by its newest card.

@example
```
listGateways(directory, times).filter(card => card.isReady);
```
*/
export function listGateways(directory: GatewayDirectory, times: DirectoryTimes): readonly DaemonCard[] {
	const {homes, told} = tidyDirectory(directory, times);
	const newest = new Map<string, DaemonCard>();

	for (const card of [...[...told.values()].flatMap(({list}) => list.cards), ...[...homes.values()].map(one => one.card)]) {
		const known = newest.get(card.name);

		if (known === undefined || compareCards(known, card) <= 0) {
			newest.set(card.name, card);
		}
	}

	return [...newest.values()];
}

/** Lists the link addresses of the gateways whose home this coordinator is; `isPrimary` alone where each is to be told once. */
export function listHomeAddresses({homes}: GatewayDirectory, {isPrimary = false}: {readonly isPrimary?: boolean} = {}): readonly string[] {
	return [...homes.values()].filter(one => one.isPrimary || !isPrimary).map(({card}) => card.linkAddress);
}

/**
Picks some of the gateways, others each time. Answers the load pattern of more gateways than an answer to a caller may name: the first of a
list would get all callers.

@example
```
pickCards(cards, 64, Math.random).map(card => card.serviceAddress);
```
*/
export function pickCards(cards: readonly DaemonCard[], count: number, random: () => number): readonly DaemonCard[] {
	const shuffled = [...cards];

	for (let position = 0; position < Math.min(count, shuffled.length - 1); position++) {
		const other = position + Math.floor(random() * (shuffled.length - position));
		[shuffled[position], shuffled[other]] = [shuffled[other]!, shuffled[position]!];
	}

	return shuffled.slice(0, count);
}
