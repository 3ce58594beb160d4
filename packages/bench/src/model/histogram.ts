import {build} from 'hdr-histogram-js';

/** Durations in milliseconds. */
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
	const inner = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});

	return {
		record(ms) {
			inner.recordValue(Math.max(1, Math.round(ms * unitsPerMs)));
		},
		getPercentile: percentile => inner.getValueAtPercentile(percentile) / unitsPerMs,
		getCount: () => inner.totalCount,
	};
}
