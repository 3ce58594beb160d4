import {pieceTokens} from './pieces.js';
import {
	Priority, type EngineCandidate, type EngineView, type PromptPlan, type StoreView, type Weights,
} from './types.js';

export type ChooseOptions = {
	readonly plan: PromptPlan;
	readonly engines: readonly EngineView[];
	/** Pieces each engine holds, counted from the first. */
	readonly heldByEngine: ReadonlyMap<string, number>;
	readonly stores: readonly StoreView[];
	readonly weights: Weights;
	readonly bytesPerPiece: number;
};

export type Choice = {
	/** The few cheapest, the cheapest first. */
	readonly candidates: readonly EngineCandidate[];
	readonly chosen: EngineCandidate | undefined;
};

const keptCandidates = 8;
const msPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
/** Time that a request in a place is taken to need until it frees it, for those that wait behind it. */
const meanPlaceMs = 6000;
const otherZoneMs = 2;
/** Long prompts wait at the entry, which may still choose, and not behind more prefill than this at an engine. */
const maxLongQueueSeconds = 2;

/**
Chooses the engine with the least weighted sum of time to first token, recomputed tokens and link bytes. No engine is
chosen for a long prompt while all places that long prompts may take are taken: it waits at the entry, where it blocks
no short one.

@example
```
const {chosen, candidates} = chooseEngine({plan, engines, heldByEngine, stores, weights, bytesPerPiece});
```
*/
export function chooseEngine(options: ChooseOptions): Choice {
	const best: EngineCandidate[] = [];

	for (const engine of options.engines) {
		if (hasPlace(engine, options.plan)) {
			addCandidate(best, engine, options);
		}
	}

	return {candidates: best, chosen: best[0]};
}

// Only the few cheapest are kept: a trace shows no more, and hundreds need neither sorting nor objects of their own.
function addCandidate(best: EngineCandidate[], engine: EngineView, options: ChooseOptions): void {
	const estimate = estimateBest(engine, options);
	const last = best.at(-1);

	if (best.length === keptCandidates && last !== undefined && estimate.cost >= last.cost) {
		return;
	}

	const position = best.findIndex(other => estimate.cost < other.cost || (estimate.cost === other.cost && engine.id < other.upstreamId));
	best.splice(position === -1 ? best.length : position, 0, {...estimate, upstreamId: engine.id});
	best.length = Math.min(best.length, keptCandidates);
}

/**
Estimates what a prompt costs on one engine: computing all it lacks, or fetching from the store that does best.

@example
```
estimateCandidate(engine, options).cost;
```
*/
export function estimateCandidate(engine: EngineView, options: ChooseOptions): EngineCandidate {
	return {...estimateBest(engine, options), upstreamId: engine.id};
}

type Estimate = Omit<EngineCandidate, 'upstreamId'>;

function estimateBest(engine: EngineView, options: ChooseOptions): Estimate {
	const held = options.heldByEngine.get(engine.id) ?? 0;
	const queueMs = estimateQueueMs(engine, options.plan);
	let best = estimateWith(engine, {held, queueMs, store: undefined}, options);

	for (const store of options.stores) {
		if (store.heldPieces > held) {
			const fetched = estimateWith(engine, {held, queueMs, store}, options);
			best = fetched.cost < best.cost ? fetched : best;
		}
	}

	return best;
}

type EstimateInput = {
	readonly held: number;
	readonly queueMs: number;
	readonly store: StoreView | undefined;
};

function estimateWith(engine: EngineView, {held, queueMs, store}: EstimateInput, {plan, weights, bytesPerPiece}: ChooseOptions): Estimate {
	const fetchPieces = store === undefined ? 0 : store.heldPieces - held;
	const linkBytes = fetchPieces * bytesPerPiece;
	const recomputedTokens = Math.max(0, plan.tokens - ((held + fetchPieces) * pieceTokens));
	const fetchMs = store === undefined ? 0 : (store.queuedBytes + linkBytes) / store.freeBytesPerSecond * msPerSecond;
	const prefillMs = recomputedTokens / engine.prefillTokensPerSecond * msPerSecond;
	const firstTokenSeconds = (queueMs + fetchMs + prefillMs) / msPerSecond;

	return {
		queueMs,
		fetchMs,
		prefillMs,
		recomputedTokens,
		linkBytes,
		cost: (weights.firstToken * firstTokenSeconds)
			+ (weights.recompute * recomputedTokens / pieceTokens)
			+ (weights.link * linkBytes / bytesPerMegabyte),
		storeId: store?.id,
		fetchPieces,
	};
}

function hasPlace(engine: EngineView, plan: PromptPlan): boolean {
	if (plan.priority === Priority.Short) {
		return true;
	}

	const places = Math.max(1, Math.floor(engine.slots * (1 - plan.reservedShortShare)));

	return engine.longInProgress < places && engine.queuedLongTokens < engine.prefillTokensPerSecond * maxLongQueueSeconds;
}

// Prefill is served in chunks, short prompts first; places free up as requests end.
function estimateQueueMs(engine: EngineView, plan: PromptPlan): number {
	const isShort = plan.priority === Priority.Short;
	const chunkTokens = Math.min(engine.queuedLongTokens, pieceTokens) / 2;
	const tokensAhead = engine.queuedShortTokens + (isShort ? chunkTokens : engine.queuedLongTokens);
	const prefillQueueMs = tokensAhead / engine.prefillTokensPerSecond * msPerSecond;
	const waitingAhead = engine.waitingShort + (isShort ? 0 : engine.waitingLong);
	const ahead = engine.running + waitingAhead - engine.slots + 1;
	const placeMs = Math.max(0, ahead) * meanPlaceMs / engine.slots;
	const zoneMs = engine.availabilityZone === plan.availabilityZone ? 0 : otherZoneMs;

	return prefillQueueMs + placeMs + zoneMs;
}
