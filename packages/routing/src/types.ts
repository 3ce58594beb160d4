/** Scheduling class of a prompt at an engine; short prompts are served first. */
export enum Priority {
	Short = 'short',
	Long = 'long',
}

/** Load of an engine as an entry knows it when it plans: the last report, which lags, plus the entry's own dispatches since. */
export type EngineView = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Requests that occupy a slot. */
	readonly running: number;
	readonly waitingShort: number;
	readonly waitingLong: number;
	/** Long requests that occupy a slot or wait for one. */
	readonly longInProgress: number;
	readonly slots: number;
	/** Prompt tokens that are not yet computed. */
	readonly queuedShortTokens: number;
	readonly queuedLongTokens: number;
	readonly prefillTokensPerSecond: number;
};

/** State of a store instance as an entry knows it when it plans. */
export type StoreView = {
	readonly id: string;
	/** Length in pieces of the prompt's prefix that the store holds. */
	readonly heldPieces: number;
	/** Unused bandwidth of its link. */
	readonly freeBytesPerSecond: number;
	/** Bytes queued on its link ahead of a new transfer. */
	readonly queuedBytes: number;
};

export type PromptPlan = {
	readonly tokens: number;
	readonly pieces: number;
	readonly availabilityZone: string;
	readonly priority: Priority;
	/** Share of an engine's slots that long requests must leave free. */
	readonly reservedShortShare: number;
};

/** Weights by which a preset combines the three measures into one cost. */
export type Weights = {
	/** Per second to the first token. */
	readonly firstToken: number;
	/** Per 1,000 prompt tokens computed again. */
	readonly recompute: number;
	/** Per MB moved over a link. */
	readonly link: number;
};

/** Estimate for one engine and prompt, with each term of its cost. */
export type EngineCandidate = {
	readonly upstreamId: string;
	readonly queueMs: number;
	readonly fetchMs: number;
	readonly prefillMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	readonly cost: number;
	/** Store to fetch from; undefined if the engine computes everything that it does not hold. */
	readonly storeId: string | undefined;
	/** Pieces to fetch from the store. */
	readonly fetchPieces: number;
};
