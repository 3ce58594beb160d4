import {z} from 'zod';

export enum UpstreamKind {
	Engine = 'engine',
	Store = 'store',
	Service = 'service',
}

/** Load that an engine reports; it lags behind the actual load. */
export const engineLoadSchema = z.object({
	/** Requests that occupy a slot. */
	running: z.number().int().nonnegative(),
	waitingShort: z.number().int().nonnegative(),
	waitingLong: z.number().int().nonnegative(),
	/** Long requests that occupy a slot or wait for one. */
	longInProgress: z.number().int().nonnegative(),
	/** Number of requests that can run concurrently. */
	slots: z.number().int().positive(),
	/** Prompt tokens of all accepted requests that are still to be computed, short and long ones apart. */
	queuedShortTokens: z.number().nonnegative(),
	queuedLongTokens: z.number().nonnegative(),
});

export type EngineLoad = z.infer<typeof engineLoadSchema>;

const nameSchema = z.string().regex(/^[a-zA-Z0-9][\w.\-]{0,62}$/v);

/** Body of `POST /v1/upstreams`: an upstream announces itself, and announces itself again before its lease expires. */
export const announceSchema = z.object({
	id: nameSchema,
	/** Increases with each start. */
	incarnation: z.number().int().nonnegative(),
	/** `ip:port` at which the entries reach it. */
	address: z.string().regex(/^[0-9a-fA-F.:\[\]]+:\d{1,5}$/v, 'must be an IP address and a port'),
	availabilityZone: nameSchema,
	kind: z.enum(UpstreamKind),
	/** Name of the service of which it is an instance, if it is one of a plain service: neither an engine nor a store. */
	service: nameSchema.optional(),
	models: z.array(nameSchema).max(64).default([]),
	weightVersion: z.string().max(64).default('1'),
	/** Version of its software. Another engine continues an answer only if both name the same one. */
	softwareVersion: z.string().min(1).max(64).optional(),
	load: engineLoadSchema.optional(),
	prefillTokensPerSecond: z.number().positive().default(8000),
	/** Size of one piece of the KV cache, which covers about 1,000 tokens of a prompt. */
	kvBytesPerPiece: z.number().int().positive().default(32_000_000),
	/** Bandwidth of a store's network link. */
	linkBytesPerSecond: z.number().positive().default(1_000_000_000),
	/** Whether it rejects stale fencing tokens. */
	checksFencing: z.boolean().default(false),
	/** Whether it authenticates the sender of orders, such as to load other model weights. */
	checksGiver: z.boolean().default(false),
	isLeaving: z.boolean().default(false),
});

export type AnnounceMessage = z.infer<typeof announceSchema>;

/** Properties of an upstream that membership disseminates with its identity; its load is disseminated separately, as a gauge. */
export type UpstreamDetails = Omit<AnnounceMessage, 'id' | 'incarnation' | 'address' | 'availabilityZone' | 'isLeaving' | 'load'> & {
	/** Limit that the upstream named in a response to an entry: requests per second from all entries together. */
	readonly requestsPerSecond?: number;
};

/** Used slots are encoded in eighths of the slots of an engine. */
const usedSlotSteps = 8;

/**
Encodes a load as a few small integers: used slots in eighths, queue lengths as powers of two. Small changes give the same
integers, so that they need not be disseminated.

@example
```
decodeLoad(encodeLoad(load)).queuedLongTokens; //=> 4095 for 4000
```
*/
export function encodeLoad(load: EngineLoad): readonly number[] {
	return [
		load.slots,
		encodeUsedSlots(load.running, load.slots),
		encodeUsedSlots(load.longInProgress, load.slots),
		encodeCount(load.waitingShort),
		encodeCount(load.waitingLong),
		encodeCount(load.queuedShortTokens),
		encodeCount(load.queuedLongTokens),
	];
}

/** Decodes a load, with the precision that `encodeLoad` keeps. */
export function decodeLoad(values: readonly number[]): EngineLoad {
	const [slots = 1, running = 0, longInProgress = 0, waitingShort = 0, waitingLong = 0, queuedShortTokens = 0, queuedLongTokens = 0] = values;

	return {
		slots,
		running: decodeUsedSlots(running, slots),
		longInProgress: decodeUsedSlots(longInProgress, slots),
		waitingShort: decodeCount(waitingShort),
		waitingLong: decodeCount(waitingLong),
		queuedShortTokens: decodeCount(queuedShortTokens),
		queuedLongTokens: decodeCount(queuedLongTokens),
	};
}

function encodeUsedSlots(usedSlots: number, slots: number): number {
	return Math.ceil(usedSlots / slots * usedSlotSteps);
}

function decodeUsedSlots(step: number, slots: number): number {
	return Math.round(step * slots / usedSlotSteps);
}

function encodeCount(count: number): number {
	return Math.round(Math.log2(count + 1));
}

function decodeCount(power: number): number {
	return (2 ** power) - 1;
}
