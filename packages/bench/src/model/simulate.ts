import {createEngineView, estimateBacklog, type Dispatch} from '@fescuestair/entry';
import {pickByRendezvous} from '@fescuestair/core';
import {type EngineLoad} from '@fescuestair/protocol';
import {
	createFairQueue, enterQueue, estimateWaitMs, leaveQueue,
} from '@fescuestair/limits';
import {
	createPieceDirectory, estimateReuseProbability, pieceTokens, Priority, type ReuseCounts, type StoreView, type Weights,
} from '@fescuestair/routing';
import {createHistogram, type Histogram} from './histogram.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createScheduler} from './scheduler.js';
import {createStoreModel, type StoreModel} from './store-model.js';
import {type Policy} from './policies.js';
import {type WorkloadRequest} from './workload.js';

/** A deployment and the faults that are injected into it. */
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
	readonly durationMs: number;
	/** Number of engines that fail half-way through the warm-up and stay down for the rest of the run. */
	readonly failedEngines?: number;
	/** Number of stores that fail at the same time as `failedEngines` and stay down as well. */
	readonly failedStores?: number;
};

/** Measurements of a run, without its warm-up. */
export type Outcome = {
	readonly shortFirstToken: Histogram;
	readonly longFirstToken: Histogram;
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	/** Tokens of prompts that were sent for the first time: no policy can avoid computing them. */
	readonly unseenTokens: number;
	readonly linkBytes: number;
	/** Utilization of the busiest store link, from 0 to 1. */
	readonly linkShare: number;
	readonly done: number;
	readonly refused: number;
	/** Requests that failed on every attempt. */
	readonly lost: number;
	/** Requests whose answer finished in time, by organisation. */
	readonly answeredInTimeByOrganisation: ReadonlyMap<string, number>;
	readonly answeredInTime: number;
	readonly crashes: number;
};

type TrackedRequest = {readonly request: WorkloadRequest; readonly pieces: readonly string[]; readonly entry: number; attempts: number; recomputedTokens: number; timesSeen: number; engineId: string};

const reportIntervalMs = 1000;
const reportDelayMs = 300;
const cacheEventDelayMs = 500;
const queuePollIntervalMs = 50;
const crashDetectionMs = 100;
const exportRetryIntervalMs = 500;
const maxAttempts = 3;

/** Simulates how a policy routes a workload, in virtual time. */
export function simulate(scenario: Scenario, workload: readonly WorkloadRequest[], policy: Policy): Outcome {
	const scheduler = createScheduler();
	const directory = createPieceDirectory({maxPieces: 1_000_000});
	const storeDirectory = createPieceDirectory({maxPieces: 1_000_000});
	const zones = Array.from({length: scenario.zones}, (_, index) => `z${index}`);
	const reports = new Map<string, {load: EngineLoad; measuredAtMs: number}>();
	const dispatches = Array.from({length: scenario.entries}, () => new Map<string, Set<Dispatch>>());
	const decisionCounts = Array.from({length: scenario.entries}, () => 0);
	const occurrences = new Map<string, number>();
	let reuse: ReuseCounts = {seenOnce: 0, returned: 0};
	const crashesByPrompt = new Map<string, number>();
	const answeredInTimeByOrganisation = new Map<string, number>();
	const shortFirstToken = createHistogram();
	const longFirstToken = createHistogram();
	const totals = {
		promptTokens: 0, unseenTokens: 0, recomputedTokens: 0, done: 0, refused: 0, lost: 0, answeredInTime: 0, crashes: 0,
	};

	const engines: EngineModel[] = Array.from({length: scenario.engines}, (_, index) => createEngineModel({
		...scenario,
		id: `e${index}`,
		scheduler,
		onCacheEvent(piece, isCached) {
			scheduler.schedule(cacheEventDelayMs, () => {
				directory.note(`e${index}`, [piece], isCached);
			});
		},
	}));
	const stores: StoreModel[] = Array.from({length: scenario.stores}, (_, index) => createStoreModel({
		id: `s${index}`, scheduler, capacityPieces: scenario.storePieces, bytesPerPiece: scenario.bytesPerPiece, linkBytesPerSecond: scenario.linkBytesPerSecond,
	}));
	const engineById = new Map(engines.map(engine => [engine.id, engine]));
	const isMeasured = (request: WorkloadRequest) => request.atMs >= scenario.warmupMs;

	const publishLoadReports = () => {
		for (const engine of engines) {
			const load = engine.getLoad();
			const measuredAtMs = scheduler.getNowMs();
			scheduler.schedule(reportDelayMs, () => {
				reports.set(engine.id, {load, measuredAtMs});
			});
		}

		scheduler.schedule(reportIntervalMs, publishLoadReports);
	};

	const createEngineViews = (entry: number) => engines.filter(engine => engine.isUp()).map(engine => {
		const report = reports.get(engine.id) ?? {load: engine.getLoad(), measuredAtMs: 0};
		const {prefillTokensPerSecond} = scenario;
		const backlog = estimateBacklog({
			...report.load, reportedAtMs: report.measuredAtMs, dispatches: dispatches[entry]!.get(engine.id) ?? [], prefillTokensPerSecond, nowMs: scheduler.getNowMs(),
		});
		const engineIndex = Number(engine.id.slice(1));

		return createEngineView({id: engine.id, availabilityZone: zones[engineIndex % zones.length]!}, {
			load: report.load, prefillTokensPerSecond, backlog,
		});
	});

	const createStoreViews = (pieces: readonly string[]): readonly StoreView[] => {
		const held = storeDirectory.countHeldPieces(pieces);

		return stores.filter(store => store.isUp()).map(store => ({
			id: store.id, heldPieces: held.get(store.id) ?? 0, freeBytesPerSecond: scenario.linkBytesPerSecond, queuedBytes: store.getQueuedBytes(),
		}));
	};

	const recordRefusal = (tracked: TrackedRequest, isLost: boolean) => {
		if (isMeasured(tracked.request)) {
			totals[isLost ? 'lost' : 'refused']++;
		}
	};

	const route = (tracked: TrackedRequest) => {
		if (scheduler.getNowMs() >= tracked.request.deadlineMs) {
			recordRefusal(tracked, false);
		} else if (isBehindQueue(tracked) || !tryRoute(tracked)) {
			enqueue(tracked);
		}
	};

	// A long prompt does not overtake the prompts queued at its entry.
	const isBehindQueue = ({request, entry}: TrackedRequest) => request.priority === Priority.Long && queues[entry]!.waiting.length > 0;

	const tryRoute = (tracked: TrackedRequest): boolean => {
		const {request, pieces, entry} = tracked;
		const engineViews = createEngineViews(entry);

		if (engineViews.length === 0) {
			return false;
		}

		const decision = policy.choose({
			plan: {
				tokens: request.tokens, pieces: pieces.length, availabilityZone: zones[entry % zones.length]!, priority: request.priority,
				reservedShortShare: scenario.reservedShortShare,
			},
			prompt: request.prompt,
			engines: engineViews,
			heldByEngine: directory.countHeldPieces(pieces),
			stores: createStoreViews(pieces),
			weights: scenario.weights,
			bytesPerPiece: scenario.bytesPerPiece,
			decisionIndex: decisionCounts[entry]!++,
		});

		if (decision !== undefined && policy.shouldRefuseLate && scheduler.getNowMs() + decision.firstTokenMs > request.deadlineMs) {
			recordRefusal(tracked, false);
		} else if (decision !== undefined) {
			dispatch(tracked, decision);
		}

		return decision !== undefined;
	};

	// Queued requests are served in order: only the first of the queue is routed again.
	const enqueue = (tracked: TrackedRequest) => {
		const queue = queues[tracked.entry]!;
		const nowMs = scheduler.getNowMs();

		if (policy.shouldRefuseLate && nowMs + estimateWaitMs(queue, {owner: tracked.request.organisation, nowMs}) > tracked.request.deadlineMs) {
			recordRefusal(tracked, false);

			return;
		}

		queues[tracked.entry] = enterQueue(queue, {item: tracked, owner: tracked.request.organisation}, nowMs);

		if (queue.waiting.length === 0) {
			pollQueue(tracked.entry);
		}
	};

	const pollQueue = (entry: number) => {
		scheduler.schedule(queuePollIntervalMs, () => {
			const first = queues[entry]!.waiting[0]?.item;

			if (first === undefined) {
				return;
			}

			if (scheduler.getNowMs() >= first.request.deadlineMs) {
				queues[entry] = leaveQueue(queues[entry]!, first, scheduler.getNowMs());
				recordRefusal(first, false);
			} else if (tryRoute(first)) {
				queues[entry] = leaveQueue(queues[entry]!, first, scheduler.getNowMs());
			}

			pollQueue(entry);
		});
	};

	const queues = Array.from({length: scenario.entries}, () => createFairQueue<TrackedRequest>());

	const dispatch = (tracked: TrackedRequest, {engineId, storeId}: {engineId: string; storeId: string | undefined}) => {
		const {request, pieces, entry} = tracked;
		tracked.attempts++;
		tracked.engineId = engineId;
		const engine = engineById.get(engineId)!;
		const expectedCachedPieces = directory.countHeldPieces(pieces).get(engineId) ?? 0;
		const fetchablePieces = storeId === undefined ? 0 : storeDirectory.countHeldPieces(pieces).get(storeId) ?? 0;
		const prefillTokens = Math.max(0, request.tokens - (Math.max(expectedCachedPieces, fetchablePieces) * pieceTokens));
		// `sentAtMs` is infinite until the engine receives the request, after the fetch: no earlier load report can include it.
		const ownDispatch = {priority: request.priority, prefillTokens, sentAtMs: Number.POSITIVE_INFINITY};
		const engineDispatches = dispatches[entry]!.get(engineId) ?? new Set();
		dispatches[entry]!.set(engineId, engineDispatches.add(ownDispatch));
		directory.note(engineId, pieces, true);
		const store = stores.find(candidate => candidate.id === storeId);

		const start = (fetchedPieces: number) => {
			ownDispatch.sentAtMs = scheduler.getNowMs();

			if (!engine.isUp()) {
				engineDispatches.delete(ownDispatch);
				retry(tracked);

				return;
			}

			engine.start({
				...request,
				pieces,
				fetchedPieces,
				onFirstToken(recomputedTokens) {
					recordFirstToken(tracked, recomputedTokens);
				},
				onDone() {
					engineDispatches.delete(ownDispatch);
					finish(tracked);
				},
				onCrash() {
					engineDispatches.delete(ownDispatch);
					handleEngineCrash(tracked);
				},
			});
		};

		if (store === undefined) {
			start(0);
		} else {
			// Transfers only the pieces that the engine lacks.
			const piecesAtEngine = Math.min(engine.countHeldPieces(pieces), fetchablePieces);
			store.fetch(pieces, piecesAtEngine, start);
		}
	};

	const recordFirstToken = (tracked: TrackedRequest, recomputedTokens: number) => {
		const {request} = tracked;
		tracked.recomputedTokens = recomputedTokens;

		if (isMeasured(request)) {
			(request.priority === Priority.Short ? shortFirstToken : longFirstToken).record(scheduler.getNowMs() - request.atMs);
			totals.promptTokens += request.tokens;
			totals.recomputedTokens += recomputedTokens;
			totals.unseenTokens += tracked.timesSeen === 0 ? request.tokens : 0;
		}
	};

	const finish = (tracked: TrackedRequest) => {
		const {request, pieces} = tracked;

		if (isMeasured(request)) {
			const isInTime = scheduler.getNowMs() <= request.deadlineMs + (request.outputTokens * scenario.decodeMs);
			totals.done++;
			totals.answeredInTime += isInTime ? 1 : 0;
			answeredInTimeByOrganisation.set(request.organisation, (answeredInTimeByOrganisation.get(request.organisation) ?? 0) + (isInTime ? 1 : 0));
		}

		exportPieces(tracked, pieces);
	};

	// If the policy retries exports, it decides on a declined export again after an interval, as long as the engine still holds all the pieces.
	const exportPieces = (tracked: TrackedRequest, pieces: readonly string[]) => {
		const {request, timesSeen, engineId} = tracked;
		const availableStores = stores.filter(store => store.isUp());
		const isHeld = engineById.get(engineId)?.countHeldPieces(pieces) === pieces.length;

		if (pieces.length === 0 || availableStores.length === 0 || !isHeld) {
			return;
		}

		const targetStoreId = pickByRendezvous(request.prompt, availableStores.map(store => store.id));
		const targetStore = availableStores.find(store => store.id === targetStoreId)!;
		const missingPieces = pieces.length - targetStore.countHeldPieces(pieces);

		if (missingPieces === 0) {
			return;
		}

		const shouldExport = policy.shouldExport({
			...scenario, reuseProbability: estimateReuseProbability(reuse, timesSeen), missingPieces, pieceTokens, queuedBytes: targetStore.getQueuedBytes(),
		});

		if (shouldExport) {
			targetStore.put(pieces);
			scheduler.schedule(cacheEventDelayMs, () => {
				storeDirectory.note(targetStore.id, pieces, true);
			});
		} else if (policy.shouldRetryExports) {
			scheduler.schedule(exportRetryIntervalMs, () => {
				exportPieces(tracked, pieces);
			});
		}
	};

	const handleEngineCrash = (tracked: TrackedRequest) => {
		const crashCount = (crashesByPrompt.get(tracked.request.prompt) ?? 0) + 1;
		crashesByPrompt.set(tracked.request.prompt, crashCount);

		if (policy.shouldQuarantine && tracked.request.shouldCrashEngine && crashCount >= 2) {
			recordRefusal(tracked, false);
		} else {
			retry(tracked);
		}
	};

	const retry = (tracked: TrackedRequest) => {
		if (tracked.attempts >= maxAttempts) {
			recordRefusal(tracked, true);
		} else {
			scheduler.schedule(crashDetectionMs, () => {
				route(tracked);
			});
		}
	};

	const recordOccurrence = (priority: Priority, timesSeen: number) => {
		if (priority === Priority.Long) {
			reuse = {
				seenOnce: reuse.seenOnce + (timesSeen === 0 ? 1 : 0), returned: reuse.returned + (timesSeen === 1 ? 1 : 0),
			};
		}
	};

	for (const [index, request] of workload.entries()) {
		scheduler.schedule(request.atMs, () => {
			const timesSeen = occurrences.get(request.prompt) ?? 0;
			occurrences.set(request.prompt, timesSeen + 1);
			recordOccurrence(request.priority, timesSeen);
			const pieces = Array.from({length: Math.floor(request.tokens / pieceTokens)}, (_, piece) => `${request.organisation}/${request.prompt}/${piece}`);
			route({
				request, pieces, entry: index % scenario.entries, attempts: 0, recomputedTokens: 0, timesSeen, engineId: '',
			});
		});
	}

	scheduler.schedule(scenario.warmupMs / 2, () => {
		for (const engine of engines.slice(0, scenario.failedEngines ?? 0)) {
			engine.crash(Number.MAX_SAFE_INTEGER / 2);
		}

		for (const store of stores.slice(0, scenario.failedStores ?? 0)) {
			store.fail();
		}
	});
	publishLoadReports();
	let transferredBefore: number[] = [];
	scheduler.schedule(scenario.warmupMs, () => {
		transferredBefore = stores.map(store => store.getTransferredBytes());
	});
	scheduler.runUntil(scenario.durationMs);
	const transferredBytes = stores.map((store, index) => store.getTransferredBytes() - (transferredBefore[index] ?? 0));
	const linkCapacity = scenario.linkBytesPerSecond * (scenario.durationMs - scenario.warmupMs) / 1000;

	return {
		...totals, shortFirstToken, longFirstToken, answeredInTimeByOrganisation,
		linkBytes: transferredBytes.reduce((sum, bytes) => sum + bytes, 0), linkShare: Math.max(0, ...transferredBytes) / linkCapacity,
	};
}
