import {build} from 'hdr-histogram-js';

/** A histogram of durations. */
export type Histogram = {
	readonly record: (ms: number) => void;
	readonly getPercentile: (percentile: number) => number;
	readonly getCount: () => number;
};

const unitsPerMs = 1000;

/**
Creates a histogram with microsecond resolution.

@example
```
histogram.record(1.5);
histogram.getPercentile(95);
```
*/
export function createHistogram(): Histogram {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});

	return {
		record(ms) {
			histogram.recordValue(Math.max(1, Math.round(ms * unitsPerMs)));
		},
		getPercentile: percentile => histogram.getValueAtPercentile(percentile) / unitsPerMs,
		getCount: () => histogram.totalCount,
	};
}
