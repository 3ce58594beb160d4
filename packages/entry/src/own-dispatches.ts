import {Priority} from '@fescuestair/routing';

/** One request that this entry has sent to an engine. */
export type Dispatch = {
	readonly priority: Priority;
	readonly prefillTokens: number;
	/** Monotonic time at which it was sent. */
	readonly sentAtMs: number;
};

/** An engine's report, and what this entry has sent it. */
export type BacklogInput = {
	readonly queuedShortTokens: number;
	readonly queuedLongTokens: number;
	readonly reportedAtMs: number;
	readonly dispatches: Iterable<Dispatch>;
	readonly prefillTokensPerSecond: number;
	readonly nowMs: number;
};

/** What is taken to wait at an engine now. */
export type Backlog = {
	/** Own dispatches that the report does not show. */
	readonly shortRequests: number;
	readonly longRequests: number;
	/** Prompt tokens still to be computed. */
	readonly shortTokens: number;
	readonly longTokens: number;
};

const msPerSecond = 1000;
/** Younger reports stand as they are. */
const maxFreshReportAgeMs = 1500;

/**
Estimates what waits at an engine: what it reported, with the own dispatches that left after the report. An old report
would stand for as long as no new one comes, though its work is long done: it is taken to be worked off.

@example
```
estimateBacklog({...load, reportedAtMs, dispatches, prefillTokensPerSecond: 8000, nowMs}).longTokens;
```
*/
export function estimateBacklog(input: BacklogInput): Backlog {
	const {queuedShortTokens, queuedLongTokens, dispatches, reportedAtMs, prefillTokensPerSecond, nowMs} = input;
	const computedTokens = Math.max(0, nowMs - reportedAtMs - maxFreshReportAgeMs) * prefillTokensPerSecond / msPerSecond;
	// Short prompts are computed first.
	let shortTokens = Math.max(0, queuedShortTokens - computedTokens);
	let longTokens = Math.max(0, queuedLongTokens - Math.max(0, computedTokens - queuedShortTokens));
	let shortRequests = 0;
	let longRequests = 0;

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
