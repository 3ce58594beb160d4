/** Bandwidth budget of one entry on a store's link: a queue that drains at the entry's share of the rate. */
export type LinkBudget = {
	/** This entry's share of the link's rate. */
	readonly bytesPerSecond: number;
	/** When the transfers reserved so far end, at this rate. */
	readonly freeAtMs: number;
};

const msPerSecond = 1000;

/**
Creates the budget of an idle link.

@example
```
const budget = createLinkBudget(computeLinkShare({linkBytesPerSecond: 1e9, linkShare: 0.5, entries: 4}));
```
*/
export function createLinkBudget(bytesPerSecond: number): LinkBudget {
	return {bytesPerSecond, freeAtMs: 0};
}

export type LinkShareInput = {
	readonly linkBytesPerSecond: number;
	/** Share of the link's rate that transfers may use, as set by the preset in force (the operator's weights, limits and budgets). */
	readonly linkShare: number;
	/** Number of entries that serve requests. */
	readonly entries: number;
};

/** Computes the share of one entry. Equal shares keep the budget of the link without coordination between the entries. */
export function computeLinkShare({linkBytesPerSecond, linkShare, entries}: LinkShareInput): number {
	return linkBytesPerSecond * linkShare / Math.max(1, entries);
}

/** Changes the rate of a budget; the queued bytes stay queued and drain at the new rate. */
export function setLinkShare(budget: LinkBudget, bytesPerSecond: number, nowMs: number): LinkBudget {
	const queuedBytes = countQueuedBytes(budget, nowMs);

	return {bytesPerSecond, freeAtMs: nowMs + (queuedBytes / bytesPerSecond * msPerSecond)};
}

/** Counts the bytes queued ahead of a transfer that is reserved now. */
export function countQueuedBytes({bytesPerSecond, freeAtMs}: LinkBudget, nowMs: number): number {
	return Math.max(0, freeAtMs - nowMs) * bytesPerSecond / msPerSecond;
}

/**
Reserves a transfer behind those reserved before; it may begin at the returned time.

@example
```
const {budget, startMs} = reserveLink(before, 32_000_000, nowMs);
```
*/
export function reserveLink(budget: LinkBudget, bytes: number, nowMs: number): {readonly budget: LinkBudget; readonly startMs: number} {
	const startMs = Math.max(nowMs, budget.freeAtMs);

	return {budget: {...budget, freeAtMs: startMs + (bytes / budget.bytesPerSecond * msPerSecond)}, startMs};
}

/** Releases bytes that were reserved and not transferred. */
export function releaseLink(budget: LinkBudget, bytes: number): LinkBudget {
	return {...budget, freeAtMs: budget.freeAtMs - (bytes / budget.bytesPerSecond * msPerSecond)};
}
