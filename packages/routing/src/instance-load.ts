/** What an instance told of its load with a response. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	readonly atMs: number;
	/** Requests that this daemon itself had there when the report was made. */
	readonly ownAtReport: number;
};

/** What one daemon knows of the load of one instance: its own requests exactly, those of others from reports. Immutable. */
export type InstanceLoad = {
	/** Own requests in progress. */
	readonly own: number;
	/** Prompt tokens of own requests that gave no first piece yet and that no cache holds. */
	readonly ownPendingTokens: number;
	/** Tokens of own requests in progress, read and to be made. */
	readonly ownHeldTokens: number;
	readonly report: LoadReport | undefined;
	/** Mean time from sending to the first piece, or to the whole answer where there are no pieces. */
	readonly meanMs: number | undefined;
};

/** A report says nothing after this: a few times as long as a request lasts. */
const reportMs = 1500;
/** Weight of the newest sample in means. */
const sampleShare = 0.2;

/** Creates the load of an instance that got nothing from here yet. */
export function createInstanceLoad(): InstanceLoad {
	return {
		own: 0, ownPendingTokens: 0, ownHeldTokens: 0, report: undefined, meanMs: undefined,
	};
}

/**
Estimates the requests that others have at an instance; it fades as the report ages.

@example
```
estimateOthers(load, nowMs); //=> 3.5
```
*/
export function estimateOthers({report}: InstanceLoad, nowMs: number): number {
	if (report === undefined || nowMs - report.atMs >= reportMs) {
		return 0;
	}

	const others = Math.max(0, report.running + report.waiting - report.ownAtReport);

	return others * (1 - ((nowMs - report.atMs) / reportMs));
}

/** Takes a sample into a mean. */
export function mergeSample(mean: number | undefined, sample: number): number {
	return mean === undefined ? sample : mean + (sampleShare * (sample - mean));
}
