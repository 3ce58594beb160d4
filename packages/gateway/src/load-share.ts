import {type Clock} from '@fescuestair/core';
import {sharesMs, staleSharesMs, type LoadNote} from '@fescuestair/instances';
import {LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';
import {type InstanceBook} from './instance-book.js';

export type LoadShareOptions = {
	readonly linkAddress: string;
	readonly links: Pick<Links, 'send'>;
	readonly clock: Clock;
	readonly book: Pick<InstanceBook, 'addPeerWork' | 'listShares' | 'setPeers' | 'takeUntoldWork'>;
	/** Link address of the coordinator that relays. */
	readonly getHome: () => string | undefined;
};

/** Tells the other gateways what this one has at each instance, and takes what they say, by way of its home. */
export type LoadShare = {
	readonly take: (from: string, note: LoadNote) => void;
	/** Work was added, or an estimate of it corrected. */
	readonly noteWork: (workMs: number) => void;
	/** Forgets what the others had where the home says nothing any more. */
	readonly tidy: (nowMs: number) => void;
	/** Tells a home that is one no longer that this gateway has nothing; its new one tells the rest. */
	readonly leaveHome: (address: string) => void;
	readonly stop: () => void;
};

/** Shortest time between two tellings: a short prompt is read within it. */
const tellMs = 10;
/** Work that the others should know of at once: more than a short prompt makes. */
const urgentWorkMs = 20;
/** A timer may end a moment before its time; what it was set for is due then. */
const timerSlackMs = 2;

/**
Creates the exchange of loads of a gateway. Answers the load pattern of many gateways that each send a long prompt to the same idle instance:
without it each sees only its own. A gateway without requests has no timer and sends nothing.

@example
```
const share = createLoadShare({linkAddress, links, clock, book, getHome});
```
*/
export function createLoadShare({linkAddress, links, clock, book, getHome}: LoadShareOptions): LoadShare {
	let heardAtMs = Number.NEGATIVE_INFINITY;
	let hasPeers = false;
	let toldAtMs = Number.NEGATIVE_INFINITY;
	let sharesDueMs = 0;
	let untoldMs = 0;
	let isIdle = true;
	let timer: NodeJS.Timeout | undefined;
	let timerAtMs = Number.POSITIVE_INFINITY;

	const send = (address: string | undefined, loads: LoadNote) => {
		if (address !== undefined) {
			links.send(address, {
				kind: LinkKind.Loads, from: linkAddress, loads, isRelayed: false,
			} satisfies LinkMessage);
		}
	};

	const tell = () => {
		timer = undefined;
		timerAtMs = Number.POSITIVE_INFINITY;
		const nowMs = clock.readMonotonicMs();
		const isDue = nowMs >= sharesDueMs - timerSlackMs;
		const note: LoadNote = {work: book.takeUntoldWork(), ...(isDue && {shares: book.listShares()})};
		const hasNothing = note.work.length === 0 && (note.shares ?? []).length === 0;
		untoldMs = 0;
		toldAtMs = nowMs;

		if (isDue) {
			sharesDueMs = nowMs + sharesMs;
		}

		// That there is nothing any more is said once.
		if (!hasNothing || (isDue && !isIdle)) {
			send(getHome(), note);
		}

		isIdle = isDue ? hasNothing : isIdle && hasNothing;
		schedule(nowMs);
	};

	const schedule = (nowMs: number) => {
		const dueMs = untoldMs >= urgentWorkMs ? toldAtMs + tellMs : (isIdle ? Number.POSITIVE_INFINITY : Math.max(sharesDueMs, toldAtMs + tellMs));

		if (dueMs < timerAtMs) {
			clearTimeout(timer);
			timerAtMs = dueMs;
			timer = setTimeout(tell, Math.max(0, dueMs - nowMs));
		}
	};

	return {
		take(from, {shares, work}) {
			// A coordinator that was the home before may go on telling for a moment.
			if (from !== getHome()) {
				return;
			}

			book.addPeerWork(work);

			if (shares !== undefined) {
				heardAtMs = clock.readMonotonicMs();
				hasPeers = true;
				book.setPeers(new Map(shares.map(([id, requests, heldTokens]) => [id, {requests, heldTokens}])));
			}
		},
		noteWork(workMs) {
			untoldMs += Math.abs(workMs);
			isIdle = false;
			schedule(clock.readMonotonicMs());
		},
		tidy(nowMs) {
			if (hasPeers && nowMs - heardAtMs >= staleSharesMs) {
				hasPeers = false;
				book.setPeers(new Map());
			}
		},
		leaveHome(address) {
			send(address, {shares: [], work: []});
		},
		stop() {
			clearTimeout(timer);
		},
	};
}
