import {type Agent as HttpAgent, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Agent} from 'undici';
import {type Clock} from '@fescuestair/core';
import {
	type StatsdMetrics, type GossipHost, type Logger, type PermitClient,
} from '@fescuestair/runtime';
import {type ClassLimit} from '@fescuestair/limits';
import {
	RequestEventKind, RequestOutcome, getRefusalStatus, ExecutionStatus, RefusalCode, RefusalError, type RequestEvent, type Refusal,
} from '@fescuestair/protocol';
import {
	findItem, getPresetInForce, ItemKind, type PresetItem, type RequestClass,
} from '@fescuestair/state';
import {type ControlClient} from './control-client.js';
import {type UpstreamLoadTracker} from './upstream-load-tracker.js';
import {type Exporter} from './exporter.js';
import {type LinkBudgets} from './link-budgets.js';
import {type DistributedPieceDirectory} from './distributed-piece-directory.js';
import {type LeftRuns, type RunClaim, type RunKey} from './left-runs.js';
import {type LongPromptQueue} from './long-prompt-queue.js';
import {type StateFollower} from './state-follower.js';
import {type UpstreamStates} from './upstream-states.js';

/** Dependencies shared by the request handlers of an entry. */
export type EntryServices = {
	readonly name: string;
	readonly incarnation: number;
	readonly availabilityZone: string;
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: StatsdMetrics;
	readonly agent: Agent;
	/** Keeps connections to services, for calls that may be repeated. */
	readonly serviceAgent: HttpAgent;
	readonly gossip: GossipHost;
	readonly follower: StateFollower;
	readonly control: ControlClient;
	readonly loadTracker: UpstreamLoadTracker;
	readonly standings: UpstreamStates;
	/** Permits to send requests to upstreams that name a limit. */
	readonly permits: PermitClient;
	readonly longPromptQueue: LongPromptQueue;
	readonly servesStale: boolean;
	/** Runs whose callers may come back. */
	readonly leftRuns: Pick<LeftRuns, 'keep'>;
	/** Keeps all entries from cancelling a run that is read again here. */
	readonly claimRun: (run: RunKey) => RunClaim;
	/** Tells the other entries once more that a run is read here. */
	readonly announceClaim: (run: RunKey) => void;
	readonly recordRequestEvent: (event: RequestEvent) => void;
	/** Aborted when the entry stops and does not wait any longer for answers that run. */
	readonly stopSignal: AbortSignal;
	/** Throws a `RefusalError` if the limit is reached. The returned function has to be called when the request ends. */
	readonly admit: (organisation: string, requestClass: RequestClass, limit: ClassLimit) => () => void;
	/** Whether the budget has a retry left. */
	readonly hasRetry: () => boolean;
	readonly withdrawRetry: () => boolean;
	readonly depositSuccess: () => void;
	readonly findRequestEvents: (requestId: string) => Promise<readonly RequestEvent[]>;
	readonly homes: DistributedPieceDirectory;
	readonly linkBudgets: LinkBudgets;
	readonly exporter: Exporter;
};

/** A request of an authenticated caller. */
export type CallerRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly organisation: string;
	/** Start of the request, on the monotonic clock. */
	readonly startedMs: number;
};

/** Creates the error for a request that certainly did not run. */
export function createRefusal(code: RefusalCode, message: string, retryAfterSeconds?: number): RefusalError {
	return new RefusalError({
		code, message, ran: ExecutionStatus.NotRun, retryAfterSeconds,
	});
}

const staleRetryAfterSeconds = 2;
const freshnessWaitMs = 1500;
const freshnessPollIntervalMs = 20;

/**
Returns the preset in force: the weights, limits and budgets that apply now. While the state is stale, waits until it is fresh again, because a
change of leader takes about a second. If it stays stale, refuses the request: another preset may be in force by now.
*/
export async function requirePreset(services: EntryServices): Promise<PresetItem> {
	const {follower, servesStale, clock} = services;
	const waitDeadlineMs = clock.readMonotonicMs() + freshnessWaitMs;
	const canServe = () => servesStale || follower.isFresh();

	while (!canServe() && clock.readMonotonicMs() < waitDeadlineMs) {
		await sleep(freshnessPollIntervalMs);
	}

	if (!canServe()) {
		throw createRefusal(RefusalCode.ConfigurationNotFresh, 'this entry cannot tell whether its preset is still in force; use another', staleRetryAfterSeconds);
	}

	const preset = getPresetInForce(follower.getState());

	if (preset === undefined) {
		throw createRefusal(RefusalCode.NoPreset, 'no preset is in force yet', staleRetryAfterSeconds);
	}

	return preset;
}

type RequestStart = {
	readonly requestClass: string;
	readonly target: string;
	readonly promptTokens: number;
	readonly preset: string;
};

/** Records that a request has begun. */
export function recordRequestStart(services: EntryServices, {requestId, organisation}: CallerRequest, input: RequestStart): void {
	services.recordRequestEvent({
		kind: RequestEventKind.Started,
		requestId,
		organisation,
		atMs: services.clock.readWallMs(),
		entryId: services.name,
		entryIncarnation: services.incarnation,
		...input,
	});
}

type RequestEnd = {
	readonly outcome: RequestOutcome;
	readonly ran: ExecutionStatus;
	readonly status: number;
	readonly tokens?: number;
	readonly code?: RefusalCode;
};

/** Records how a request ended. */
export function recordRequestEnd(services: EntryServices, requestId: string, {tokens = 0, ...rest}: RequestEnd): void {
	services.recordRequestEvent({
		kind: RequestEventKind.Finished, requestId, atMs: services.clock.readWallMs(), tokens, ...rest,
	});
}

/** Records and counts that a request was refused. */
export function recordRefusal(services: EntryServices, {requestId, organisation}: CallerRequest, {refusal, requestClass}: {refusal: Refusal; requestClass: string}): void {
	services.metrics.count('refused', {organisation, class: requestClass, code: refusal.code});
	recordRequestEnd(services, requestId, {
		outcome: RequestOutcome.Refused, ran: refusal.ran, code: refusal.code, status: getRefusalStatus(refusal),
	});
}

/** Converts any error to the refusal that is sent to the caller. */
export function toRefusal(error: unknown): Refusal {
	if (error instanceof RefusalError) {
		return error.refusal;
	}

	return {code: RefusalCode.Internal, message: 'internal error', ran: ExecutionStatus.Unknown};
}

/** Returns the preset's limit of a request class, multiplied by the organisation's share. */
export function scaleLimit(services: EntryServices, organisation: string, preset: PresetItem, requestClass: RequestClass) {
	const {concurrent, perSecond} = preset.limits[requestClass];
	const share = findItem(services.follower.getState(), ItemKind.Organisation, organisation)?.share ?? 1;

	return {concurrent: concurrent * share, perSecond: perSecond * share};
}
