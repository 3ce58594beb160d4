import {z} from 'zod';

/** Class of a request. Limits apply to each class separately. */
export enum RequestClass {
	/** A prompt of at most `longFromTokens` tokens. */
	Short = 'short',
	/** A prompt of more than `longFromTokens` tokens. */
	Long = 'long',
	/** A call to a plain service. */
	Service = 'service',
}

export enum ItemKind {
	Preset = 'preset',
	Organisation = 'organisation',
	Model = 'model',
	Service = 'service',
	UpstreamPolicy = 'upstream_policy',
	/** Takes an upstream or an entry daemon out of service until the item is removed. Set by the drain command, not in declaration files. */
	Drain = 'drain',
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9._\-]{0,62}$/v, 'must be 1 to 63 of a-z, 0-9, dot, dash and underscore');
const fractionSchema = z.number().min(0).max(1);
const classLimitSchema = z.strictObject({
	/** Maximum number of concurrent requests in the whole system. */
	concurrent: z.number().int().positive(),
	/** Maximum rate of new requests per second in the whole system. */
	perSecond: z.number().positive(),
});

const presetSchema = z.strictObject({
	kind: z.literal(ItemKind.Preset),
	name: nameSchema,
	description: z.string().max(500).default(''),
	/** Weights of the routing cost: per second until the first token, per 1,000 recomputed tokens, per MB transferred. */
	weights: z.strictObject({
		firstToken: z.number().min(0).max(1000),
		recompute: z.number().min(0).max(1000),
		link: z.number().min(0).max(1000),
	}),
	/** Limits per organisation and class, scaled by the organisation's `share`. */
	limits: z.strictObject({
		[RequestClass.Short]: classLimitSchema,
		[RequestClass.Long]: classLimitSchema,
		[RequestClass.Service]: classLimitSchema,
	}),
	/** Prompts with more tokens than this are in class `long`. */
	longFromTokens: z.number().int().positive().default(2000),
	/** Fraction of each engine's slots that long prompts must leave free. */
	reservedShortShare: fractionSchema.default(0.25),
	/** Fraction of each store's link bandwidth that transfers of cached prompts may use. */
	linkShare: z.number().min(0.01).max(1).default(1),
	/** Classes that are refused first under overload. */
	refuseFirst: z.array(z.enum(RequestClass)).default([RequestClass.Long]),
});

const organisationSchema = z.strictObject({
	kind: z.literal(ItemKind.Organisation),
	name: nameSchema,
	/** SHA-256 of each valid API key, in hexadecimal. There are two during a key rotation. */
	keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 in hexadecimal')).min(1).max(4),
	/** Factor by which the preset's limits are multiplied. */
	share: z.number().positive().max(1000).default(1),
});

const modelSchema = z.strictObject({
	kind: z.literal(ItemKind.Model),
	name: nameSchema,
	/** Target version of the model's weights; new requests are planned for it. */
	weightVersion: z.string().min(1).max(64).default('1'),
	maxTokens: z.number().int().positive().default(4096),
});

const serviceSchema = z.strictObject({
	kind: z.literal(ItemKind.Service),
	name: nameSchema,
	/** Methods that may be retried. A call with any other method needs a claim before it is sent. */
	repeatableMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])).default(['GET', 'HEAD']),
	timeoutMs: z.number().int().positive().max(600_000).default(10_000),
	/** How long an idempotency key and the response to it are kept. */
	keyRetentionHours: z.number().positive().max(168).default(24),
});

const upstreamPolicySchema = z.strictObject({
	kind: z.literal(ItemKind.UpstreamPolicy),
	name: nameSchema,
	/** Maximum number of instances that load weights at the same time. */
	maxConcurrentLoads: z.number().int().positive().default(2),
});

const drainSchema = z.strictObject({
	kind: z.literal(ItemKind.Drain),
	/** Name of an upstream or an entry daemon. */
	name: nameSchema,
});

/** Schema of each kind of configuration item. */
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
