import {
	sumShares, sumWork, type InstanceShare, type LoadUpdate, type PaceNote, type WorkDelta,
} from './load-update.js';

type ReceivedShares = {readonly shares: readonly InstanceShare[]; readonly atMs: number};

/** State of a load relay between two rounds. Immutable. */
export type LoadRelay = {
	/** Newest shares of the gateways that report to this relay, by address. */
	readonly gateways: ReadonlyMap<string, ReceivedShares>;
	/** Newest sums from the other relays, by address. */
	readonly relays: ReadonlyMap<string, ReceivedShares>;
	/** Work reported by each gateway since the previous round. */
	readonly gatewayWork: ReadonlyMap<string, readonly WorkDelta[]>;
	/** Work reported by other relays since the previous round. */
	readonly relayWork: readonly WorkDelta[];
	/** Newest pace by instance, from the gateways and from the other relays, since the previous round. */
	readonly gatewayPaces: ReadonlyMap<string, number>;
	readonly relayPaces: ReadonlyMap<string, number>;
	/** When shares are relayed next. */
	readonly sharesDueMs: number;
	/** Whether the previous round had no shares to relay. An empty list is relayed once, then nothing. */
	readonly wasIdle: boolean;
};

/** Updates to send in one round: to the other relays the sum of this relay's gateways, to each gateway the sum of all gateways but itself. */
export type RelayRound = {
	readonly relay: LoadRelay;
	readonly toRelays: LoadUpdate | undefined;
	readonly toGateways: ReadonlyArray<readonly [address: string, note: LoadUpdate]>;
};

/** Interval at which shares (requests in flight and held tokens) are relayed. Longer than that of work because they change more slowly. */
export const sharesIntervalMs = 300;
/** Shares that were not refreshed for this long are dropped: two intervals at the gateway, one at the relay, and a margin. */
export const maxSharesAgeMs = 1800;

export function createLoadRelay(): LoadRelay {
	return {
		gateways: new Map(), relays: new Map(), gatewayWork: new Map(), relayWork: [], gatewayPaces: new Map(), relayPaces: new Map(), sharesDueMs: 0, wasIdle: true,
	};
}

/** Adds an update of a gateway. */
export function addGatewayUpdate(relay: LoadRelay, from: string, {note, nowMs}: {readonly note: LoadUpdate; readonly nowMs: number}): LoadRelay {
	return {
		...relay,
		gateways: note.shares === undefined ? relay.gateways : new Map(relay.gateways).set(from, {shares: note.shares, atMs: nowMs}),
		gatewayWork: note.work.length === 0
			? relay.gatewayWork
			: new Map(relay.gatewayWork).set(from, sumWork([relay.gatewayWork.get(from) ?? [], note.work])),
		gatewayPaces: mergePaces(relay.gatewayPaces, note.paces),
	};
}

/** Adds an update of another relay. It is forwarded only to this relay's gateways, never to relays, so that updates do not loop. */
export function addRelayUpdate(relay: LoadRelay, from: string, {note, nowMs}: {readonly note: LoadUpdate; readonly nowMs: number}): LoadRelay {
	return {
		...relay,
		relays: note.shares === undefined ? relay.relays : new Map(relay.relays).set(from, {shares: note.shares, atMs: nowMs}),
		relayWork: note.work.length === 0 ? relay.relayWork : sumWork([relay.relayWork, note.work]),
		relayPaces: mergePaces(relay.relayPaces, note.paces),
	};
}

/** Returns whether a coming round has anything to send. */
export function hasPendingLoad({gateways, relays, gatewayWork, relayWork, gatewayPaces, relayPaces, wasIdle}: LoadRelay): boolean {
	return gatewayWork.size > 0 || relayWork.length > 0 || gatewayPaces.size > 0 || relayPaces.size > 0 || gateways.size > 0 || relays.size > 0 || !wasIdle;
}

/**
Computes the updates of one round. When many gateways send long prompts to few instances, each gateway has to learn of the others' work
within a fraction of a prompt's prefill time. Relaying sums keeps the traffic of a gateway independent of the number of gateways. If a
relay crashes, freezes or is partitioned, load figures are less accurate until its gateways have switched to another relay.

@example
```
const {relay, toRelays, toGateways} = relayLoads(previous, {gateways: ['10.0.0.4:7700'], nowMs});
```
*/
export function relayLoads(previous: LoadRelay, {gateways, nowMs}: {readonly gateways: readonly string[]; readonly nowMs: number}): RelayRound {
	const isDue = nowMs >= previous.sharesDueMs;
	const sharesByGateway = isDue ? filterUnexpired(previous.gateways, nowMs) : previous.gateways;
	const sharesByRelay = isDue ? filterUnexpired(previous.relays, nowMs) : previous.relays;
	const isIdle = isDue ? sharesByGateway.size === 0 && sharesByRelay.size === 0 : previous.wasIdle;
	const hasShares = isDue && !(isIdle && previous.wasIdle);
	const gatewayWorkSum = sumWork(previous.gatewayWork.values());
	const gatewayShares = hasShares ? sumShares([...sharesByGateway.values()].map(one => one.shares)) : undefined;
	const allShares = hasShares ? sumShares([gatewayShares!, ...[...sharesByRelay.values()].map(one => one.shares)]) : undefined;

	const gatewayPaces = [...previous.gatewayPaces];
	const allPaces = [...mergePaces(previous.gatewayPaces, [...previous.relayPaces])];

	const createUpdateFor = (address: string): LoadUpdate => ({
		...(allShares !== undefined && {shares: removeOwnShares(allShares, sharesByGateway.get(address)?.shares ?? [])}),
		work: sumWork([gatewayWorkSum, previous.relayWork, computeInverseWork(previous.gatewayWork.get(address) ?? [])]),
		...(allPaces.length > 0 && {paces: allPaces}),
	});

	return {
		relay: {
			gateways: sharesByGateway,
			relays: sharesByRelay,
			gatewayWork: new Map(),
			relayWork: [],
			gatewayPaces: new Map(),
			relayPaces: new Map(),
			sharesDueMs: isDue ? nowMs + sharesIntervalMs : previous.sharesDueMs,
			wasIdle: isIdle,
		},
		toRelays: gatewayWorkSum.length > 0 || hasShares || gatewayPaces.length > 0
			? {...(gatewayShares !== undefined && {shares: gatewayShares}), work: gatewayWorkSum, ...(gatewayPaces.length > 0 && {paces: gatewayPaces})}
			: undefined,
		toGateways: gateways.map(address => [address, createUpdateFor(address)] as const).filter(([, {shares, work, paces}]) => shares !== undefined || work.length > 0 || paces !== undefined),
	};
}

function mergePaces(known: ReadonlyMap<string, number>, news: readonly PaceNote[] = []): ReadonlyMap<string, number> {
	return news.length === 0 ? known : new Map([...known, ...news]);
}

function filterUnexpired(received: ReadonlyMap<string, ReceivedShares>, nowMs: number): ReadonlyMap<string, ReceivedShares> {
	return new Map([...received].filter(([, {atMs}]) => nowMs - atMs < maxSharesAgeMs));
}

function removeOwnShares(all: readonly InstanceShare[], own: readonly InstanceShare[]): readonly InstanceShare[] {
	if (own.length === 0) {
		return all;
	}

	return sumShares([all, own.map(([id, requests, heldTokens]) => [id, -requests, -heldTokens] as const)]).filter(([, requests]) => requests > 0);
}

function computeInverseWork(work: readonly WorkDelta[]): readonly WorkDelta[] {
	return work.map(([id, workMs, correctionMs]) => [id, -workMs, -correctionMs] as const);
}
