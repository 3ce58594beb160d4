import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {
	addParts, answerPoll, applyStoreEvents, createKeeper, deriveKey, dropParts, forgetParts, listFreeable, recordUses, retireParts, type Keeper,
	type PartKey, type PartsPoll, type PartsReply, type StoredPart,
} from '@fescuestair/parts';
import {type Log} from '@fescuestair/runtime';
import {type StoreFigures} from '@fescuestair/traffic';

/** What a store says happened since a cursor. */
export type StoreEvents = {
	/** Another one means that the store restarted and holds nothing of before. */
	readonly bootId: string;
	readonly cursor: number;
	/** Some events are not there any more. */
	readonly isLossy: boolean;
	readonly events: ReadonlyArray<{readonly isAdded: boolean; readonly part: StoredPart}>;
	/** The upstreams' clock. */
	readonly clockMs: number;
};

/** All that a store holds. */
export type StoreListing = {
	readonly bootId: string;
	readonly cursor: number;
	readonly whole: readonly StoredPart[];
	/** Parts being written, or broken off; they keep their room. */
	readonly unfinished: readonly StoredPart[];
};

export type StoreClient = {
	readonly fetchEvents: (call: {readonly address: string; readonly cursor: number; readonly waitMs: number}) => Promise<StoreEvents>;
	readonly listParts: (address: string) => Promise<StoreListing>;
	/** Resolves with whether the parts were freed; a call that comes after `untilMs`, or to another start of the store, frees nothing. */
	readonly freeParts: (call: {
		readonly address: string; readonly parts: readonly StoredPart[]; readonly bootId: string; readonly untilMs: number;
	}) => Promise<boolean>;
};

export type PartKeeperOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly client: StoreClient;
	readonly listStores: () => readonly StoreFigures[];
	readonly getWeights: () => ReadonlyMap<string, number>;
	readonly getLeadingTerm: () => number | undefined;
};

export type PartKeeper = {
	/** Answers a gateway; `undefined` where this replica does not lead. */
	readonly answer: (poll: PartsPoll) => PartsReply | undefined;
	readonly stop: () => void;
};

const roundMs = 250;
const eventWaitMs = 900;
/** The first events tell the stores' clock, without which nothing is answered. */
const firstEventWaitMs = 200;
/** Events get lost: the whole list repairs that, and shows parts that were broken off. */
const relistMs = 6000;
/** Before many stores each is listed less often: a list stalls the store, and takes long to read. */
const relistMsPerStore = 1000;
/** Stores are not listed at the same moment: a list comes by up to this share of its time sooner. */
const relistSpread = 0.4;
const retryMs = 300;
/** A leader that does not lead again in the same term within this has lost its office; what it kept may be outdated by then. */
const lapseMs = 3000;
/** A free that the one before in office sent can be carried out this long after it lost its office. */
const handoverMs = 600;
/** How long a free that was sent may still be carried out. */
const freeMs = 300;

type Followed = {
	readonly figures: StoreFigures;
	readonly term: number;
	bootId: string | undefined;
	/** Unfinished parts of the list before: those that did not grow since were broken off. */
	unfinished: ReadonlyMap<string, number>;
};

/**
Creates the task that keeps the parts of all stores that never drop anything themselves, while its replica leads.

@example
```
const keeper = createPartKeeper({clock, log, client, listStores, getWeights, getLeadingTerm});
const reply = keeper.answer(poll);
```
*/
export function createPartKeeper(options: PartKeeperOptions): PartKeeper {
	const {
		clock, log, client, listStores, getWeights, getLeadingTerm,
	} = options;
	const followed = new Map<string, Followed>();
	let keeper: Keeper | undefined;
	let office: {readonly term: number; readonly fromMs: number; readonly heldAtMs: number} | undefined;
	/** Parts that were asked for since the round before; copying what is kept for each poll would cost too much. */
	let used = new Set<PartKey>();
	let clockSample: {readonly clockMs: number; readonly atMs: number} | undefined;
	let isStopped = false;

	const readUpstreamMs = () => clockSample === undefined ? undefined : clockSample.clockMs + (clock.readMonotonicMs() - clockSample.atMs);

	const noteClock = (clockMs: number) => {
		// What was listed before any clock was known counts as used now, and not as idle for ever.
		if (clockSample === undefined && keeper !== undefined) {
			keeper = recordUses(keeper, keeper.parts.keys(), clockMs);
		}

		clockSample = {clockMs, atMs: clock.readMonotonicMs()};
	};

	// A leader whose lease lapses for a moment goes on following; it answers and frees nothing meanwhile.
	const isFollowing = (store: Followed) => !isStopped && followed.get(store.figures.address) === store && office?.term === store.term;

	const relist = async (store: Followed) => {
		const {address} = store.figures;
		const listing = await client.listParts(address);

		if (!isFollowing(store)) {
			return listing.cursor;
		}

		const held = new Set(listing.whole.map(part => deriveKey(part)));
		const isRestarted = store.bootId !== undefined && store.bootId !== listing.bootId;
		store.bootId = listing.bootId;
		keeper = dropParts(keeper!, part => part.storeAddress === address && (isRestarted || !held.has(deriveKey(part))));
		keeper = addParts(keeper, {storeAddress: address, parts: listing.whole, clockMs: readUpstreamMs() ?? 0});
		await freeBrokenOff(store, listing);

		return listing.cursor;
	};

	const freeBrokenOff = async (store: Followed, {unfinished, bootId}: StoreListing) => {
		const clockMs = readUpstreamMs();
		const stuck = unfinished.filter(part => store.unfinished.get(deriveKey(part)) === part.tokens);
		store.unfinished = new Map(unfinished.map(part => [deriveKey(part), part.tokens]));

		if (stuck.length > 0 && clockMs !== undefined && getLeadingTerm() === store.term) {
			const isFreed = await client.freeParts({
				address: store.figures.address, parts: stuck, bootId, untilMs: Math.floor(clockMs + freeMs),
			});
			log.info('broken off parts freed', {store: store.figures.address, parts: stuck.length, isFreed});
		}
	};

	const takeEvents = (store: Followed, {events, clockMs}: StoreEvents) => {
		const {address} = store.figures;
		noteClock(clockMs);

		keeper = applyStoreEvents(keeper!, {storeAddress: address, events, clockMs});
	};

	const follow = async (store: Followed) => {
		const {address} = store.figures;

		while (isFollowing(store)) {
			try {
				let cursor = await relist(store);
				const relistAtMs = clock.readMonotonicMs() + (Math.max(relistMs, relistMsPerStore * followed.size) * (1 - (relistSpread * Math.random())));

				while (isFollowing(store) && clock.readMonotonicMs() < relistAtMs) {
					const events = await client.fetchEvents({address, cursor, waitMs: clockSample === undefined ? firstEventWaitMs : eventWaitMs});

					if (!isFollowing(store) || events.isLossy || events.bootId !== store.bootId) {
						break;
					}

					takeEvents(store, events);
					cursor = events.cursor;
				}
			} catch (error) {
				if (isFollowing(store)) {
					// Fetches from a store that cannot be reached cost every request some time.
					const before = keeper!.parts.size;
					keeper = dropParts(keeper!, part => part.storeAddress === address);
					log.warn('store cannot be followed', {store: address, reason: String(error), droppedParts: before - keeper.parts.size});
				}

				await sleep(retryMs);
			}
		}
	};

	const freeRetired = async (store: Followed, clockMs: number) => {
		const {address} = store.figures;
		const parts = listFreeable(keeper!, address, clockMs);

		if (parts.length === 0 || store.bootId === undefined) {
			return;
		}

		try {
			const isFreed = await client.freeParts({
				address, parts, bootId: store.bootId, untilMs: Math.floor(clockMs + freeMs),
			});

			if (isFreed && isFollowing(store)) {
				keeper = forgetParts(keeper!, new Set(parts.map(part => deriveKey(part))));
			}

			log.info('retired parts freed', {store: address, parts: parts.length, isFreed});
		} catch (error) {
			log.warn('parts could not be freed', {store: address, reason: String(error)});
		}
	};

	const enterOffice = (term: number) => {
		office = {term, fromMs: clock.readMonotonicMs() + handoverMs, heldAtMs: clock.readMonotonicMs()};
		keeper = undefined;
		followed.clear();
	};

	const runRound = () => {
		const term = getLeadingTerm();

		if (term === undefined) {
			if (office !== undefined && clock.readMonotonicMs() - office.heldAtMs >= lapseMs) {
				office = undefined;
				keeper = undefined;
				followed.clear();
			}

			return;
		}

		if (office?.term !== term) {
			enterOffice(term);
		}

		const nowMs = clock.readMonotonicMs();
		office = {...office!, heldAtMs: nowMs};

		keeper ??= createKeeper(`${term}`);
		followStores(term);
		const clockMs = readUpstreamMs();

		if (clockMs === undefined || nowMs < office.fromMs) {
			return;
		}

		keeper = recordUses(keeper, used, clockMs);
		used = new Set();
		keeper = retireParts(keeper, {
			capacities: new Map(listStores().map(store => [store.address, store.capacityTokens])), weights: getWeights(), clockMs,
		});

		for (const store of followed.values()) {
			void freeRetired(store, clockMs);
		}
	};

	const followStores = (term: number) => {
		const stores = listStores();

		for (const figures of stores) {
			if (!followed.has(figures.address)) {
				const store: Followed = {
					figures, term, bootId: undefined, unfinished: new Map(),
				};
				followed.set(figures.address, store);
				void follow(store);
			}
		}

		for (const address of followed.keys()) {
			if (!stores.some(store => store.address === address)) {
				followed.delete(address);
				keeper = dropParts(keeper!, part => part.storeAddress === address);
			}
		}
	};

	const timer = setInterval(runRound, roundMs);

	return {
		answer(poll) {
			const clockMs = readUpstreamMs();

			// Until then, the one before in office may still free what was listed here.
			const isHandedOver = office !== undefined && clock.readMonotonicMs() >= office.fromMs;

			if (keeper === undefined || clockMs === undefined || !isHandedOver || getLeadingTerm() !== office!.term) {
				return undefined;
			}

			for (const key of poll.used) {
				used.add(key);
			}

			return answerPoll(keeper, {...poll, used: []}, clockMs).reply;
		},
		stop() {
			isStopped = true;
			clearInterval(timer);
		},
	};
}
