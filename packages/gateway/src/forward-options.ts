import {type Clock} from '@fescuestair/core';
import {type InstanceRecord} from '@fescuestair/instances';
import {type Permit, type RetryBudget} from '@fescuestair/limits';
import {type ChooseInstance} from '@fescuestair/routing';
import {
	type Logger, type PermitClient, type PrometheusMetrics, type RequestLimits,
} from '@fescuestair/runtime';
import {type RegionsByZone, type RouteTable} from '@fescuestair/traffic';
import {type MemoryBudget} from '@fescuestair/transport';
import {type CallerCodec, type UpstreamCodec} from './codecs.js';
import {type FetchIncarnation} from './check-run-origin.js';
import {type CrashDetector} from './crash-detector.js';
import {type Exchange} from './exchange.js';
import {type NewerTarget, type WeightsUse} from './target-version-history.js';
import {type InstancePool} from './instance-pool.js';
import {type PartsClient} from './parts-client.js';
import {type StartDeadlines} from './start-deadlines.js';
import {type StreamOrigins} from './stream-origins.js';
import {type UnprovenOrigins} from './unproven-origins.js';

/** Dependencies of forwarding that the gateway supplies. */
export type ForwardOptions = {
	readonly clock: Clock;
	readonly availabilityZone: string;
	/** The region of each availability zone, which decides where requests with allowed regions may go. */
	readonly regionsByZone: RegionsByZone;
	readonly callerCodec: CallerCodec;
	readonly upstreamCodec: UpstreamCodec;
	readonly instancePool: InstancePool;
	readonly chooseInstance: ChooseInstance;
	readonly parts: PartsClient;
	readonly crashes: CrashDetector;
	/** What began the streams that callers may take up again. */
	readonly origins: StreamOrigins;
	readonly unprovenOrigins: UnprovenOrigins;
	/** Asks an instance whether it has restarted. */
	readonly fetchIncarnation: FetchIncarnation;
	readonly requestLimits: RequestLimits;
	/** Permits to send requests to instances that name a limit. */
	readonly permits: PermitClient;
	readonly log: Pick<Logger, 'error' | 'info'>;
	readonly metrics: Pick<PrometheusMetrics, 'count'>;
	readonly getTable: () => RouteTable;
	/** Decides whether new requests may start on a version of a model's weights; `startMs` is the expected delay until the start. */
	readonly classifyWeights: (model: string, version: number | undefined, startMs?: number) => WeightsUse;
	/** Takes back runs that do not begin while the weights of their instances may still be used. */
	readonly startDeadlines: Pick<StartDeadlines, 'registerRun'>;
	/** Lists the models that have a target version. */
	readonly listTargetModels: () => Iterable<string>;
	/** Finds the first target that is newer than a version of a model's weights. */
	readonly findNewerTarget: (model: string, version: number | undefined) => NewerTarget | undefined;
	/** Time after a change of the target version in which requests may still begin on older weights. */
	readonly oldWeightsMs: number;
	/** By service, this gateway's share of the retry budget of the whole system. */
	readonly retryBudgets: Map<string, RetryBudget>;
	readonly createRetryBudget: (service: string) => RetryBudget;
	readonly isLeaving: () => boolean;
	/** Requests that wait in this gateway for an instance, in order of arrival, each with its service and estimated work. */
	readonly waiting: Map<Exchange, {readonly service: string; readonly workMs: number}>;
	/** By service, when the next caller that is refused because of limits should return. */
	readonly returns: Map<string, number>;
	readonly countGateways: () => number;
	/** The memory of the answers that are buffered until they, or an event of them, are complete. */
	readonly answerMemory: MemoryBudget;
};

/** A permit, and the instance that it is for. */
export type HeldPermit = {readonly record: InstanceRecord; readonly permit: Permit};

/** The attempts made for one request so far. */
export type ForwardingProgress = {
	/** Number of attempts that may have executed the request. */
	sentCount: number;
	/** Number of attempts that did not execute the request. */
	refused: number;
	/** Number of times that the request waited for an instance. */
	waits: number;
	readonly triedInstanceIds: Set<string>;
	/** Whether an instance may serve the request; where its stream has begun, only instances of the same software version may. */
	readonly isEligible: (record: InstanceRecord) => boolean;
	/** Whether the next attempt is a trial of what the request is held back for. */
	isTrial: boolean;
	/** Permit to send the request to an instance, from the time that it states on. */
	permit: HeldPermit | undefined;
	/** Number of times that a limit left no permit for the request. */
	permitRefusals: number;
	/** One entry for each attempt or refusal, for the log line of the request. */
	readonly story: Array<Readonly<Record<string, unknown>>>;
};
