import {type Ran, type RefusalCode} from './refusal.js';

export enum FateEventKind {
	Begun = 'begun',
	Planned = 'planned',
	Claimed = 'claimed',
	/** Cached pieces were fetched from a store. */
	Fetched = 'fetched',
	Dispatched = 'dispatched',
	FirstToken = 'first_token',
	AttemptEnded = 'attempt_ended',
	Finished = 'finished',
	/** Cached pieces were kept in a store, after the answer. */
	Exported = 'exported',
}

export enum AttemptEnd {
	Complete = 'complete',
	/** Nothing was sent: the connection was refused. */
	NotSent = 'not_sent',
	Refused = 'refused',
	ConnectionLost = 'connection_lost',
	/** The connection went silent past its deadline. */
	Silent = 'silent',
	Cancelled = 'cancelled',
}

export enum FateOutcome {
	Complete = 'complete',
	Refused = 'refused',
	/** The caller went away. */
	Cancelled = 'cancelled',
	/** Still running, as far as is known. */
	Running = 'running',
	/** The entry that served it was lost before it ended. */
	EntryLost = 'entry_lost',
}

/** One upstream that was weighed for a request. */
export type Candidate = {
	readonly upstreamId: string;
	readonly queueMs: number;
	readonly fetchMs: number;
	readonly prefillMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	/** The weighted sum; the least wins. */
	readonly cost: number;
};

/** One step of a request, as its entry saw it; times are wall clock of the entry. */
export type FateEvent = {
	readonly requestId: string;
	readonly atMs: number;
} & (
	| {
		readonly kind: FateEventKind.Begun;
		readonly organisation: string;
		readonly requestClass: string;
		readonly target: string;
		readonly entryId: string;
		readonly entryIncarnation: number;
		readonly promptTokens: number;
		readonly preset: string;
	}
	| {readonly kind: FateEventKind.Planned; readonly candidates: readonly Candidate[]; readonly chosenId: string; readonly reason: string}
	| {readonly kind: FateEventKind.Claimed; readonly token: number}
	| {
		readonly kind: FateEventKind.Fetched;
		readonly attempt: number;
		readonly storeId: string;
		/** Pieces asked for. */
		readonly wanted: number;
		/** Pieces that were verified and used. */
		readonly used: number;
		readonly bytes: number;
		/** Why the rest was not used. */
		readonly detail: string;
	}
	| {readonly kind: FateEventKind.Exported; readonly storeId: string; readonly wanted: number; readonly kept: number; readonly bytes: number}
	| {readonly kind: FateEventKind.Dispatched; readonly attempt: number; readonly upstreamId: string}
	| {readonly kind: FateEventKind.FirstToken; readonly attempt: number}
	| {readonly kind: FateEventKind.AttemptEnded; readonly attempt: number; readonly end: AttemptEnd; readonly detail: string; readonly offset: number}
	| {
		readonly kind: FateEventKind.Finished;
		readonly outcome: FateOutcome;
		readonly ran: Ran;
		readonly code?: RefusalCode;
		readonly status: number;
		readonly tokens: number;
	}
);

/** What became of a request. */
export type Fate = {
	readonly requestId: string;
	readonly organisation: string | undefined;
	readonly outcome: FateOutcome;
	readonly ran: Ran;
	readonly summary: string;
	readonly events: readonly FateEvent[];
};
