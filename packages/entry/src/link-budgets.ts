import {type Clock} from '@fescuestair/core';
import {
	countQueuedBytes, createLinkBudget, releaseLink, reserveLink, setLinkShare, computeLinkShare, type LinkBudget,
} from '@fescuestair/kv';
import {type MemberRecord} from '@fescuestair/membership';
import {type UpstreamDetails} from '@fescuestair/protocol';

export type LinkBudgetsOptions = {
	readonly clock: Clock;
	/** Number of entries that share the links. */
	readonly countEntries: () => number;
	/** Fraction of each link's bandwidth that the preset in force allows the system to use. */
	readonly getLinkShare: () => number;
};

/** Bandwidth budgets: this entry's share of the network link of each store. */
export type LinkBudgets = {
	readonly getBytesPerSecond: (store: MemberRecord) => number;
	readonly countQueuedBytes: (store: MemberRecord) => number;
	/** Reserves bandwidth for a transfer that may start at the monotonic time `startMs`; `release` returns reserved bytes that were not transferred. */
	readonly reserve: (store: MemberRecord, bytes: number) => {readonly startMs: number; readonly release: (unusedBytes: number) => void};
};

/**
Creates the bandwidth budgets of an entry.

@example
```
const {startMs, release} = budgets.reserve(store, 32_000_000);
```
*/
export function createLinkBudgets({clock, countEntries, getLinkShare}: LinkBudgetsOptions): LinkBudgets {
	const budgets = new Map<string, LinkBudget>();

	const getBytesPerSecond = ({details}: MemberRecord) => {
		const {linkBytesPerSecond} = details as UpstreamDetails;

		return computeLinkShare({linkBytesPerSecond, linkShare: getLinkShare(), entries: countEntries()});
	};

	const getBudget = (store: MemberRecord): LinkBudget => {
		const bytesPerSecond = getBytesPerSecond(store);
		const budget = budgets.get(store.id) ?? createLinkBudget(bytesPerSecond);

		return budget.bytesPerSecond === bytesPerSecond ? budget : setLinkShare(budget, bytesPerSecond, clock.readMonotonicMs());
	};

	return {
		getBytesPerSecond,
		countQueuedBytes: store => countQueuedBytes(getBudget(store), clock.readMonotonicMs()),
		reserve(store, bytes) {
			const {budget, startMs} = reserveLink(getBudget(store), bytes, clock.readMonotonicMs());
			budgets.set(store.id, budget);

			return {
				startMs,
				release(unusedBytes) {
					budgets.set(store.id, releaseLink(budgets.get(store.id)!, unusedBytes));
				},
			};
		},
	};
}
