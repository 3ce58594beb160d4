import {Priority} from '@fescuestair/routing';

/** A request that this entry has dispatched to an engine. */
export type Dispatch = {
	readonly priority: Priority;
	readonly prefillTokens: number;
	/** Monotonic time at which it was sent. */
	readonly sentAtMs: number;
};

/** The load that an engine last reported, and the requests that this entry has dispatched to it. */
export type BacklogInput = {
	readonly queuedShortTokens: number;
	readonly queuedLongTokens: number;
	readonly reportedAtMs: number;
	readonly dispatches: Iterable<Dispatch>;
	readonly prefillTokensPerSecond: number;
	readonly nowMs: number;
};

/** Estimate of the work that waits at an engine. */
export type Backlog = {
	/** Requests dispatched after the report, which does not include them. */
	readonly shortRequests: number;
	readonly longRequests: number;
	/** Prompt tokens whose prefill is outstanding. */
	readonly shortTokens: number;
	readonly longTokens: number;
};

const msPerSecond = 1000;
/** Up to this age a report is used as it is. */
const maxFreshReportAgeMs = 1500;

/**
Estimates the backlog of an engine: the reported queue plus the requests dispatched after the report. Without a new report
the old queue would count for ever although its work has long been done, so the queue of an old report is reduced by what the
engine is assumed to have computed since, at its prefill rate.

@example
```
estimateBacklog({...load, reportedAtMs, dispatches, prefillTokensPerSecond: 8000, nowMs}).longTokens;
```
*/
export function estimateBacklog(input: BacklogInput): Backlog {
	const {queuedShortTokens, queuedLongTokens, dispatches, reportedAtMs, prefillTokensPerSecond, nowMs} = input;
	const computedTokens = Math.max(0, nowMs - reportedAtMs - maxFreshReportAgeMs) * prefillTokensPerSecond / msPerSecond;
	// Engines compute short prompts before long ones.
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
