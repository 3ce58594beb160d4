import {type ExecutionStatus, type RefusalCode} from './refusal.js';

/** Steps of a request that are recorded. */
export enum RequestEventKind {
	Started = 'begun',
	Planned = 'planned',
	Claimed = 'claimed',
	/** Pieces of the prompt's KV cache were fetched from a store. */
	Fetched = 'fetched',
	Dispatched = 'dispatched',
	FirstToken = 'first_token',
	AttemptEnded = 'attempt_ended',
	/** It was decided what becomes of a run that has not ended by itself. */
	RunDecided = 'run_decided',
	Finished = 'finished',
	/** Pieces of the prompt's KV cache were saved to a store, after the response. */
	Exported = 'exported',
}

/** How an attempt at an upstream ended. */
export enum AttemptOutcome {
	Complete = 'complete',
	/** Nothing was sent: the connection could not be opened. */
	NotSent = 'not_sent',
	Refused = 'refused',
	ConnectionLost = 'connection_lost',
	/** The attempt was cancelled while its upstream sent nothing. */
	Silent = 'silent',
	/** The upstream sent what can't be a part of the answer, such as events of another run. */
	Invalid = 'invalid',
	Cancelled = 'cancelled',
}

/** How a request ended, as far as is known. */
export enum RequestOutcome {
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
export type RoutingCandidate = {
	readonly upstreamId: string;
	readonly queueMs: number;
	readonly fetchMs: number;
	readonly prefillMs: number;
	readonly recomputedTokens: number;
	readonly linkBytes: number;
	/** Weighted sum of the estimates above; the upstream with the lowest cost is chosen. */
	readonly cost: number;
};

/** One step of a request, as recorded by its entry; `atMs` is the wall-clock time of the entry. */
export type RequestEvent = {
	readonly requestId: string;
	readonly atMs: number;
} & (
	| {
		readonly kind: RequestEventKind.Started;
		readonly organisation: string;
		readonly requestClass: string;
		readonly target: string;
		readonly entryId: string;
		readonly entryIncarnation: number;
		readonly promptTokens: number;
		readonly preset: string;
	}
	| {readonly kind: RequestEventKind.Planned; readonly candidates: readonly RoutingCandidate[]; readonly chosenId: string; readonly reason: string}
	/** `token` is the fencing token of the claim. */
	| {readonly kind: RequestEventKind.Claimed; readonly token: number}
	| {
		readonly kind: RequestEventKind.Fetched;
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
	| {readonly kind: RequestEventKind.Exported; readonly storeId: string; readonly wanted: number; readonly kept: number; readonly bytes: number}
	| {readonly kind: RequestEventKind.Dispatched; readonly attempt: number; readonly upstreamId: string}
	| {readonly kind: RequestEventKind.FirstToken; readonly attempt: number}
	/** `offset` is the number of tokens that all attempts so far have generated. */
	| {readonly kind: RequestEventKind.AttemptEnded; readonly attempt: number; readonly end: AttemptOutcome; readonly detail: string; readonly offset: number}
	/** `evidence`, `action` and `obstacle` are those of `decideRun`. */
	| {
		readonly kind: RequestEventKind.RunDecided;
		readonly attempt: number;
		readonly upstreamId: string;
		readonly evidence: string;
		readonly action: string;
		readonly silentMs: number;
		/** The upstream that takes over, or may. */
		readonly successorId?: string;
		/** Why nothing takes over. */
		readonly obstacle?: string;
	}
	| {
		readonly kind: RequestEventKind.Finished;
		readonly outcome: RequestOutcome;
		readonly ran: ExecutionStatus;
		readonly code?: RefusalCode;
		readonly status: number;
		readonly tokens: number;
	}
);

/** Outcome of a request, with its recorded events. */
export type RequestHistory = {
	readonly requestId: string;
	readonly organisation: string | undefined;
	readonly outcome: RequestOutcome;
	readonly ran: ExecutionStatus;
	readonly summary: string;
	readonly events: readonly RequestEvent[];
};
