import {performance} from 'node:perf_hooks';

/** Source of time, passed as a dependency so that tests can control it. */
export type Clock = {
	/** Milliseconds of a monotonic clock; deadlines are measured on this one. */
	readonly readMonotonicMs: () => number;
	/** Milliseconds since the Unix epoch, for display and stored records; may jump in either direction. */
	readonly readWallMs: () => number;
};

/** A clock that advances only through `advance`. */
export type ManualClock = Clock & {readonly advance: (ms: number) => void};

/**
Creates a clock that reads the operating system's time.

@example
```
const deadlineMs = createSystemClock().readMonotonicMs() + 500;
```
*/
export function createSystemClock(): Clock {
	return {
		readMonotonicMs: () => performance.now(),
		readWallMs: () => Date.now(),
	};
}

/**
Creates a clock for tests.

@example
```
const clock = createManualClock();
clock.advance(100);
clock.readMonotonicMs(); //=> 100
```
*/
export function createManualClock(startMs = 0): ManualClock {
	let nowMs = startMs;

	return {
		readMonotonicMs: () => nowMs,
		readWallMs: () => nowMs,
		advance(ms) {
			nowMs += ms;
		},
	};
}
