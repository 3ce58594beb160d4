import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {
	addParts, answerPoll, applyStoreEvents, createPartsIndex, deriveKey, removeLostParts, removeFreedParts, listFreeableParts, recordUses, retireParts, type PartsIndex,
	type PartKey, type PartsPoll, type PartsReply, type StoredPart,
} from '@fescuestair/parts';
import {type Logger} from '@fescuestair/runtime';
import {type StoreSettings} from '@fescuestair/traffic';

/** Events of a store since a cursor. */
export type StoreEvents = {
	/** Changes when the store restarts; it then holds none of its earlier parts. */
	readonly bootId: string;
	readonly cursor: number;
	/** Some events since the cursor are no longer available. */
	readonly hasMissingEvents: boolean;
	readonly events: ReadonlyArray<{readonly isAdded: boolean; readonly part: StoredPart}>;
	/** Time of the upstreams' clock. */
	readonly clockMs: number;
};

/** The whole content of a store. */
export type StoreListing = {
	readonly bootId: string;
	readonly cursor: number;
	readonly complete: readonly StoredPart[];
	/** Parts that are being written or whose write was aborted; both take up space. */
	readonly unfinished: readonly StoredPart[];
};

export type StoreClient = {
	readonly fetchEvents: (call: {readonly address: string; readonly cursor: number; readonly waitMs: number}) => Promise<StoreEvents>;
	readonly listParts: (address: string) => Promise<StoreListing>;
	/** Resolves with whether the parts were freed. A call that arrives after its deadline, or after a restart of the store, frees nothing. */
	readonly freeParts: (call: {
		readonly address: string; readonly parts: readonly StoredPart[]; readonly bootId: string; readonly deadlineMs: number;
	}) => Promise<boolean>;
};

export type PartsIndexHostOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly client: StoreClient;
	readonly listStores: () => readonly StoreSettings[];
	readonly getTargetVersions: () => ReadonlyMap<string, number>;
	readonly getLeadingTerm: () => number | undefined;
};

/** The leader's index of the parts in all stores. */
export type PartsIndexHost = {
	/** Answers a poll of a gateway or another coordinator; `undefined` if this replica does not lead or its index is not ready. */
	readonly answer: (poll: PartsPoll) => PartsReply | undefined;
	readonly stop: () => void;
};

const roundIntervalMs = 250;
/** How long a store may delay its response to a request for events while it has none (long polling). */
const eventWaitMs = 900;
/** Shorter, since the first response carries the upstreams' clock, without which no poll is answered. */
const firstEventWaitMs = 200;
/** Events can be lost: listing the whole store corrects that and reveals parts whose write was aborted. */
const relistIntervalMs = 6000;
/** With many stores, each is listed less often: a listing stalls the store and takes long to read. */
const relistIntervalMsPerStore = 1000;
/** Listings are brought forward by a random share of the interval, up to this one, so that stores are not all listed at the same time. */
const relistJitterShare = 0.4;
const retryMs = 300;
/** If a lapsed lease is not regained in the same term within this time, the index is discarded, since it may be outdated. */
const leaseLapseToleranceMs = 3000;
/** A call by the previous leader to free parts can still take effect this long after it lost leadership. */
const handoverMs = 600;
/** A call to free parts takes effect only within this time after it was sent. */
const freeValidityMs = 300;

type FollowedStore = {
	readonly figures: StoreSettings;
	/** The leader's term in which the following began, and with which it ends. */
	readonly term: number;
	bootId: string | undefined;
	/** Tokens of each unfinished part in the previous listing. A part that has not grown since then was aborted. */
	unfinished: ReadonlyMap<string, number>;
};

/**
Creates the index of the parts in all stores. While its replica leads, it follows the stores and frees parts, since these stores evict nothing
themselves.

@example
```
const partsIndex = createPartsIndexHost({clock, log, client, listStores, getTargetVersions, getLeadingTerm});
const reply = partsIndex.answer(poll);
```
*/
export function createPartsIndexHost(options: PartsIndexHostOptions): PartsIndexHost {
	const {
		clock, log, client, listStores, getTargetVersions, getLeadingTerm,
	} = options;
	const followed = new Map<string, FollowedStore>();
	let partsIndex: PartsIndex | undefined;
	let leadership: {readonly term: number; readonly canServeFromMs: number; readonly lastConfirmedAtMs: number} | undefined;
	/** Parts used since the previous round. Applied once per round, since every update copies the index. */
	let pendingUses = new Set<PartKey>();
	let clockSample: {readonly clockMs: number; readonly atMs: number} | undefined;
	let isStopped = false;

	const estimateUpstreamClockMs = () => clockSample === undefined ? undefined : clockSample.clockMs + (clock.readMonotonicMs() - clockSample.atMs);

	const recordClockSample = (clockMs: number) => {
		// Parts listed before the clock was known count as used now; otherwise they would look unused since time 0.
		if (clockSample === undefined && partsIndex !== undefined) {
			partsIndex = recordUses(partsIndex, partsIndex.parts.keys(), clockMs);
		}

		clockSample = {clockMs, atMs: clock.readMonotonicMs()};
	};

	// A leader whose lease lapses briefly keeps following the stores, but answers no polls and frees nothing until it regains the lease.
	const isFollowing = (store: FollowedStore) => !isStopped && followed.get(store.figures.address) === store && leadership?.term === store.term;

	const relist = async (store: FollowedStore) => {
		const {address} = store.figures;
		const listing = await client.listParts(address);

		if (!isFollowing(store)) {
			return listing.cursor;
		}

		const listedKeys = new Set(listing.complete.map(part => deriveKey(part)));
		const isRestarted = store.bootId !== undefined && store.bootId !== listing.bootId;
		store.bootId = listing.bootId;
		partsIndex = removeLostParts(partsIndex!, part => part.storeAddress === address && (isRestarted || !listedKeys.has(deriveKey(part))));
		partsIndex = addParts(partsIndex, {storeAddress: address, parts: listing.complete, clockMs: estimateUpstreamClockMs() ?? 0});
		await freeStalledParts(store, listing);

		return listing.cursor;
	};

	const freeStalledParts = async (store: FollowedStore, {unfinished, bootId}: StoreListing) => {
		const clockMs = estimateUpstreamClockMs();
		const stalled = unfinished.filter(part => store.unfinished.get(deriveKey(part)) === part.tokens);
		store.unfinished = new Map(unfinished.map(part => [deriveKey(part), part.tokens]));

		if (stalled.length > 0 && clockMs !== undefined && getLeadingTerm() === store.term) {
			const isFreed = await client.freeParts({
				address: store.figures.address, parts: stalled, bootId, deadlineMs: Math.floor(clockMs + freeValidityMs),
			});
			log.info('broken off parts freed', {store: store.figures.address, parts: stalled.length, isFreed});
		}
	};

	const applyEvents = (store: FollowedStore, {events, clockMs}: StoreEvents) => {
		const {address} = store.figures;
		recordClockSample(clockMs);

		partsIndex = applyStoreEvents(partsIndex!, {storeAddress: address, events, clockMs});
	};

	const follow = async (store: FollowedStore) => {
		const {address} = store.figures;

		while (isFollowing(store)) {
			try {
				let cursor = await relist(store);
				const relistAtMs = clock.readMonotonicMs() + (Math.max(relistIntervalMs, relistIntervalMsPerStore * followed.size) * (1 - (relistJitterShare * Math.random())));

				while (isFollowing(store) && clock.readMonotonicMs() < relistAtMs) {
					const events = await client.fetchEvents({address, cursor, waitMs: clockSample === undefined ? firstEventWaitMs : eventWaitMs});

					if (!isFollowing(store) || events.hasMissingEvents || events.bootId !== store.bootId) {
						break;
					}

					applyEvents(store, events);
					cursor = events.cursor;
				}
			} catch (error) {
				if (isFollowing(store)) {
					// The parts of an unreachable store are dropped: every request that tried to fetch one would lose time.
					const before = partsIndex!.parts.size;
					partsIndex = removeLostParts(partsIndex!, part => part.storeAddress === address);
					log.warn('store cannot be followed', {store: address, reason: String(error), droppedParts: before - partsIndex.parts.size});
				}

				await sleep(retryMs);
			}
		}
	};

	const freeRetiredParts = async (store: FollowedStore, clockMs: number) => {
		const {address} = store.figures;
		const parts = listFreeableParts(partsIndex!, address, clockMs);

		if (parts.length === 0 || store.bootId === undefined) {
			return;
		}

		try {
			const isFreed = await client.freeParts({
				address, parts, bootId: store.bootId, deadlineMs: Math.floor(clockMs + freeValidityMs),
			});

			if (isFreed && isFollowing(store)) {
				partsIndex = removeFreedParts(partsIndex!, new Set(parts.map(part => deriveKey(part))));
			}

			log.info('retired parts freed', {store: address, parts: parts.length, isFreed});
		} catch (error) {
			log.warn('retired parts could not be freed', {store: address, reason: String(error)});
		}
	};

	const startTerm = (term: number) => {
		leadership = {term, canServeFromMs: clock.readMonotonicMs() + handoverMs, lastConfirmedAtMs: clock.readMonotonicMs()};
		partsIndex = undefined;
		followed.clear();
	};

	const runRound = () => {
		const term = getLeadingTerm();

		if (term === undefined) {
			if (leadership !== undefined && clock.readMonotonicMs() - leadership.lastConfirmedAtMs >= leaseLapseToleranceMs) {
				leadership = undefined;
				partsIndex = undefined;
				followed.clear();
			}

			return;
		}

		if (leadership?.term !== term) {
			startTerm(term);
		}

		const nowMs = clock.readMonotonicMs();
		leadership = {...leadership!, lastConfirmedAtMs: nowMs};

		partsIndex ??= createPartsIndex(`${term}`);
		followStores(term);
		const clockMs = estimateUpstreamClockMs();

		if (clockMs === undefined || nowMs < leadership.canServeFromMs) {
			return;
		}

		partsIndex = recordUses(partsIndex, pendingUses, clockMs);
		pendingUses = new Set();
		partsIndex = retireParts(partsIndex, {
			capacityTokensByStore: new Map(listStores().map(store => [store.address, store.capacityTokens])), weights: getTargetVersions(), clockMs,
		});

		for (const store of followed.values()) {
			void freeRetiredParts(store, clockMs);
		}
	};

	const followStores = (term: number) => {
		const stores = listStores();

		for (const figures of stores) {
			if (!followed.has(figures.address)) {
				const store: FollowedStore = {
					figures, term, bootId: undefined, unfinished: new Map(),
				};
				followed.set(figures.address, store);
				void follow(store);
			}
		}

		for (const address of followed.keys()) {
			if (!stores.some(store => store.address === address)) {
				followed.delete(address);
				partsIndex = removeLostParts(partsIndex!, part => part.storeAddress === address);
			}
		}
	};

	const timer = setInterval(runRound, roundIntervalMs);

	return {
		answer(poll) {
			const clockMs = estimateUpstreamClockMs();

			// Until the handover is complete, the previous leader may still free parts that are listed here.
			const isHandoverComplete = leadership !== undefined && clock.readMonotonicMs() >= leadership.canServeFromMs;

			if (partsIndex === undefined || clockMs === undefined || !isHandoverComplete || getLeadingTerm() !== leadership!.term) {
				return undefined;
			}

			for (const key of poll.used) {
				pendingUses.add(key);
			}

			return answerPoll(partsIndex, {...poll, used: []}, clockMs).reply;
		},
		stop() {
			isStopped = true;
			clearInterval(timer);
		},
	};
}
