import {Priority} from '@fescuestair/routing';

/** One request that this entry has sent to an engine. */
export type Dispatch = {
	readonly priority: Priority;
	readonly prefillTokens: number;
	/** Monotonic time at which it was sent. */
	readonly sentAtMs: number;
};

/** What own dispatches add to a report that does not show them yet. */
export type OwnLoad = {
	readonly shortRequests: number;
	readonly longRequests: number;
	readonly shortTokens: number;
	readonly longTokens: number;
};

/**
Sums the dispatches that left after a report was made. Older ones stand in the report.

@example
```
sumDispatches(dispatches, reportedAtMs).longTokens;
```
*/
export function sumDispatches(dispatches: Iterable<Dispatch>, reportedAtMs: number): OwnLoad {
	let shortRequests = 0;
	let longRequests = 0;
	let shortTokens = 0;
	let longTokens = 0;

	for (const {priority, prefillTokens, sentAtMs} of dispatches) {
		if (sentAtMs <= reportedAtMs) {
			continue;
		}

		if (priority === Priority.Short) {
			shortRequests++;
			shortTokens += prefillTokens;
		} else {
			longRequests++;
			longTokens += prefillTokens;
		}
	}

	return {
		shortRequests, longRequests, shortTokens, longTokens,
	};
}
