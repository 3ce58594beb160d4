import {type Clock} from '@fescuestair/core';
import {sharesIntervalMs, maxSharesAgeMs, type LoadUpdate} from '@fescuestair/instances';
import {LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';
import {type InstancePool} from './instance-pool.js';

export type LoadExchangeOptions = {
	readonly linkAddress: string;
	readonly links: Pick<Links, 'send'>;
	readonly clock: Clock;
	readonly instancePool: Pick<InstancePool, 'addPeerWork' | 'listShares' | 'recordPeerPaces' | 'setPeerLoads' | 'takeUnsentPaces' | 'takeUnsentWork'>;
	/** Link address of the primary home, which relays updates to the other gateways. */
	readonly getHome: () => string | undefined;
};

/** Exchanges the load at each instance with the other gateways, by way of the home coordinator. */
export type LoadExchange = {
	/** Applies an update from the home; updates from other addresses are ignored. */
	readonly applyPeerLoads: (from: string, note: LoadUpdate) => void;
	/** Called when work was added or an estimate corrected; schedules a message to the other gateways. */
	readonly recordWorkChange: (workMs: number) => void;
	/** Drops the other gateways' load when the home has sent none for too long. */
	readonly expirePeerLoads: (nowMs: number) => void;
	/** Clears this gateway's load at its former home; the new home reports it from now on. */
	readonly clearLoadsAt: (address: string) => void;
	readonly stop: () => void;
};

/** Shortest interval between two messages; long enough for the prefill of a short prompt. */
const minSendIntervalMs = 10;
/** Unsent work that is sent without waiting for the next regular message; more than the prefill of a short prompt takes. */
const urgentWorkMs = 20;
/** Tolerance for timers that fire early: what such a timer was set for still counts as due. */
const timerSlackMs = 2;

/**
Creates the load exchange of a gateway. It prevents many gateways from each sending a long prompt to the same idle instance, which happens
when each sees only its own load. A gateway without requests has no timer and sends nothing.

@example
```
const loadExchange = createLoadExchange({linkAddress, links, clock, instancePool, getHome});
```
*/
export function createLoadExchange({linkAddress, links, clock, instancePool, getHome}: LoadExchangeOptions): LoadExchange {
	let lastHeardAtMs = Number.NEGATIVE_INFINITY;
	let hasPeerLoads = false;
	let lastSentAtMs = Number.NEGATIVE_INFINITY;
	let sharesDueMs = 0;
	let unsentWorkMs = 0;
	let isIdle = true;
	let timer: NodeJS.Timeout | undefined;
	let timerDueMs = Number.POSITIVE_INFINITY;

	const send = (address: string | undefined, loads: LoadUpdate) => {
		if (address !== undefined) {
			links.send(address, {
				kind: LinkMessageKind.Loads, from: linkAddress, loads, isRelayed: false,
			} satisfies LinkMessage);
		}
	};

	const sendLoads = () => {
		timer = undefined;
		timerDueMs = Number.POSITIVE_INFINITY;
		const nowMs = clock.readMonotonicMs();
		const isDue = nowMs >= sharesDueMs - timerSlackMs;
		const paces = instancePool.takeUnsentPaces();
		const note: LoadUpdate = {work: instancePool.takeUnsentWork(), ...(isDue && {shares: instancePool.listShares()}), ...(paces.length > 0 && {paces})};
		const hasNothing = note.work.length === 0 && paces.length === 0 && (note.shares ?? []).length === 0;
		unsentWorkMs = 0;
		lastSentAtMs = nowMs;

		if (isDue) {
			sharesDueMs = nowMs + sharesIntervalMs;
		}

		// An empty load is sent once, after the last request ended.
		if (!hasNothing || (isDue && !isIdle)) {
			send(getHome(), note);
		}

		isIdle = isDue ? hasNothing : isIdle && hasNothing;
		schedule(nowMs);
	};

	const schedule = (nowMs: number) => {
		const dueMs = unsentWorkMs >= urgentWorkMs ? lastSentAtMs + minSendIntervalMs : (isIdle ? Number.POSITIVE_INFINITY : Math.max(sharesDueMs, lastSentAtMs + minSendIntervalMs));

		if (dueMs < timerDueMs) {
			clearTimeout(timer);
			timerDueMs = dueMs;
			timer = setTimeout(sendLoads, Math.max(0, dueMs - nowMs));
		}
	};

	return {
		applyPeerLoads(from, {shares, work, paces = []}) {
			// A former home may go on sending for a moment.
			if (from !== getHome()) {
				return;
			}

			instancePool.addPeerWork(work);
			instancePool.recordPeerPaces(paces);

			if (shares !== undefined) {
				lastHeardAtMs = clock.readMonotonicMs();
				hasPeerLoads = true;
				instancePool.setPeerLoads(new Map(shares.map(([id, requests, heldTokens]) => [id, {requests, heldTokens}])));
			}
		},
		recordWorkChange(workMs) {
			unsentWorkMs += Math.abs(workMs);
			isIdle = false;
			schedule(clock.readMonotonicMs());
		},
		expirePeerLoads(nowMs) {
			if (hasPeerLoads && nowMs - lastHeardAtMs >= maxSharesAgeMs) {
				hasPeerLoads = false;
				instancePool.setPeerLoads(new Map());
			}
		},
		clearLoadsAt(address) {
			send(address, {shares: [], work: []});
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
