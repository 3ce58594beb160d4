/** How long the requests of each route took lately. */
export type RequestLengths = {
	/** Records a request that was answered. */
	readonly record: (route: string, tookMs: number, nowMs: number) => void;
	/** The longest of the recent requests of a route; `undefined` where too few are known. */
	readonly findLongestMs: (route: string, nowMs: number) => number | undefined;
	/** The longest of the recent requests of all routes; 0 where none is known. */
	readonly findLongestOfAllMs: (nowMs: number) => number;
};

type Period = {readonly startMs: number; readonly lengths: Map<string, {readonly count: number; readonly longestMs: number}>};

/** Requests are forgotten after one to two of these periods. */
const periodMs = 30_000;
/** With fewer requests of a route, their longest one says little. */
const minCount = 20;

/**
Creates an empty record of the lengths of requests.

@example
```
const lengths = createRequestLengths();
lengths.record('booking', 40, 1000);
lengths.findLongestMs('booking', 1100); //=> undefined
```
*/
export function createRequestLengths(): RequestLengths {
	let current: Period = {startMs: 0, lengths: new Map()};
	let previous: Period = current;

	const advance = (nowMs: number) => {
		if (nowMs - current.startMs >= periodMs) {
			previous = nowMs - current.startMs < 2 * periodMs ? current : {startMs: nowMs, lengths: new Map()};
			current = {startMs: nowMs, lengths: new Map()};
		}
	};

	return {
		record(route, tookMs, nowMs) {
			advance(nowMs);
			const {count, longestMs} = current.lengths.get(route) ?? {count: 0, longestMs: 0};
			current.lengths.set(route, {count: count + 1, longestMs: Math.max(longestMs, tookMs)});
		},
		findLongestMs(route, nowMs) {
			advance(nowMs);
			const known = [...new Set([current, previous])].flatMap(({lengths}) => lengths.get(route) ?? []);
			const count = known.reduce((sum, one) => sum + one.count, 0);

			return count < minCount ? undefined : Math.max(...known.map(({longestMs}) => longestMs));
		},
		findLongestOfAllMs(nowMs) {
			advance(nowMs);

			return Math.max(0, ...[current, previous].flatMap(({lengths}) => [...lengths.values()].map(({longestMs}) => longestMs)));
		},
	};
}
