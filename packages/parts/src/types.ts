/** One cached part in a store. */
export type StoredPart = {
	readonly salt: string;
	readonly id: string;
	readonly tokens: number;
};

/** A part and the store that holds it whole. */
export type PartPlace = StoredPart & {readonly storeAddress: string};

/** Identity of a part: parts are found under the same salt only. */
export type PartKey = string;

/** Derives the key of a part. */
export function deriveKey({salt, id}: {readonly salt: string; readonly id: string}): PartKey {
	return `${salt} ${id}`;
}

/** What a gateway asks the keeper of parts, again and again. */
export type PartsPoll = {
	/** The keeper's term of office that the gateway's view comes from. */
	readonly epoch: string | undefined;
	readonly revision: number;
	/** Parts that requests have asked for since the last poll. */
	readonly used: readonly PartKey[];
};

export type PartsReply = {
	readonly epoch: string;
	readonly revision: number;
	/** Time on the upstreams' clock as of this reply. */
	readonly clockMs: number;
	/** Whether `added` is all there is. */
	readonly isWhole: boolean;
	readonly added: readonly PartPlace[];
	readonly removed: readonly PartKey[];
};

/** How long, on the upstreams' clock, a view may be used after the reply it comes from. */
export const viewMs = 2000;
/** How long a fetch may last before it is thrown away. */
export const fetchMs = 1500;
/** Room for the clocks of stores and engines to differ before a retired part is freed. */
export const freeMarginMs = 300;
