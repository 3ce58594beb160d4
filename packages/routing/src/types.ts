/** Order in which an engine serves what waits. */
export enum Priority {
	Short = 'short',
	Long = 'long',
}

/** What an entry knows of an engine when it plans: a report that lags, and its own dispatches since. */
export type EngineView = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Requests in places. */
	readonly running: number;
	readonly waitingShort: number;
	readonly waitingLong: number;
	/** Long requests in places or waiting. */
	readonly longInProgress: number;
	readonly slots: number;
	/** Prompt tokens still to be computed. */
	readonly queuedShortTokens: number;
	readonly queuedLongTokens: number;
	readonly prefillTokensPerSecond: number;
};

/** What an entry knows of a store instance. */
export type StoreView = {
	readonly id: string;
	/** Pieces of the prompt that stand there, counted from its beginning. */
	readonly heldPieces: number;
	/** Bytes a second that are free on its link. */
	readonly freeBytesPerSecond: number;
	/** Bytes that wait before ours. */
	readonly queuedBytes: number;
};

export type PromptPlan = {
	readonly tokens: number;
	readonly pieces: number;
	readonly availabilityZone: string;
	readonly priority: Priority;
	/** Share of an engine's places that long requests never take. */
	readonly reservedShortShare: number;
};

/** What a preset makes of the three measures; all become one cost. */
export type Weights = {
	/** Per second to the first token. */
	readonly firstToken: number;
	/** Per 1,000 prompt tokens computed again. */
	readonly recompute: number;
	/** Per MB moved over a link. */
	readonly link: number;
};

/** One engine as weighed for a prompt, with each term that made up its cost. */
export type EngineCandidate = {
	readonly upstreamId: string;
	readonly queueMs: number;
	readonly fetchMs: number;
	readonly prefillMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	readonly cost: number;
	/** The store to fetch from; absent where the engine computes all it lacks. */
	readonly storeId: string | undefined;
	/** Pieces to be fetched. */
	readonly fetchPieces: number;
};
