import {z} from 'zod';

/** Class of a request; limits and reserved places are kept for each. */
export enum RequestClass {
	/** A brief question. */
	Short = 'short',
	/** A prompt longer than the preset's bound. */
	Long = 'long',
	/** A call of a plain service. */
	Service = 'service',
}

export enum ItemKind {
	Preset = 'preset',
	Organisation = 'organisation',
	Model = 'model',
	Service = 'service',
	UpstreamPolicy = 'upstream_policy',
	/** Takes an instance out of service until it is removed again; not part of the declarations. */
	Drain = 'drain',
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._\-]{0,62}$/v, 'must be 1 to 63 of a-z, 0-9, dot, dash and underscore');
const shareSchema = z.number().min(0).max(1);
const classLimitSchema = z.strictObject({
	/** Requests in progress at once in the whole system. */
	concurrent: z.number().int().positive(),
	/** Requests begun a second in the whole system. */
	perSecond: z.number().positive(),
});

const presetSchema = z.strictObject({
	kind: z.literal(ItemKind.Preset),
	name: nameSchema,
	description: z.string().max(500).default(''),
	/** What a candidate costs: per second to the first token, per 1,000 tokens recomputed, per MB moved. */
	weights: z.strictObject({
		firstToken: z.number().min(0).max(1000),
		recompute: z.number().min(0).max(1000),
		link: z.number().min(0).max(1000),
	}),
	/** Limits of one organisation, by class; an organisation's `share` scales them. */
	limits: z.strictObject({
		[RequestClass.Short]: classLimitSchema,
		[RequestClass.Long]: classLimitSchema,
		[RequestClass.Service]: classLimitSchema,
	}),
	/** Prompts with more tokens than this are long. */
	longFromTokens: z.number().int().positive().default(2000),
	/** Share of each worker's places that long prompts never take. */
	reservedShortShare: shareSchema.default(0.25),
	/** Share of each store's link that moving cached prompts may use. */
	linkShare: z.number().min(0.01).max(1).default(1),
	/** Classes refused first when not all can be served. */
	refuseFirst: z.array(z.enum(RequestClass)).default([RequestClass.Long]),
});

const organisationSchema = z.strictObject({
	kind: z.literal(ItemKind.Organisation),
	name: nameSchema,
	/** SHA-256 of each key in force, in hexadecimal. Two stand here while a key is being rotated. */
	keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 in hexadecimal')).min(1).max(4),
	/** Scales the limits of the preset. */
	share: z.number().positive().max(1000).default(1),
});

const modelSchema = z.strictObject({
	kind: z.literal(ItemKind.Model),
	name: nameSchema,
	/** Version of the weights that new requests are planned for. */
	weightVersion: z.string().min(1).max(64).default('1'),
	maxTokens: z.number().int().positive().default(4096),
});

const serviceSchema = z.strictObject({
	kind: z.literal(ItemKind.Service),
	name: nameSchema,
	/** Methods that may be repeated; a call of any other is claimed first. */
	repeatableMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])).default(['GET', 'HEAD']),
	timeoutMs: z.number().int().positive().max(600_000).default(10_000),
	/** How long the answer to an idempotency key is kept. */
	keyRetentionHours: z.number().positive().max(168).default(24),
});

const upstreamPolicySchema = z.strictObject({
	kind: z.literal(ItemKind.UpstreamPolicy),
	name: nameSchema,
	/** How many instances may load weights at once. */
	maxConcurrentLoads: z.number().int().positive().default(2),
});

const drainSchema = z.strictObject({
	kind: z.literal(ItemKind.Drain),
	/** An upstream or an entry. */
	name: nameSchema,
});

/** The schema of each kind of declaration. */
export const itemSchemas = {
	[ItemKind.Preset]: presetSchema,
	[ItemKind.Organisation]: organisationSchema,
	[ItemKind.Model]: modelSchema,
	[ItemKind.Service]: serviceSchema,
	[ItemKind.UpstreamPolicy]: upstreamPolicySchema,
	[ItemKind.Drain]: drainSchema,
};

export type PresetItem = z.infer<typeof presetSchema>;
export type OrganisationItem = z.infer<typeof organisationSchema>;
export type ModelItem = z.infer<typeof modelSchema>;
export type ServiceItem = z.infer<typeof serviceSchema>;
export type UpstreamPolicyItem = z.infer<typeof upstreamPolicySchema>;
export type DrainItem = z.infer<typeof drainSchema>;
export type ConfigItem = PresetItem | OrganisationItem | ModelItem | ServiceItem | UpstreamPolicyItem | DrainItem;
