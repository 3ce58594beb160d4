/** What a replica must remember besides its log: its term and its vote in that term. */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	/** An encoded command; empty for the entry that opens a term. */
	readonly payload: unknown;
};

/** What one sync makes durable; the fields take effect in the order they stand here. */
export type PersistBatch = {
	readonly hardState?: HardState;
	/** Entries from this index on are dropped before `entries` are added. */
	readonly truncateFrom?: number;
	readonly entries?: readonly LogEntry[];
};

/** State up to and including `index`; it stands for all earlier log entries. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly data: unknown;
};
