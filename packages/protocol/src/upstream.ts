import {z} from 'zod';

export enum UpstreamKind {
	Engine = 'engine',
	Store = 'store',
	Service = 'service',
}

/** What an engine tells of its load; it lags. */
export const engineLoadSchema = z.object({
	/** Requests in places. */
	running: z.number().int().nonnegative(),
	waitingShort: z.number().int().nonnegative(),
	waitingLong: z.number().int().nonnegative(),
	/** Long requests in places or waiting. */
	longInProgress: z.number().int().nonnegative(),
	/** Places for requests that run at once. */
	slots: z.number().int().positive(),
	/** Prompt tokens still to be computed, of all requests accepted. */
	queuedShortTokens: z.number().nonnegative(),
	queuedLongTokens: z.number().nonnegative(),
});

export type EngineLoad = z.infer<typeof engineLoadSchema>;

const nameSchema = z.string().regex(/^[a-zA-Z0-9][\w.\-]{0,62}$/v);

/** Body of `POST /v1/upstreams`: an upstream announces itself, and renews before its deadline. */
export const announceSchema = z.object({
	id: nameSchema,
	/** Grows with each start. */
	incarnation: z.number().int().nonnegative(),
	/** `ip:port` at which the entries reach it. */
	address: z.string().regex(/^[0-9a-fA-F.:\[\]]+:\d{1,5}$/v, 'must be an IP address and a port'),
	availabilityZone: nameSchema,
	kind: z.enum(UpstreamKind),
	/** Name of the plain service. */
	service: nameSchema.optional(),
	models: z.array(nameSchema).max(64).default([]),
	weightVersion: z.string().max(64).default('1'),
	load: engineLoadSchema.optional(),
	prefillTokensPerSecond: z.number().positive().default(8000),
	/** Size of one piece of cached prompt of an engine. */
	kvBytesPerPiece: z.number().int().positive().default(32_000_000),
	/** Speed of a store's link. */
	linkBytesPerSecond: z.number().positive().default(1_000_000_000),
	checksFencing: z.boolean().default(false),
	checksGiver: z.boolean().default(false),
	isLeaving: z.boolean().default(false),
});

export type AnnounceMessage = z.infer<typeof announceSchema>;

/** What spreads of an upstream beside its identity; its load spreads as a gauge. */
export type UpstreamDetails = Omit<AnnounceMessage, 'id' | 'incarnation' | 'address' | 'availabilityZone' | 'isLeaving' | 'load'>;

/** Steps of a full engine in which places in use are told. */
const placeSteps = 8;

/**
Packs a load into a few small numbers: places in steps of an eighth, queues in powers of two. Small changes give the same
numbers, and need not be told.

@example
```
decodeLoad(encodeLoad(load)).queuedLongTokens; //=> 4095 for 4000
```
*/
export function encodeLoad(load: EngineLoad): readonly number[] {
	return [
		load.slots,
		toPlaceStep(load.running, load.slots),
		toPlaceStep(load.longInProgress, load.slots),
		toPowerOfTwo(load.waitingShort),
		toPowerOfTwo(load.waitingLong),
		toPowerOfTwo(load.queuedShortTokens),
		toPowerOfTwo(load.queuedLongTokens),
	];
}

/** Unpacks a load, as nearly as it was told. */
export function decodeLoad(values: readonly number[]): EngineLoad {
	const [slots = 1, running = 0, longInProgress = 0, waitingShort = 0, waitingLong = 0, queuedShortTokens = 0, queuedLongTokens = 0] = values;

	return {
		slots,
		running: readPlaceStep(running, slots),
		longInProgress: readPlaceStep(longInProgress, slots),
		waitingShort: readPowerOfTwo(waitingShort),
		waitingLong: readPowerOfTwo(waitingLong),
		queuedShortTokens: readPowerOfTwo(queuedShortTokens),
		queuedLongTokens: readPowerOfTwo(queuedLongTokens),
	};
}

function toPlaceStep(places: number, slots: number): number {
	return Math.ceil(places / slots * placeSteps);
}

function readPlaceStep(step: number, slots: number): number {
	return Math.round(step * slots / placeSteps);
}

function toPowerOfTwo(count: number): number {
	return Math.round(Math.log2(count + 1));
}

function readPowerOfTwo(power: number): number {
	return (2 ** power) - 1;
}
