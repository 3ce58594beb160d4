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

/** What spreads of an upstream beside its identity. */
export type UpstreamDetails = Omit<AnnounceMessage, 'id' | 'incarnation' | 'address' | 'availabilityZone' | 'isLeaving'>;
