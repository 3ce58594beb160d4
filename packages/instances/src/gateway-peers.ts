import {type DaemonRecord, type GatewayPeers} from './daemons.js';

/** Share of the gateways that can serve the callers of all of them. */
const enoughShare = 0.5;

/**
Counts the gateways that are enough to serve all callers while the others restart.

@example
```
countEnoughGateways(5); //=> 3
```
*/
export function countEnoughGateways(known: number): number {
	return Math.ceil(known * enoughShare);
}

/** Returns a positive number if `a` was told to stop after `b`. */
function compareStops(a: DaemonRecord, b: DaemonRecord): number {
	const differenceMs = (a.leaving?.sinceWallMs ?? 0) - (b.leaving?.sinceWallMs ?? 0);

	return differenceMs === 0 ? (a.name < b.name ? -1 : 1) : differenceMs;
}

function isAcceptingStill({isReady, leaving}: DaemonRecord): boolean {
	return !isReady && leaving?.isAccepting === true;
}

/**
Tells a gateway that stops what the others do. The answer has the same size for any number of gateways.

@example
```
describePeers(listGateways(directory, times), card); //=> {known: 5, ready: 1, acceptingAfter: 1, ending: 2}
```
*/
export function describePeers(cards: readonly DaemonRecord[], self: DaemonRecord): GatewayPeers {
	const others = cards.filter(card => card.name !== self.name);

	return {
		known: others.length + 1,
		ready: others.filter(card => card.isReady).length,
		acceptingAfter: others.filter(card => isAcceptingStill(card) && compareStops(card, self) > 0).length,
		ending: others.filter(card => card.leaving?.isAccepting === false).length,
	};
}

/**
Lists the gateways that callers are to use: those that are ready; while these are too few, also some that stop and still accept requests. Of these, the ones that were told last to stop go on
for longest.

@example
```
listGatewaysForCallers(listGateways(directory, times)).map(card => card.serviceAddress);
```
*/
export function listGatewaysForCallers(cards: readonly DaemonRecord[]): readonly DaemonRecord[] {
	const ready = cards.filter(card => card.isReady);
	const lacking = Math.max(0, countEnoughGateways(cards.length) - ready.length);
	const accepting = cards.filter(card => isAcceptingStill(card)).toSorted((a, b) => compareStops(b, a));

	return [...ready, ...accepting.slice(0, lacking)];
}
