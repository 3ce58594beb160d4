import {type BucketMap} from '@fescuestair/core';
import {type CrashEvidence} from '@fescuestair/crashes';
import {type ConfigItem} from './config-items.js';
import {type PublicChange, type PublicState} from './public-state.js';

export enum CommandKind {
	ChangeConfig = 'change_config',
	Claim = 'claim',
	RecordOutcome = 'settle',
	Release = 'release',
	MarkOutcomeUnknown = 'abandon',
	ReportCrash = 'report_crash',
	AssignRetry = 'assign_retry',
	ClearSuspicion = 'clear_suspicion',
	ReserveTrial = 'reserve_trial',
	IssueFencingToken = 'take_fencing_number',
	Expire = 'expire',
}

export enum CommandResponseKind {
	Accepted = 'accepted',
	VersionConflict = 'version_conflict',
	Invalid = 'invalid',
	Granted = 'granted',
	Running = 'running',
	OutcomeRecorded = 'recorded',
	OutcomeUnknown = 'unknown',
	KeyReused = 'key_reused',
	TooManyClaims = 'too_many_claims',
	StaleToken = 'stale_token',
	Assigned = 'assigned',
	Trial = 'trial',
	Done = 'done',
}

export enum ClaimPhase {
	Running = 'running',
	OutcomeRecorded = 'recorded',
	/** The call was sent; it is unknown whether it ran. */
	OutcomeUnknown = 'unknown',
}

/** Response of a service, which is replayed to every request with the same idempotency key. */
export type ClaimOutcome = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** The body was too large to store; only the status is known. */
	readonly isBodyOmitted: boolean;
	/** Only in claims of earlier versions: the service's end of the body was told by the close of its connection alone. */
	readonly isUnframed?: boolean;
};

/** Right to send one call that must not be repeated, granted once per idempotency key. */
export type Claim = {
	readonly organisation: string;
	readonly phase: ClaimPhase;
	/** Fencing token. A command that records the outcome of the claim or releases it must carry this token. */
	readonly token: number;
	readonly bodyDigest: string;
	readonly requestId: string;
	readonly entryId: string;
	/** Group time by which the holder must record the outcome. After it, a resent request may mark the outcome as unknown. */
	readonly leaseDeadlineMs: number;
	/** Group time until which the claim is kept. */
	readonly keepDeadlineMs: number;
	readonly outcome?: ClaimOutcome;
};

/** Crashes of upstreams during which a prompt was running, stored under the fingerprint of the prompt. */
export type Suspicion = {
	readonly organisation: string;
	readonly crashes: ReadonlyArray<{readonly requestId: string; readonly upstreamId: string}>;
	readonly keepDeadlineMs: number;
	/** Upstream that is reserved for the retry of this prompt; no other suspected prompt gets it until `retryDeadlineMs`. */
	readonly retryUpstreamId: string | undefined;
	readonly retryDeadlineMs: number;
};

export type HistoryEntry = {
	readonly version: number;
	readonly changeId: string;
	readonly actor: string;
	/** Wall-clock time of the leader, for display only. */
	readonly wallMs: number;
	readonly summary: string;
};

type WithGroupTime = {
	/** Group time: advances with the monotonic clock of the current leader, never with a wall clock. */
	readonly atMs: number;
};

export type Command = WithGroupTime & (
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
	| {readonly kind: CommandKind.RecordOutcome; readonly key: string; readonly token: number; readonly outcome?: ClaimOutcome}
	| {readonly kind: CommandKind.Release; readonly key: string; readonly token: number}
	/** `isHolderLost`: the entry daemon that holds the claim is known to be dead, so its lease need not expire first. */
	| {readonly kind: CommandKind.MarkOutcomeUnknown; readonly key: string; readonly token: number; readonly isHolderLost: boolean}
	| {
		readonly kind: CommandKind.ReportCrash;
		readonly fingerprint: string;
		readonly organisation: string;
		readonly requestId: string;
		readonly upstreamId: string;
		readonly keepDeadlineMs: number;
		/** What the prompt has in common with others, if the upstream had not begun to answer it; `run` names the upstream and its incarnation. */
		readonly unanswered?: {readonly run: string; readonly traits: readonly string[]; readonly sentAtMs: number};
	}
	/** Reserves an upstream for the retry of a suspected prompt. `candidateIds` are ids of upstreams in order of preference. */
	| {readonly kind: CommandKind.AssignRetry; readonly fingerprint: string; readonly candidateIds: readonly string[]; readonly retryDeadlineMs: number}
	/** `answered`: what the prompt has in common with others, and when an upstream began to answer it. */
	| {readonly kind: CommandKind.ClearSuspicion; readonly fingerprint: string; readonly answered?: {readonly traits: readonly string[]; readonly atMs: number}}
	| {readonly kind: CommandKind.ReserveTrial; readonly traits: readonly string[]}
	| {readonly kind: CommandKind.IssueFencingToken}
	| {readonly kind: CommandKind.Expire}
);

export type CommandResponse
	= | {readonly kind: CommandResponseKind.Accepted; readonly version: number}
		| {readonly kind: CommandResponseKind.VersionConflict; readonly version: number; readonly last: HistoryEntry | undefined}
		| {readonly kind: CommandResponseKind.Invalid; readonly reason: string}
		| {readonly kind: CommandResponseKind.Granted; readonly token: number}
		| {readonly kind: CommandResponseKind.Running; readonly token: number; readonly requestId: string; readonly entryId: string; readonly isOverdue: boolean}
		| {readonly kind: CommandResponseKind.OutcomeRecorded; readonly requestId: string; readonly outcome: ClaimOutcome}
		| {readonly kind: CommandResponseKind.OutcomeUnknown; readonly requestId: string}
		| {readonly kind: CommandResponseKind.KeyReused}
		| {readonly kind: CommandResponseKind.TooManyClaims}
		| {readonly kind: CommandResponseKind.StaleToken}
		/** `upstreamId` is `undefined` if all candidates are reserved for other suspected prompts; the command can be sent again later. */
		| {readonly kind: CommandResponseKind.Assigned; readonly upstreamId: string | undefined}
		| {readonly kind: CommandResponseKind.Trial; readonly isGranted: boolean; readonly retryMs: number}
		| {readonly kind: CommandResponseKind.Done; readonly value: number};

/** State that must survive the loss of replicas. Immutable: `applyCommand` returns the next state. */
export type ReplicatedState = {
	/** Latest group time of any applied command. */
	readonly timeMs: number;
	/** Version of the configuration. A change must name the current version in `expectedVersion`. */
	readonly configVersion: number;
	/** Part of the state that is distributed to all daemons. */
	readonly publicState: PublicState;
	/** Latest changes of the public state, so that daemons a few versions behind do not need the full state. */
	readonly recentChanges: readonly PublicChange[];
	readonly history: readonly HistoryEntry[];
	/** Responses to accepted configuration changes by change id, oldest first; a resent change gets the same response. */
	readonly changeAnswers: ReadonlyMap<string, CommandResponse>;
	readonly claims: BucketMap<Claim>;
	readonly claimCounts: BucketMap<number>;
	readonly suspicions: ReadonlyMap<string, Suspicion>;
	/** Crashes by what the prompts had in common that ran on the upstreams, with the answers since. */
	readonly crashEvidence: CrashEvidence;
	/** Group time from which on the evidence may hold back more than is published; `undefined` if it may not. */
	readonly heldBackSettlesAtMs: number | undefined;
	/** Next fencing token. Claims and `IssueFencingToken` commands share one sequence. */
	readonly nextNumber: number;
};
