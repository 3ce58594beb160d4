import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {
	addParts, answerPoll, createKeeper, deriveKey, dropParts, forgetParts, listFreeable, retireParts, type Keeper, type PartsPoll, type PartsReply,
	type StoredPart,
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
/** Events get lost: the whole list repairs that, and shows parts that were broken off. */
const relistMs = 6000;
const retryMs = 300;
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
	let office: {readonly term: number; readonly fromMs: number} | undefined;
	let clockSample: {readonly clockMs: number; readonly atMs: number} | undefined;
	let isStopped = false;

	const readUpstreamMs = () => clockSample === undefined ? undefined : clockSample.clockMs + (clock.readMonotonicMs() - clockSample.atMs);

	const noteClock = (clockMs: number) => {
		clockSample = {clockMs, atMs: clock.readMonotonicMs()};
	};

	const isFollowing = (store: Followed) => !isStopped && followed.get(store.figures.address) === store && getLeadingTerm() === store.term;

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

		if (stuck.length > 0 && clockMs !== undefined) {
			const isFreed = await client.freeParts({
				address: store.figures.address, parts: stuck, bootId, untilMs: Math.floor(clockMs + freeMs),
			});
			log.info('broken off parts freed', {store: store.figures.address, parts: stuck.length, isFreed});
		}
	};

	const takeEvents = (store: Followed, {events, clockMs}: StoreEvents) => {
		const {address} = store.figures;
		noteClock(clockMs);

		for (const {isAdded, part} of events) {
			keeper = isAdded
				? addParts(keeper!, {storeAddress: address, parts: [part], clockMs})
				: dropParts(keeper!, one => one.storeAddress === address && one.salt === part.salt && one.id === part.id);
		}
	};

	const follow = async (store: Followed) => {
		const {address} = store.figures;

		while (isFollowing(store)) {
			try {
				let cursor = await relist(store);
				const relistAtMs = clock.readMonotonicMs() + relistMs;

				while (isFollowing(store) && clock.readMonotonicMs() < relistAtMs) {
					const events = await client.fetchEvents({address, cursor, waitMs: eventWaitMs});

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
		office = {term, fromMs: clock.readMonotonicMs() + handoverMs};
		keeper = undefined;
		followed.clear();
	};

	const runRound = () => {
		const term = getLeadingTerm();

		if (term === undefined) {
			office = undefined;
			keeper = undefined;
			followed.clear();

			return;
		}

		if (office?.term !== term) {
			enterOffice(term);
		}

		if (clock.readMonotonicMs() < office!.fromMs) {
			return;
		}

		keeper ??= createKeeper(`${term}`);
		followStores(term);
		const clockMs = readUpstreamMs();

		if (clockMs === undefined) {
			return;
		}

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

			if (keeper === undefined || clockMs === undefined || office === undefined || getLeadingTerm() !== office.term) {
				return undefined;
			}

			const answered = answerPoll(keeper, poll, clockMs);
			keeper = answered.keeper;

			return answered.reply;
		},
		stop() {
			isStopped = true;
			clearInterval(timer);
		},
	};
}
