import {type Agent} from 'undici';
import {type Clock} from '@fescuestair/core';
import {type Priority} from '@fescuestair/routing';
import {type MemberRecord} from '@fescuestair/membership';
import {type RoutingCandidate, type RequestEvent} from '@fescuestair/protocol';
import {type StreamOrigin} from '@fescuestair/streams';
import {type EngineEvent, type EventSink} from './engine-events.js';
import {type FetchInput, type FetchPlan, type PieceImport} from './fetch-pieces.js';
import {type RunDecisionReport} from './report-run-decision.js';
import {type UpstreamLoadTracker} from './upstream-load-tracker.js';
import {type UpstreamStates} from './upstream-states.js';

/** A prompt that is run in one or more attempts, each on another engine. */
export type PromptJob = {
	readonly requestId: string;
	readonly organisation: string;
	readonly model: string;
	readonly weightVersion: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly priority: Priority;
	/** Monotonic; once it has passed, no further attempt is started and the request is refused. */
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
	/** What wrote the text so far; absent before the first event. */
	readonly begunBy?: StreamOrigin;
};

/** The engine chosen for one attempt, and what the choice was based on. */
export type AttemptPlan = {
	readonly record: MemberRecord;
	readonly candidates: readonly RoutingCandidate[];
	readonly prefillTokens: number;
	/** Cached pieces that the engine imports before it runs the prompt. */
	readonly fetchPlan: FetchPlan | undefined;
};

export type PromptRunOptions = {
	readonly agent: Agent;
	readonly clock: Clock;
	readonly loadTracker: UpstreamLoadTracker;
	readonly standings: Pick<UpstreamStates, 'recordResponse'>;
	readonly planAttempt: (job: PromptJob, excludedIds: ReadonlySet<string>) => Promise<AttemptPlan>;
	/** Waits for a permit where the engine names a limit; resolves to whether the prompt may be sent there now. */
	readonly reserveEngine: (job: PromptJob, record: MemberRecord) => Promise<boolean>;
	/** The same for another connection to a run that is under way. */
	readonly reserveReading: (job: PromptJob, record: MemberRecord) => Promise<boolean>;
	/** Lets an engine import cached pieces; `undefined` if it may use none of them. */
	readonly fetchPieces: (input: FetchInput) => Promise<PieceImport | undefined>;
	/** Whether the budget has a retry left. */
	readonly hasRetry: () => boolean;
	/** Takes one retry from the budget; `false` if the budget is spent. */
	readonly withdrawRetry: () => boolean;
	/** Reports that an upstream was lost while it ran the prompt; resolves to whether the prompt may be retried. */
	readonly reportCrash: (job: PromptJob, attempt: LostAttempt) => Promise<boolean>;
	readonly recordRequestEvent: (event: RequestEvent) => void;
	/** Tells what was decided about a run that has not ended by itself. */
	readonly reportRunDecision: (report: RunDecisionReport) => void;
	/** Lets a run go on whose caller has left and may come back; `false` if it has nothing to come back for. */
	readonly keepLeftRun: (job: PromptJob, record: MemberRecord) => boolean;
	/** Whether a run that is no longer read is left to the engine, so that the caller can resume it at another entry. */
	readonly keepsRuns: () => boolean;
};

/** An attempt whose upstream was lost. */
export type LostAttempt = {
	readonly record: MemberRecord;
	readonly sentAtMs: number;
	/** Whether the upstream had got the prompt. */
	readonly isSent: boolean;
	/** Whether it had begun to answer it. */
	readonly isAnswered: boolean;
};

/** An event of the answer, with the run that produced it: the call under whose id the upstream keeps it, the upstream and the attempt. */
export type PromptEvent = EngineEvent & {readonly requestId: string; readonly upstreamId: string; readonly attempt: number};

/** Receives the events of a prompt's answer. */
export type PromptSink = EventSink<PromptEvent>;
