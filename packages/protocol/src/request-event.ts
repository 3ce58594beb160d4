import {type Ran, type RefusalCode} from './refusal.js';

/** Steps of a request that are recorded. */
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
	/** Cached pieces were saved to a store, after the response. */
	Exported = 'exported',
}

/** How an attempt at an upstream ended. */
export enum AttemptEnd {
	Complete = 'complete',
	/** Nothing was sent: the connection could not be opened. */
	NotSent = 'not_sent',
	Refused = 'refused',
	ConnectionLost = 'connection_lost',
	/** The upstream sent nothing for longer than the time-out of the connection. */
	Silent = 'silent',
	Cancelled = 'cancelled',
}

/** How a request ended, as far as is known. */
export enum FateOutcome {
	Complete = 'complete',
	Refused = 'refused',
	/** The caller disconnected. */
	Cancelled = 'cancelled',
	/** Still running, as far as is known. */
	Running = 'running',
	/** The entry that served it failed before the request ended. */
	EntryLost = 'entry_lost',
}

/** One upstream that routing considered for a request, with its estimated costs. */
export type Candidate = {
	readonly upstreamId: string;
	readonly queueMs: number;
	readonly fetchMs: number;
	readonly prefillMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	/** Weighted sum; the upstream with the lowest is chosen. */
	readonly cost: number;
};

/** One step of a request, as recorded by its entry; `atMs` is the wall-clock time of the entry. */
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
		/** Number of pieces requested. */
		readonly wanted: number;
		/** Number of pieces verified and used. */
		readonly used: number;
		readonly bytes: number;
		/** Why the other pieces were not used. */
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

/** Outcome of a request, with its recorded events. */
export type Fate = {
	readonly requestId: string;
	readonly organisation: string | undefined;
	readonly outcome: FateOutcome;
	readonly ran: Ran;
	readonly summary: string;
	readonly events: readonly FateEvent[];
};
