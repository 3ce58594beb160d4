/** Transfers that one entry has planned on its share of a store's link. */
export type LinkBudget = {
	/** This entry's share. */
	readonly bytesPerSecond: number;
	/** When the transfers planned so far will have used their share. */
	readonly freeAtMs: number;
};

const msPerSecond = 1000;

/**
Creates the budget of a link that is idle.

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
	/** Share of the link that the preset lets the system use. */
	readonly linkShare: number;
	/** Entries that serve. */
	readonly entries: number;
};

/** Computes the equal share of one entry, so that entries hold a budget together without asking each other. */
export function computeLinkShare({linkBytesPerSecond, linkShare, entries}: LinkShareInput): number {
	return linkBytesPerSecond * linkShare / Math.max(1, entries);
}

/** Changes the share; what is queued keeps its bytes. */
export function setLinkShare(budget: LinkBudget, bytesPerSecond: number, nowMs: number): LinkBudget {
	const queuedBytes = countQueuedBytes(budget, nowMs);

	return {bytesPerSecond, freeAtMs: nowMs + (queuedBytes / bytesPerSecond * msPerSecond)};
}

/** Counts the bytes that wait before a transfer planned now. */
export function countQueuedBytes({bytesPerSecond, freeAtMs}: LinkBudget, nowMs: number): number {
	return Math.max(0, freeAtMs - nowMs) * bytesPerSecond / msPerSecond;
}

/**
Plans a transfer behind those planned before; it may begin at the returned time.

@example
```
const {budget, startMs} = reserveLink(before, 32_000_000, nowMs);
```
*/
export function reserveLink(budget: LinkBudget, bytes: number, nowMs: number): {readonly budget: LinkBudget; readonly startMs: number} {
	const startMs = Math.max(nowMs, budget.freeAtMs);

	return {budget: {...budget, freeAtMs: startMs + (bytes / budget.bytesPerSecond * msPerSecond)}, startMs};
}

/** Gives back bytes that were planned and not moved. */
export function releaseLink(budget: LinkBudget, bytes: number): LinkBudget {
	return {...budget, freeAtMs: budget.freeAtMs - (bytes / budget.bytesPerSecond * msPerSecond)};
}
