import {pieceTokens} from './pieces.js';
import {
	Priority, type EngineCandidate, type EngineView, type PromptPlan, type StoreView, type Weights,
} from './types.js';

export type EngineChoiceOptions = {
	readonly plan: PromptPlan;
	readonly engines: readonly EngineView[];
	/** Length in pieces of the prompt's prefix that each engine holds. */
	readonly heldByEngine: ReadonlyMap<string, number>;
	readonly stores: readonly StoreView[];
	readonly weights: Weights;
	readonly bytesPerPiece: number;
};

export type EngineChoice = {
	/** The cheapest engines in order of cost. */
	readonly candidates: readonly EngineCandidate[];
	readonly chosen: EngineCandidate | undefined;
};

const maxCandidates = 8;
const msPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
/** Assumed time until a running request frees its slot. */
const meanSlotHoldMs = 6000;
const crossZoneLatencyMs = 2;
/** Prefill backlog at which an engine gets no further long prompts: at the entry they can still be sent to any engine. */
const maxLongQueueSeconds = 2;

/**
Chooses the engine with the least weighted sum of time to first token, recomputed tokens and link bytes. No engine is
chosen for a long prompt while all slots open to long prompts are occupied: it waits at the entry, where it does not
block short prompts.

@example
```
const {chosen, candidates} = chooseEngine({plan, engines, heldByEngine, stores, weights, bytesPerPiece});
```
*/
export function chooseEngine(options: EngineChoiceOptions): EngineChoice {
	const best: EngineCandidate[] = [];
	const floor = computeFetchLowerBound(options);

	for (const engine of options.engines) {
		const worst = best.length === maxCandidates ? best.at(-1)!.cost : Number.POSITIVE_INFINITY;

		if (hasSlot(engine, options.plan) && computeCostLowerBound(engine, floor, options) < worst) {
			addCandidate(best, engine, options);
		}
	}

	return {candidates: best, chosen: best[0]};
}

/** Lower bound of the cost of a fetch, for any engine that holds no piece of the prompt. */
function computeFetchLowerBound({stores, weights, bytesPerPiece}: EngineChoiceOptions): number {
	let floor = Number.POSITIVE_INFINITY;

	for (const store of stores) {
		const linkBytes = store.heldPieces * bytesPerPiece;
		floor = Math.min(floor, sumTerms(weights, estimateFetchMs(store, linkBytes), 0, linkBytes));
	}

	return floor;
}

// Most engines hold no piece of the prompt and are ruled out by their queue: this cheap bound avoids the full estimate.
function computeCostLowerBound(engine: EngineView, fetchLowerBound: number, {plan, weights, heldByEngine}: EngineChoiceOptions): number {
	if (heldByEngine.has(engine.id)) {
		return 0;
	}

	const computeLowerBound = sumTerms(weights, estimatePrefillMs(engine, plan.tokens), plan.tokens, 0);

	return sumTerms(weights, estimateQueueMs(engine, plan), 0, 0) + Math.min(computeLowerBound, fetchLowerBound);
}

// Keeps only as many candidates as a trace shows. For all other engines only the cost is computed and no candidate is created.
function addCandidate(best: EngineCandidate[], engine: EngineView, options: EngineChoiceOptions): void {
	const source = chooseSource(engine, options);
	const last = best.at(-1);

	if (best.length === maxCandidates && last !== undefined && source.cost >= last.cost) {
		return;
	}

	const position = best.findIndex(other => source.cost < other.cost || (source.cost === other.cost && engine.id < other.upstreamId));
	best.splice(position === -1 ? best.length : position, 0, describeCandidate(engine, source, options));
	best.length = Math.min(best.length, maxCandidates);
}

/**
Estimates the cost of a prompt on one engine, which either computes the pieces that it does not hold or fetches them from the cheapest store.

@example
```
estimateCandidate(engine, options).cost;
```
*/
export function estimateCandidate(engine: EngineView, options: EngineChoiceOptions): EngineCandidate {
	return describeCandidate(engine, chooseSource(engine, options), options);
}

/** Where an engine gets the pieces that it does not hold, and the resulting cost. */
type PieceSource = {
	readonly held: number;
	readonly queueMs: number;
	/** Undefined if the engine computes everything that it does not hold. */
	readonly store: StoreView | undefined;
	readonly cost: number;
};

function chooseSource(engine: EngineView, options: EngineChoiceOptions): PieceSource {
	const held = options.heldByEngine.get(engine.id) ?? 0;
	const queueMs = estimateQueueMs(engine, options.plan);
	const start = {held, queueMs};
	let store: StoreView | undefined;
	let cost = computeCost(engine, undefined, start, options);

	for (const one of options.stores) {
		const fetchCost = one.heldPieces > held ? computeCost(engine, one, start, options) : cost;

		if (fetchCost < cost) {
			store = one;
			cost = fetchCost;
		}
	}

	return {
		held, queueMs, store, cost,
	};
}

type EngineState = Pick<PieceSource, 'held' | 'queueMs'>;

function computeCost(engine: EngineView, store: StoreView | undefined, {held, queueMs}: EngineState, {plan, weights, bytesPerPiece}: EngineChoiceOptions): number {
	const fetchPieces = countFetchedPieces(store, held);
	const linkBytes = fetchPieces * bytesPerPiece;
	const recomputedTokens = countRecomputedTokens(plan, held + fetchPieces);
	const firstTokenMs = queueMs + estimateFetchMs(store, linkBytes) + estimatePrefillMs(engine, recomputedTokens);

	return sumTerms(weights, firstTokenMs, recomputedTokens, linkBytes);
}

// Combines the three measures into one cost. Takes plain arguments because allocating an object for each engine would take longer than the sum.
function sumTerms(weights: Weights, firstTokenMs: number, recomputedTokens: number, linkBytes: number): number {
	return (weights.firstToken * firstTokenMs / msPerSecond)
		+ (weights.recompute * recomputedTokens / pieceTokens)
		+ (weights.link * linkBytes / bytesPerMegabyte);
}

function describeCandidate(engine: EngineView, {held, queueMs, store, cost}: PieceSource, {plan, bytesPerPiece}: EngineChoiceOptions): EngineCandidate {
	const fetchPieces = countFetchedPieces(store, held);
	const linkBytes = fetchPieces * bytesPerPiece;
	const recomputedTokens = countRecomputedTokens(plan, held + fetchPieces);

	return {
		upstreamId: engine.id,
		queueMs,
		fetchMs: estimateFetchMs(store, linkBytes),
		prefillMs: estimatePrefillMs(engine, recomputedTokens),
		recomputedTokens,
		linkBytes,
		cost,
		storeId: store?.id,
		fetchPieces,
	};
}

function countFetchedPieces(store: StoreView | undefined, held: number): number {
	return store === undefined ? 0 : store.heldPieces - held;
}

function countRecomputedTokens(plan: PromptPlan, pieces: number): number {
	return Math.max(0, plan.tokens - (pieces * pieceTokens));
}

function estimateFetchMs(store: StoreView | undefined, linkBytes: number): number {
	return store === undefined ? 0 : (store.queuedBytes + linkBytes) / store.freeBytesPerSecond * msPerSecond;
}

function estimatePrefillMs(engine: EngineView, tokens: number): number {
	return tokens / engine.prefillTokensPerSecond * msPerSecond;
}

function hasSlot(engine: EngineView, plan: PromptPlan): boolean {
	if (plan.priority === Priority.Short) {
		return true;
	}

	const longSlots = Math.max(1, Math.floor(engine.slots * (1 - plan.reservedShortShare)));

	return engine.longInProgress < longSlots && engine.queuedLongTokens < engine.prefillTokensPerSecond * maxLongQueueSeconds;
}

// Prefill runs in chunks, short prompts first, so a short prompt waits on average for half a chunk of a long one. Slots become free as requests end.
function estimateQueueMs(engine: EngineView, plan: PromptPlan): number {
	const isShort = plan.priority === Priority.Short;
	const chunkTokens = Math.min(engine.queuedLongTokens, pieceTokens) / 2;
	const tokensAhead = engine.queuedShortTokens + (isShort ? chunkTokens : engine.queuedLongTokens);
	const prefillQueueMs = tokensAhead / engine.prefillTokensPerSecond * msPerSecond;
	const waitingAhead = engine.waitingShort + (isShort ? 0 : engine.waitingLong);
	const requestsAhead = engine.running + waitingAhead - engine.slots + 1;
	const slotWaitMs = Math.max(0, requestsAhead) * meanSlotHoldMs / engine.slots;
	const zoneLatencyMs = engine.availabilityZone === plan.availabilityZone ? 0 : crossZoneLatencyMs;

	return prefillQueueMs + slotWaitMs + zoneLatencyMs;
}
