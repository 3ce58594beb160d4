/** Persistent state of a replica besides its log: the current term and the vote cast in it (Raft). */
export type HardState = {
	readonly term: number;
	readonly votedFor: string | undefined;
};

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	/** A command, a change of members or a no-op of the consensus layer; opaque to this package. */
	readonly payload: unknown;
};

/** Changes that one sync makes durable. The fields apply in the order in which they are declared here. */
export type PersistBatch = {
	readonly hardState?: HardState;
	/** Entries from this index on are removed before `entries` are appended. */
	readonly truncateFrom?: number;
	readonly entries?: readonly LogEntry[];
};

/** State of the state machine after the entry at `index`; replaces all log entries up to and including it. */
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly data: unknown;
};
