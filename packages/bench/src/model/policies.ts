import {pickByRendezvous} from '@fescuestair/core';
import {
	chooseEngine, shouldExport, type EngineView, type ExportQuestion, type PromptPlan, type StoreView, type Weights,
} from '@fescuestair/routing';

/** What a policy is asked. */
export type Question = {
	readonly plan: PromptPlan;
	readonly prompt: string;
	readonly engines: readonly EngineView[];
	readonly heldByEngine: ReadonlyMap<string, number>;
	readonly stores: readonly StoreView[];
	readonly weights: Weights;
	readonly bytesPerPiece: number;
	/** Numbers the questions of one entry. */
	readonly turn: number;
};

export type Decision = {
	readonly engineId: string;
	readonly storeId: string | undefined;
	/** Expected time to the first token; 0 where the policy does not tell. */
	readonly firstTokenMs: number;
};

/** A way to route; `choose` returns `undefined` to wait. */
export type Policy = {
	readonly name: string;
	readonly choose: (question: Question) => Decision | undefined;
	readonly shouldExport: (question: ExportQuestion) => boolean;
	/** Asked again about an export that it has declined. */
	readonly exportsLater: boolean;
	readonly quarantines: boolean;
	readonly refusesHopeless: boolean;
};

const never = () => false;

function countQueue(engine: EngineView): number {
	return engine.running + engine.waitingShort + engine.waitingLong;
}

function findLeast<Item>(items: readonly Item[], getCost: (item: Item) => number): Item | undefined {
	let best = items[0];

	for (const item of items) {
		best = getCost(item) < getCost(best!) ? item : best;
	}

	return best;
}

/** Each engine in turn. */
const roundRobin: Policy = {
	name: 'round_robin',
	choose: ({engines, turn}) => ({engineId: engines[turn % engines.length]!.id, storeId: undefined, firstTokenMs: 0}),
	shouldExport: never,
	exportsLater: false,
	quarantines: false,
	refusesHopeless: false,
};

/** The engine with the least reported load. */
const leastLoad: Policy = {
	name: 'least_load',
	choose: ({engines}) => ({engineId: findLeast(engines, countQueue)!.id, storeId: undefined, firstTokenMs: 0}),
	shouldExport: never,
	exportsLater: false,
	quarantines: false,
	refusesHopeless: false,
};

/** The engine that the prompt's beginning hashes to. */
const prefixAffinity: Policy = {
	name: 'prefix_affinity',
	choose: ({engines, prompt}) => ({engineId: pickByRendezvous(prompt, engines.map(engine => engine.id))!, storeId: undefined, firstTokenMs: 0}),
	shouldExport: never,
	exportsLater: false,
	quarantines: false,
	refusesHopeless: false,
};

/** The engine with most cached pieces, and a fetch of whatever a store has beyond them; all is exported. */
const cacheGreedy: Policy = {
	name: 'cache_greedy',
	choose({engines, heldByEngine, stores}) {
		const best = findLeast(engines, engine => (-1e6 * (heldByEngine.get(engine.id) ?? 0)) + countQueue(engine))!;
		const store = findLeast(stores, one => -one.heldPieces);
		const isWorthwhile = store !== undefined && store.heldPieces > (heldByEngine.get(best.id) ?? 0);

		return {engineId: best.id, storeId: isWorthwhile ? store.id : undefined, firstTokenMs: 0};
	},
	shouldExport: ({missingPieces}) => missingPieces > 0,
	exportsLater: false,
	quarantines: false,
	refusesHopeless: false,
};

/** The project's own. */
const weighted: Policy = {
	name: 'weighted',
	choose(question) {
		const {chosen} = chooseEngine(question);

		return chosen && {engineId: chosen.upstreamId, storeId: chosen.storeId, firstTokenMs: chosen.queueMs + chosen.fetchMs + chosen.prefillMs};
	},
	shouldExport,
	exportsLater: true,
	quarantines: true,
	refusesHopeless: true,
};

export const baselines: readonly Policy[] = [roundRobin, leastLoad, prefixAffinity, cacheGreedy];
export const ownPolicy = weighted;
