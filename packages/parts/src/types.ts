/** A cached part of a prompt, as a store lists it. */
export type StoredPart = {
	readonly salt: string;
	readonly id: string;
	readonly tokens: number;
};

/** A part and the address of the store that holds all of it. */
export type PartLocation = StoredPart & {readonly storeAddress: string};

/** Identity of a part: its salt and its id. */
export type PartKey = string;

export function deriveKey({salt, id}: {readonly salt: string; readonly id: string}): PartKey {
	return `${salt} ${id}`;
}

/** Request that a gateway or a mirror sends periodically for changes of the parts index. */
export type PartsPoll = {
	/** The leader's term that the sender's view comes from; `undefined` before its first reply. */
	readonly epoch: string | undefined;
	readonly revision: number;
	/** Parts that requests have used since the last poll. */
	readonly used: readonly PartKey[];
};

export type PartsReply = {
	readonly epoch: string;
	readonly revision: number;
	/** When the reply was made, on the upstreams' clock: the one that stores and engines share, within `clockSkewMarginMs`. */
	readonly clockMs: number;
	/** Whether `added` is the full list, which replaces the receiver's, rather than changes to it. */
	readonly isWhole: boolean;
	readonly added: readonly PartLocation[];
	readonly removed: readonly PartKey[];
};

/** How long a view may be used after the reply that it comes from, on the upstreams' clock. */
export const viewLifetimeMs = 2000;
/** How long a fetch may take before its result is discarded. */
export const fetchTimeoutMs = 1500;
/** Allowance for the difference between the clocks of stores and engines before a retired part is freed. */
export const clockSkewMarginMs = 300;
