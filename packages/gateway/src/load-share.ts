import {type Clock} from '@fescuestair/core';
import {LinkKind, type LinkMessage} from '@fescuestair/protocol';
import {type PeerLoad} from '@fescuestair/routing';
import {type Links} from '@fescuestair/transport';
import {type InstanceBook} from './instance-book.js';

/** What one gateway has at one instance. */
export type InstanceShare = readonly [instanceId: string, requests: number, heldTokens: number];

/** Work that a gateway sent to an instance, and by how much it found the instance's queue to be longer or shorter than was told. */
export type WorkShare = readonly [instanceId: string, workMs: number, correctionMs: number];

/** What a gateway tells the others. */
export type LoadNote = {
	/** All that it has; left out of notes that only tell of work, which are many. */
	readonly shares?: readonly InstanceShare[];
	/** Since the note before. */
	readonly work: readonly WorkShare[];
};

export type LoadShareOptions = {
	readonly linkAddress: string;
	readonly links: Links;
	readonly clock: Clock;
	readonly book: InstanceBook;
	/** Link addresses of all gateways. */
	readonly getGateways: () => readonly string[];
};

/** Tells the other gateways what this one has at each instance, and takes what they say. */
export type LoadShare = {
	readonly take: (from: string, note: LoadNote) => void;
	readonly stop: () => void;
};

/** Shortest time between two tellings: a short prompt is read within it. */
const tellMs = 10;
/** Work that few others should know of at once: more than a short prompt makes. */
const urgentWorkMs = 20;
/** Gateways that are told of each bit of work; before more of them a note has to be worth more, as each costs all of them time. */
const fewPeers = 4;
/** Numbers of requests and their memory change slowly against this; it also lets the share of a gateway that died fade. */
const sharesMs = 250;
const staleMs = 900;

/**
Creates the exchange of loads. Answers the load pattern of many gateways that each send a long prompt to the same idle instance: without
it each sees only its own.

@example
```
const share = createLoadShare({linkAddress, links, clock, book, getGateways});
```
*/
export function createLoadShare({linkAddress, links, clock, book, getGateways}: LoadShareOptions): LoadShare {
	const heard = new Map<string, {readonly shares: readonly InstanceShare[]; readonly atMs: number}>();
	let toldAtMs = Number.NEGATIVE_INFINITY;
	let wasIdle = false;

	const sumPeers = (nowMs: number) => {
		const peers = new Map<string, PeerLoad>();

		for (const [from, {shares, atMs}] of heard) {
			if (nowMs - atMs >= staleMs) {
				heard.delete(from);
				continue;
			}

			for (const [id, requests, heldTokens] of shares) {
				const sum = peers.get(id);
				peers.set(id, {requests: (sum?.requests ?? 0) + requests, heldTokens: (sum?.heldTokens ?? 0) + heldTokens});
			}
		}

		return peers;
	};

	const tell = () => {
		const nowMs = clock.readMonotonicMs();
		const isDue = nowMs - toldAtMs >= sharesMs;
		const peers = getGateways().filter(address => address !== linkAddress);

		if (!isDue && book.sumUntoldWorkMs() < computeUrgentWorkMs(peers.length)) {
			return;
		}

		const note: LoadNote = {work: book.takeUntoldWork(), ...(isDue && {shares: book.listShares()})};

		if (isDue) {
			toldAtMs = nowMs;
			book.setPeers(sumPeers(nowMs));
		}

		const isIdle = note.work.length === 0 && (note.shares ?? []).length === 0;

		// That there is nothing any more is said once.
		if (!isIdle || !wasIdle) {
			for (const address of peers) {
				links.send(address, {kind: LinkKind.Loads, from: linkAddress, loads: note} satisfies LinkMessage);
			}
		}

		wasIdle = isIdle;
	};

	const timer = setInterval(tell, tellMs);

	return {
		take(from, {shares, work}) {
			book.addPeerWork(work);

			if (shares !== undefined) {
				heard.set(from, {shares, atMs: clock.readMonotonicMs()});
				book.setPeers(sumPeers(clock.readMonotonicMs()));
			}
		},
		stop() {
			clearInterval(timer);
		},
	};
}

/**
Computes the work in ms that is told at once to some number of other gateways.

@example
```
computeUrgentWorkMs(4); //=> 20
computeUrgentWorkMs(27); //=> 135
```
*/
export function computeUrgentWorkMs(peers: number): number {
	return urgentWorkMs * Math.max(1, peers / fewPeers);
}
