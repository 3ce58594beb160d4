import {type BucketMap} from '@fescuestair/core';
import {type ConfigItem} from './config-items.js';
import {type PublicChange, type PublicState} from './public-state.js';

export enum CommandKind {
	ChangeConfig = 'change_config',
	Claim = 'claim',
	Settle = 'settle',
	Release = 'release',
	Abandon = 'abandon',
	ReportCrash = 'report_crash',
	AssignRetry = 'assign_retry',
	ClearSuspicion = 'clear_suspicion',
	TakeFencingNumber = 'take_fencing_number',
	Expire = 'expire',
}

export enum AnswerKind {
	Accepted = 'accepted',
	VersionConflict = 'version_conflict',
	Invalid = 'invalid',
	Granted = 'granted',
	Running = 'running',
	Recorded = 'recorded',
	Unknown = 'unknown',
	KeyReused = 'key_reused',
	TooManyClaims = 'too_many_claims',
	StaleToken = 'stale_token',
	Assigned = 'assigned',
	Done = 'done',
}

export enum ClaimPhase {
	Running = 'running',
	Recorded = 'recorded',
	/** Sent, and nobody knows whether it ran. */
	Unknown = 'unknown',
}

/** The answer of a service, as it is given to every resend. */
export type ClaimOutcome = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** The body was too large to keep; only the status is known. */
	readonly isBodyOmitted: boolean;
};

export type Claim = {
	readonly organisation: string;
	readonly phase: ClaimPhase;
	/** Fencing token: only its holder settles or releases the claim. */
	readonly token: number;
	readonly bodyDigest: string;
	readonly requestId: string;
	readonly entryId: string;
	/** Group time by which the holder settles; later a resend may declare the outcome unknown. */
	readonly leaseDeadlineMs: number;
	/** Group time until which the key is remembered. */
	readonly keepDeadlineMs: number;
	readonly outcome?: ClaimOutcome;
};

/** A prompt that was running when an upstream crashed. */
export type Suspicion = {
	readonly organisation: string;
	readonly crashes: ReadonlyArray<{readonly requestId: string; readonly upstreamId: string}>;
	readonly keepDeadlineMs: number;
	/** The one upstream that its retry may use, and no other suspect's meanwhile. */
	readonly retryUpstreamId: string | undefined;
	readonly retryDeadlineMs: number;
};

export type HistoryEntry = {
	readonly version: number;
	readonly changeId: string;
	readonly actor: string;
	/** Wall clock of the leader, for people. */
	readonly wallMs: number;
	readonly summary: string;
};

type Timed = {
	/** Group time: advances with the leaders' monotonic clocks and never with a wall clock. */
	readonly atMs: number;
};

export type Command = Timed & (
	| {
		readonly kind: CommandKind.ChangeConfig;
		readonly changeId: string;
		readonly actor: string;
		readonly wallMs: number;
		readonly expectedVersion: number;
		readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>;
		readonly removals: readonly string[];
		readonly presetInForce?: string;
		readonly summary: string;
	}
	| {
		readonly kind: CommandKind.Claim;
		readonly organisation: string;
		readonly key: string;
		readonly bodyDigest: string;
		readonly requestId: string;
		readonly entryId: string;
		readonly leaseDeadlineMs: number;
		readonly keepDeadlineMs: number;
	}
	| {readonly kind: CommandKind.Settle; readonly key: string; readonly token: number; readonly outcome?: ClaimOutcome}
	| {readonly kind: CommandKind.Release; readonly key: string; readonly token: number}
	/** `isHolderLost`: the entry that holds the claim is known to be dead. */
	| {readonly kind: CommandKind.Abandon; readonly key: string; readonly token: number; readonly isHolderLost: boolean}
	| {
		readonly kind: CommandKind.ReportCrash;
		readonly fingerprint: string;
		readonly organisation: string;
		readonly requestId: string;
		readonly upstreamId: string;
		readonly keepDeadlineMs: number;
	}
	/** Asks for an upstream for the retry of a suspect; `candidateIds` stand in the order of preference. */
	| {readonly kind: CommandKind.AssignRetry; readonly fingerprint: string; readonly candidateIds: readonly string[]; readonly retryDeadlineMs: number}
	| {readonly kind: CommandKind.ClearSuspicion; readonly fingerprint: string}
	| {readonly kind: CommandKind.TakeFencingNumber}
	| {readonly kind: CommandKind.Expire}
);

export type Answer
	= | {readonly kind: AnswerKind.Accepted; readonly version: number}
		| {readonly kind: AnswerKind.VersionConflict; readonly version: number; readonly last: HistoryEntry | undefined}
		| {readonly kind: AnswerKind.Invalid; readonly reason: string}
		| {readonly kind: AnswerKind.Granted; readonly token: number}
		| {readonly kind: AnswerKind.Running; readonly token: number; readonly requestId: string; readonly entryId: string; readonly isOverdue: boolean}
		| {readonly kind: AnswerKind.Recorded; readonly requestId: string; readonly outcome: ClaimOutcome}
		| {readonly kind: AnswerKind.Unknown; readonly requestId: string}
		| {readonly kind: AnswerKind.KeyReused}
		| {readonly kind: AnswerKind.TooManyClaims}
		| {readonly kind: AnswerKind.StaleToken}
		/** Absent where all candidates are taken by other suspects: ask again. */
		| {readonly kind: AnswerKind.Assigned; readonly upstreamId: string | undefined}
		| {readonly kind: AnswerKind.Done; readonly value: number};

/** All that must survive. Immutable: `applyCommand` makes the next one. */
export type ReplicatedState = {
	/** Group time of the newest command. */
	readonly timeMs: number;
	/** Version of the configuration; operators name the one they have seen. */
	readonly configVersion: number;
	/** What spreads to all daemons. */
	readonly publicState: PublicState;
	/** The newest public changes, for daemons that lack only these. */
	readonly recentChanges: readonly PublicChange[];
	readonly history: readonly HistoryEntry[];
	/** First answers by change id, oldest first. */
	readonly changeAnswers: ReadonlyMap<string, Answer>;
	readonly claims: BucketMap<Claim>;
	readonly claimCounts: BucketMap<number>;
	readonly suspicions: ReadonlyMap<string, Suspicion>;
	readonly nextNumber: number;
};
