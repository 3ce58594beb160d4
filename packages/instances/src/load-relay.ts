import {
	sumShares, sumWork, type InstanceShare, type LoadNote, type WorkShare,
} from './load-note.js';

type HeardShares = {readonly shares: readonly InstanceShare[]; readonly atMs: number};

/** What a relay of loads holds between two rounds. Immutable. */
export type LoadRelay = {
	/** Newest shares of the gateways that tell this relay. */
	readonly gateways: ReadonlyMap<string, HeardShares>;
	/** Newest sums of the other relays. */
	readonly relays: ReadonlyMap<string, HeardShares>;
	/** Work told by each gateway since the round before. */
	readonly gatewayWork: ReadonlyMap<string, readonly WorkShare[]>;
	/** Work told by other relays since then. */
	readonly relayWork: readonly WorkShare[];
	/** When shares are passed on next. */
	readonly sharesDueMs: number;
	/** Whether the round before had no shares to pass on; that is said once. */
	readonly wasIdle: boolean;
};

/** Notes of one round: to other relays all that the own gateways told, to each gateway what all but itself did. */
export type LoadRound = {
	readonly relay: LoadRelay;
	readonly toRelays: LoadNote | undefined;
	readonly toGateways: ReadonlyArray<readonly [address: string, note: LoadNote]>;
};

/** How often requests and their memory are passed on: they change slowly against work. */
export const sharesMs = 300;
/** Shares that were not renewed for this long count no more: two rounds at the gateway, one here, and some to spare. */
export const staleSharesMs = 1800;

/** Creates a relay that heard nothing yet. */
export function createLoadRelay(): LoadRelay {
	return {
		gateways: new Map(), relays: new Map(), gatewayWork: new Map(), relayWork: [], sharesDueMs: 0, wasIdle: true,
	};
}

/** Takes the note of a gateway. */
export function takeGatewayNote(relay: LoadRelay, from: string, {note, nowMs}: {readonly note: LoadNote; readonly nowMs: number}): LoadRelay {
	return {
		...relay,
		gateways: note.shares === undefined ? relay.gateways : new Map(relay.gateways).set(from, {shares: note.shares, atMs: nowMs}),
		gatewayWork: note.work.length === 0
			? relay.gatewayWork
			: new Map(relay.gatewayWork).set(from, sumWork([relay.gatewayWork.get(from) ?? [], note.work])),
	};
}

/** Takes the note of another relay; it is passed on to the own gateways alone, so that nothing goes round. */
export function takeRelayNote(relay: LoadRelay, from: string, {note, nowMs}: {readonly note: LoadNote; readonly nowMs: number}): LoadRelay {
	return {
		...relay,
		relays: note.shares === undefined ? relay.relays : new Map(relay.relays).set(from, {shares: note.shares, atMs: nowMs}),
		relayWork: note.work.length === 0 ? relay.relayWork : sumWork([relay.relayWork, note.work]),
	};
}

/** Tells whether a round would pass anything on. */
export function hasLoadNews({gateways, relays, gatewayWork, relayWork, wasIdle}: LoadRelay): boolean {
	return gatewayWork.size > 0 || relayWork.length > 0 || gateways.size > 0 || relays.size > 0 || !wasIdle;
}

/**
Passes on what was told since the round before. Answers the load pattern of many gateways that each send long prompts to few instances:
each has to know of the others' work within a fraction of the time that a prompt takes to read, and what a gateway sends and receives does
not grow with their number. A relay that is lost, frozen or cut off costs accuracy until its gateways tell another.

@example
```
const {relay, toRelays, toGateways} = relayLoads(before, {gateways: ['10.0.0.4:7700'], nowMs});
```
*/
export function relayLoads(before: LoadRelay, {gateways, nowMs}: {readonly gateways: readonly string[]; readonly nowMs: number}): LoadRound {
	const isDue = nowMs >= before.sharesDueMs;
	const heardGateways = isDue ? filterFresh(before.gateways, nowMs) : before.gateways;
	const heardRelays = isDue ? filterFresh(before.relays, nowMs) : before.relays;
	const isIdle = isDue ? heardGateways.size === 0 && heardRelays.size === 0 : before.wasIdle;
	const hasShares = isDue && !(isIdle && before.wasIdle);
	const ownWork = sumWork(before.gatewayWork.values());
	const ownShares = hasShares ? sumShares([...heardGateways.values()].map(one => one.shares)) : undefined;
	const allShares = hasShares ? sumShares([ownShares!, ...[...heardRelays.values()].map(one => one.shares)]) : undefined;

	const describeFor = (address: string): LoadNote => ({
		...(allShares !== undefined && {shares: withdrawShares(allShares, heardGateways.get(address)?.shares ?? [])}),
		work: sumWork([ownWork, before.relayWork, withdrawWork(before.gatewayWork.get(address) ?? [])]),
	});

	return {
		relay: {
			gateways: heardGateways,
			relays: heardRelays,
			gatewayWork: new Map(),
			relayWork: [],
			sharesDueMs: isDue ? nowMs + sharesMs : before.sharesDueMs,
			wasIdle: isIdle,
		},
		toRelays: ownWork.length > 0 || hasShares ? {...(ownShares !== undefined && {shares: ownShares}), work: ownWork} : undefined,
		toGateways: gateways.map(address => [address, describeFor(address)] as const).filter(([, {shares, work}]) => shares !== undefined || work.length > 0),
	};
}

function filterFresh(heard: ReadonlyMap<string, HeardShares>, nowMs: number): ReadonlyMap<string, HeardShares> {
	return new Map([...heard].filter(([, {atMs}]) => nowMs - atMs < staleSharesMs));
}

function withdrawShares(all: readonly InstanceShare[], own: readonly InstanceShare[]): readonly InstanceShare[] {
	if (own.length === 0) {
		return all;
	}

	return sumShares([all, own.map(([id, requests, heldTokens]) => [id, -requests, -heldTokens] as const)]).filter(([, requests]) => requests > 0);
}

function withdrawWork(work: readonly WorkShare[]): readonly WorkShare[] {
	return work.map(([id, workMs, correctionMs]) => [id, -workMs, -correctionMs] as const);
}
