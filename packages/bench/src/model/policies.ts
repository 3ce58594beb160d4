import {pickByRendezvous} from '@fescuestair/core';
import {
	chooseEngine, shouldExport, type EngineView, type ExportInput, type PromptPlan, type StoreView, type Weights,
} from '@fescuestair/routing';

/** Input of a routing decision. */
export type PolicyInput = {
	readonly plan: PromptPlan;
	readonly prompt: string;
	readonly engines: readonly EngineView[];
	readonly heldByEngine: ReadonlyMap<string, number>;
	readonly stores: readonly StoreView[];
	readonly weights: Weights;
	readonly bytesPerPiece: number;
	/** Sequence number of the decision at its entry. */
	readonly decisionIndex: number;
};

export type Decision = {
	readonly engineId: string;
	readonly storeId: string | undefined;
	/** Expected time to the first token; 0 if the policy does not estimate it. */
	readonly firstTokenMs: number;
};

/** A routing policy; `choose` returns `undefined` if the request has to wait. */
export type Policy = {
	readonly name: string;
	readonly choose: (input: PolicyInput) => Decision | undefined;
	readonly shouldExport: (input: ExportInput) => boolean;
	/** Whether `shouldExport` is called again later for an export that it declined. */
	readonly shouldRetryExports: boolean;
	/** Whether a request that crashed two engines is refused. */
	readonly shouldQuarantine: boolean;
	/** Whether a request is refused as soon as its expected first token is past its deadline. */
	readonly shouldRefuseLate: boolean;
};

const neverExport = () => false;

function countRequests(engine: EngineView): number {
	return engine.running + engine.waitingShort + engine.waitingLong;
}

function findLowestCost<Item>(items: readonly Item[], getCost: (item: Item) => number): Item | undefined {
	let lowest = items[0];

	for (const item of items) {
		lowest = getCost(item) < getCost(lowest!) ? item : lowest;
	}

	return lowest;
}

/** Each engine in turn, whatever its load. */
const roundRobin: Policy = {
	name: 'round_robin',
	choose: ({engines, decisionIndex}) => ({engineId: engines[decisionIndex % engines.length]!.id, storeId: undefined, firstTokenMs: 0}),
	shouldExport: neverExport,
	shouldRetryExports: false,
	shouldQuarantine: false,
	shouldRefuseLate: false,
};

/** The engine with the least reported load. */
const leastLoad: Policy = {
	name: 'least_load',
	choose: ({engines}) => ({engineId: findLowestCost(engines, countRequests)!.id, storeId: undefined, firstTokenMs: 0}),
	shouldExport: neverExport,
	shouldRetryExports: false,
	shouldQuarantine: false,
	shouldRefuseLate: false,
};

/** The engine that the prompt hashes to, by rendezvous hashing. */
const prefixAffinity: Policy = {
	name: 'prefix_affinity',
	choose: ({engines, prompt}) => ({engineId: pickByRendezvous(prompt, engines.map(engine => engine.id))!, storeId: undefined, firstTokenMs: 0}),
	shouldExport: neverExport,
	shouldRetryExports: false,
	shouldQuarantine: false,
	shouldRefuseLate: false,
};

/** The engine with the most cached pieces; fetches from a store that holds more of them than the engine, and exports every piece. */
const cacheGreedy: Policy = {
	name: 'cache_greedy',
	choose({engines, heldByEngine, stores}) {
		const best = findLowestCost(engines, engine => (-1e6 * (heldByEngine.get(engine.id) ?? 0)) + countRequests(engine))!;
		const store = findLowestCost(stores, candidate => -candidate.heldPieces);
		const shouldFetch = store !== undefined && store.heldPieces > (heldByEngine.get(best.id) ?? 0);

		return {engineId: best.id, storeId: shouldFetch ? store.id : undefined, firstTokenMs: 0};
	},
	shouldExport: ({missingPieces}) => missingPieces > 0,
	shouldRetryExports: false,
	shouldQuarantine: false,
	shouldRefuseLate: false,
};

/** The policy of the project: the engine, and the store to fetch from, with the lowest weighted cost. */
const weightedCost: Policy = {
	name: 'weighted',
	choose(input) {
		const {chosen} = chooseEngine(input);

		return chosen && {engineId: chosen.upstreamId, storeId: chosen.storeId, firstTokenMs: chosen.queueMs + chosen.fetchMs + chosen.prefillMs};
	},
	shouldExport,
	shouldRetryExports: true,
	shouldQuarantine: true,
	shouldRefuseLate: true,
};

export const baselines: readonly Policy[] = [roundRobin, leastLoad, prefixAffinity, cacheGreedy];
export const projectPolicy = weightedCost;
