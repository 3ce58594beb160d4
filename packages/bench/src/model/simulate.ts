import {createEngineView, estimateBacklog, type Dispatch} from '@fescuestair/entry';
import {pickByRendezvous} from '@fescuestair/core';
import {type EngineLoad} from '@fescuestair/protocol';
import {
	createHoldQueue, enterHold, estimateWaitMs, leaveHold,
} from '@fescuestair/limits';
import {
	createDirectory, estimateReturn, pieceTokens, Priority, type ReturnRecord, type StoreView, type Weights,
} from '@fescuestair/routing';
import {createHistogram, type Histogram} from './histogram.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createScheduler} from './scheduler.js';
import {createStoreModel, type StoreModel} from './store-model.js';
import {type Policy} from './policies.js';
import {type WorkItem} from './workload.js';

/** One deployment and what befalls it. */
export type Scenario = {
	readonly engines: number;
	readonly zones: number;
	readonly stores: number;
	readonly entries: number;
	readonly prefillTokensPerSecond: number;
	readonly decodeMs: number;
	readonly slots: number;
	readonly cachePieces: number;
	readonly storePieces: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
	readonly weights: Weights;
	readonly reservedShortShare: number;
	readonly warmupMs: number;
	readonly forMs: number;
	/** Engines lost for the rest of the run, from half the warm-up on. */
	readonly lostEngines?: number;
	readonly lostStores?: number;
};

/** What a run measured after its warm-up. */
export type Outcome = {
	readonly shortFirstToken: Histogram;
	readonly longFirstToken: Histogram;
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	/** Tokens of prompts seen for the first time: no policy can save these. */
	readonly unseenTokens: number;
	readonly linkBytes: number;
	/** Busy share of the busiest link. */
	readonly linkShare: number;
	readonly done: number;
	readonly refused: number;
	readonly lost: number;
	/** Requests answered in time, by organisation. */
	readonly goodByOrganisation: ReadonlyMap<string, number>;
	readonly good: number;
	readonly crashes: number;
};

type Tracked = {readonly item: WorkItem; readonly pieces: readonly string[]; readonly entry: number; attempts: number; recomputed: number; timesSeen: number; engineId: string};

const reportEveryMs = 1000;
const reportLagMs = 300;
const cacheEventLagMs = 500;
const holdMs = 50;
const lossNoticeMs = 100;
const exportRetryMs = 500;
const maxAttempts = 3;

/** Runs a workload through a policy in virtual time. */
export function simulate(scenario: Scenario, workload: readonly WorkItem[], policy: Policy): Outcome {
	const scheduler = createScheduler();
	const directory = createDirectory({maxPieces: 1_000_000});
	const storeDirectory = createDirectory({maxPieces: 1_000_000});
	const zones = Array.from({length: scenario.zones}, (_, index) => `z${index}`);
	const reports = new Map<string, {load: EngineLoad; madeAtMs: number}>();
	const dispatches = Array.from({length: scenario.entries}, () => new Map<string, Set<Dispatch>>());
	const turns = Array.from({length: scenario.entries}, () => 0);
	const seen = new Map<string, number>();
	let returns: ReturnRecord = {seenOnce: 0, returned: 0};
	const crashesByPrompt = new Map<string, number>();
	const goodByOrganisation = new Map<string, number>();
	const shortFirstToken = createHistogram();
	const longFirstToken = createHistogram();
	const totals = {
		promptTokens: 0, unseenTokens: 0, recomputedTokens: 0, done: 0, refused: 0, lost: 0, good: 0, crashes: 0,
	};

	const engines: EngineModel[] = Array.from({length: scenario.engines}, (_, index) => createEngineModel({
		...scenario,
		id: `e${index}`,
		scheduler,
		onCacheEvent(piece, isHeld) {
			scheduler.schedule(cacheEventLagMs, () => {
				directory.note(`e${index}`, [piece], isHeld);
			});
		},
	}));
	const stores: StoreModel[] = Array.from({length: scenario.stores}, (_, index) => createStoreModel({
		id: `s${index}`, scheduler, capacityPieces: scenario.storePieces, bytesPerPiece: scenario.bytesPerPiece, linkBytesPerSecond: scenario.linkBytesPerSecond,
	}));
	const engineById = new Map(engines.map(engine => [engine.id, engine]));
	const isMeasured = (item: WorkItem) => item.atMs >= scenario.warmupMs;

	const report = () => {
		for (const engine of engines) {
			const load = engine.getLoad();
			const madeAtMs = scheduler.getNowMs();
			scheduler.schedule(reportLagMs, () => {
				reports.set(engine.id, {load, madeAtMs});
			});
		}

		scheduler.schedule(reportEveryMs, report);
	};

	const viewEngines = (entry: number) => engines.filter(engine => engine.isUp()).map(engine => {
		const known = reports.get(engine.id) ?? {load: engine.getLoad(), madeAtMs: 0};
		const {prefillTokensPerSecond} = scenario;
		const backlog = estimateBacklog({
			...known.load, reportedAtMs: known.madeAtMs, dispatches: dispatches[entry]!.get(engine.id) ?? [], prefillTokensPerSecond, nowMs: scheduler.getNowMs(),
		});
		const number = Number(engine.id.slice(1));

		return createEngineView({id: engine.id, availabilityZone: zones[number % zones.length]!}, {
			load: known.load, prefillTokensPerSecond, backlog,
		});
	});

	const viewStores = (pieces: readonly string[]): readonly StoreView[] => {
		const held = storeDirectory.countHeld(pieces);

		return stores.filter(store => store.isUp()).map(store => ({
			id: store.id, heldPieces: held.get(store.id) ?? 0, freeBytesPerSecond: scenario.linkBytesPerSecond, queuedBytes: store.getQueuedBytes(),
		}));
	};

	const refuse = (tracked: Tracked, isLost: boolean) => {
		if (isMeasured(tracked.item)) {
			totals[isLost ? 'lost' : 'refused']++;
		}
	};

	const route = (tracked: Tracked) => {
		if (scheduler.getNowMs() >= tracked.item.deadlineMs) {
			refuse(tracked, false);
		} else if (isHeldUp(tracked) || !tryRoute(tracked)) {
			hold(tracked);
		}
	};

	// A long prompt does not overtake those that wait at its entry.
	const isHeldUp = ({item, entry}: Tracked) => item.priority === Priority.Long && holds[entry]!.waiting.length > 0;

	const tryRoute = (tracked: Tracked): boolean => {
		const {item, pieces, entry} = tracked;
		const views = viewEngines(entry);

		if (views.length === 0) {
			return false;
		}

		const decision = policy.choose({
			plan: {
				tokens: item.tokens, pieces: pieces.length, availabilityZone: zones[entry % zones.length]!, priority: item.priority,
				reservedShortShare: scenario.reservedShortShare,
			},
			prompt: item.prompt,
			engines: views,
			heldByEngine: directory.countHeld(pieces),
			stores: viewStores(pieces),
			weights: scenario.weights,
			bytesPerPiece: scenario.bytesPerPiece,
			turn: turns[entry]!++,
		});

		if (decision !== undefined && policy.refusesHopeless && scheduler.getNowMs() + decision.firstTokenMs > item.deadlineMs) {
			refuse(tracked, false);
		} else if (decision !== undefined) {
			dispatch(tracked, decision);
		}

		return decision !== undefined;
	};

	// Those that wait for a place are served in order; only the first asks again.
	const hold = (tracked: Tracked) => {
		const queue = holds[tracked.entry]!;
		const nowMs = scheduler.getNowMs();

		if (policy.refusesHopeless && nowMs + estimateWaitMs(queue, {owner: tracked.item.organisation, nowMs}) > tracked.item.deadlineMs) {
			refuse(tracked, false);

			return;
		}

		holds[tracked.entry] = enterHold(queue, {item: tracked, owner: tracked.item.organisation}, nowMs);

		if (queue.waiting.length === 0) {
			pollHolds(tracked.entry);
		}
	};

	const pollHolds = (entry: number) => {
		scheduler.schedule(holdMs, () => {
			const first = holds[entry]!.waiting[0]?.item;

			if (first === undefined) {
				return;
			}

			if (scheduler.getNowMs() >= first.item.deadlineMs) {
				holds[entry] = leaveHold(holds[entry]!, first, scheduler.getNowMs());
				refuse(first, false);
			} else if (tryRoute(first)) {
				holds[entry] = leaveHold(holds[entry]!, first, scheduler.getNowMs());
			}

			pollHolds(entry);
		});
	};

	const holds = Array.from({length: scenario.entries}, () => createHoldQueue<Tracked>());

	const dispatch = (tracked: Tracked, {engineId, storeId}: {engineId: string; storeId: string | undefined}) => {
		const {item, pieces, entry} = tracked;
		tracked.attempts++;
		tracked.engineId = engineId;
		const engine = engineById.get(engineId)!;
		const believed = directory.countHeld(pieces).get(engineId) ?? 0;
		const fetchable = storeId === undefined ? 0 : storeDirectory.countHeld(pieces).get(storeId) ?? 0;
		const prefillTokens = Math.max(0, item.tokens - (Math.max(believed, fetchable) * pieceTokens));
		// No report shows it before the engine has it: what is fetched arrives later.
		const own = {priority: item.priority, prefillTokens, sentAtMs: Number.POSITIVE_INFINITY};
		const list = dispatches[entry]!.get(engineId) ?? new Set();
		dispatches[entry]!.set(engineId, list.add(own));
		directory.note(engineId, pieces, true);
		const store = stores.find(one => one.id === storeId);

		const start = (fetchedPieces: number) => {
			own.sentAtMs = scheduler.getNowMs();

			if (!engine.isUp()) {
				list.delete(own);
				retry(tracked);

				return;
			}

			engine.start({
				...item,
				pieces,
				fetchedPieces,
				onFirstToken(recomputed) {
					noteFirstToken(tracked, recomputed);
				},
				onDone() {
					list.delete(own);
					finish(tracked);
				},
				onLost() {
					list.delete(own);
					noteLoss(tracked);
				},
			});
		};

		if (store === undefined) {
			start(0);
		} else {
			// Only what the engine lacks moves.
			const heldThere = Math.min(engine.countHeld(pieces), fetchable);
			store.fetch(pieces, heldThere, start);
		}
	};

	const noteFirstToken = (tracked: Tracked, recomputed: number) => {
		const {item} = tracked;
		tracked.recomputed = recomputed;

		if (isMeasured(item)) {
			(item.priority === Priority.Short ? shortFirstToken : longFirstToken).record(scheduler.getNowMs() - item.atMs);
			totals.promptTokens += item.tokens;
			totals.recomputedTokens += recomputed;
			totals.unseenTokens += tracked.timesSeen === 0 ? item.tokens : 0;
		}
	};

	const finish = (tracked: Tracked) => {
		const {item, pieces} = tracked;

		if (isMeasured(item)) {
			const isGood = scheduler.getNowMs() <= item.deadlineMs + (item.outputTokens * scenario.decodeMs);
			totals.done++;
			totals.good += isGood ? 1 : 0;
			goodByOrganisation.set(item.organisation, (goodByOrganisation.get(item.organisation) ?? 0) + (isGood ? 1 : 0));
		}

		exportPieces(tracked, pieces);
	};

	// A policy that declines is asked again later, as long as the engine still holds the pieces.
	const exportPieces = (tracked: Tracked, pieces: readonly string[]) => {
		const {item, timesSeen, engineId} = tracked;
		const up = stores.filter(store => store.isUp());
		const isHeld = engineById.get(engineId)?.countHeld(pieces) === pieces.length;

		if (pieces.length === 0 || up.length === 0 || !isHeld) {
			return;
		}

		const homeId = pickByRendezvous(item.prompt, up.map(store => store.id));
		const home = up.find(store => store.id === homeId)!;
		const missingPieces = pieces.length - home.countHeld(pieces);

		if (missingPieces === 0) {
			return;
		}

		const isChosen = policy.shouldExport({
			...scenario, returnProbability: estimateReturn(returns, timesSeen), missingPieces, pieceTokens, queuedBytes: home.getQueuedBytes(),
		});

		if (isChosen) {
			home.put(pieces);
			scheduler.schedule(cacheEventLagMs, () => {
				storeDirectory.note(home.id, pieces, true);
			});
		} else if (policy.exportsLater) {
			scheduler.schedule(exportRetryMs, () => {
				exportPieces(tracked, pieces);
			});
		}
	};

	const noteLoss = (tracked: Tracked) => {
		const count = (crashesByPrompt.get(tracked.item.prompt) ?? 0) + 1;
		crashesByPrompt.set(tracked.item.prompt, count);

		if (policy.quarantines && tracked.item.isCrash && count >= 2) {
			refuse(tracked, false);
		} else {
			retry(tracked);
		}
	};

	const retry = (tracked: Tracked) => {
		if (tracked.attempts >= maxAttempts) {
			refuse(tracked, true);
		} else {
			scheduler.schedule(lossNoticeMs, () => {
				route(tracked);
			});
		}
	};

	const noteSeen = (priority: Priority, timesSeen: number) => {
		if (priority === Priority.Long) {
			returns = {
				seenOnce: returns.seenOnce + (timesSeen === 0 ? 1 : 0), returned: returns.returned + (timesSeen === 1 ? 1 : 0),
			};
		}
	};

	for (const [index, item] of workload.entries()) {
		scheduler.schedule(item.atMs, () => {
			const timesSeen = seen.get(item.prompt) ?? 0;
			seen.set(item.prompt, timesSeen + 1);
			noteSeen(item.priority, timesSeen);
			const pieces = Array.from({length: Math.floor(item.tokens / pieceTokens)}, (_, piece) => `${item.organisation}/${item.prompt}/${piece}`);
			route({
				item, pieces, entry: index % scenario.entries, attempts: 0, recomputed: 0, timesSeen, engineId: '',
			});
		});
	}

	scheduler.schedule(scenario.warmupMs / 2, () => {
		for (const engine of engines.slice(0, scenario.lostEngines ?? 0)) {
			engine.crash(Number.MAX_SAFE_INTEGER / 2);
		}

		for (const store of stores.slice(0, scenario.lostStores ?? 0)) {
			store.die();
		}
	});
	report();
	let movedBefore: number[] = [];
	scheduler.schedule(scenario.warmupMs, () => {
		movedBefore = stores.map(store => store.getMovedBytes());
	});
	scheduler.runUntil(scenario.forMs);
	const moved = stores.map((store, index) => store.getMovedBytes() - (movedBefore[index] ?? 0));
	const linkCapacity = scenario.linkBytesPerSecond * (scenario.forMs - scenario.warmupMs) / 1000;

	return {
		...totals, shortFirstToken, longFirstToken, goodByOrganisation, linkBytes: moved.reduce((sum, bytes) => sum + bytes, 0), linkShare: Math.max(0, ...moved) / linkCapacity,
	};
}
