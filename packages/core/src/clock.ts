import {performance} from 'node:perf_hooks';

/** Source of time, passed to whatever needs one so that tests can turn it by hand. */
export type Clock = {
	/** Milliseconds on a clock that never jumps; deadlines are on this one. */
	readonly readMonotonicMs: () => number;
	/** Milliseconds since the epoch, for people and for records; it may jump. */
	readonly readWallMs: () => number;
};

/** A clock that moves only when told to. */
export type ManualClock = Clock & {readonly advance: (ms: number) => void};

/**
Creates the clock of the operating system.

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
