import {type Clock} from '@fescuestair/core';
import {type RetryBudget} from '@fescuestair/limits';
import {type ChooseInstance} from '@fescuestair/routing';
import {type RouteTable} from '@fescuestair/traffic';
import {type CallerCodec, type UpstreamCodec} from './codecs.js';
import {type CrashWatch} from './crash-watch.js';
import {type Exchange} from './exchange.js';
import {type WeightsUse} from './named-weights.js';
import {type InstanceBook} from './instance-book.js';
import {type PartsClient} from './parts-client.js';

/** What forwarding needs of its gateway. */
export type ForwardOptions = {
	readonly clock: Clock;
	readonly availabilityZone: string;
	readonly callerCodec: CallerCodec;
	readonly upstreamCodec: UpstreamCodec;
	readonly book: InstanceBook;
	readonly chooseInstance: ChooseInstance;
	readonly parts: PartsClient;
	readonly crashes: CrashWatch;
	readonly getTable: () => RouteTable;
	/** Tells whether new requests may begin on a version of a model's weights. */
	readonly judgeWeights: (model: string, version: number | undefined, startMs?: number) => WeightsUse;
	/** Share of the system's repeats that this daemon may still make for a service. */
	readonly budgets: Map<string, RetryBudget>;
	readonly createBudget: (service: string) => RetryBudget;
	readonly isLeaving: () => boolean;
	/** Work in ms of the requests that wait here for an instance, by service, in the order in which they came. */
	readonly waiting: Map<Exchange, {readonly service: string; readonly workMs: number}>;
	readonly countGateways: () => number;
};

/** The tries of one request so far. */
export type Progress = {
	/** Instances that it may have run on. */
	sent: number;
	refused: number;
	/** How often it was looked whether an instance is free. */
	waits: number;
	readonly triedIds: Set<string>;
	readonly story: Array<Readonly<Record<string, unknown>>>;
};
