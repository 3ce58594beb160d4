/** Pauses of an instance since it last answered without one. Immutable. */
export type Pauses = {
	readonly count: number;
	readonly isPausing: boolean;
	/** When the latest one ended. */
	readonly endedAtMs: number;
};

/** The pauses of an instance that has made none. */
export const noPauses: Pauses = {count: 0, isPausing: false, endedAtMs: Number.NEGATIVE_INFINITY};

/** Records that an instance sends nothing. */
export function startPause(pauses: Pauses): Pauses {
	return pauses.isPausing ? pauses : {...pauses, count: pauses.count + 1, isPausing: true};
}

/** Records that an instance sends something again. */
export function endPause(pauses: Pauses, nowMs: number): Pauses {
	return {...pauses, isPausing: false, endedAtMs: nowMs};
}

/**
Records the first output of a request, and decides whether the time until then tells how fast the instance is. The requests of a single pause do not: they
waited for its end. An instance that pauses again before it has answered without a pause is slow. Load pattern: sound instances that pause for a second.

@example
```
const {pauses, isRepresentative} = recordFirstOutput(before, {startedAtMs});
```
*/
export function recordFirstOutput(pauses: Pauses, {startedAtMs}: {readonly startedAtMs: number}): {readonly pauses: Pauses; readonly isRepresentative: boolean} {
	const isInPause = pauses.isPausing || startedAtMs <= pauses.endedAtMs;

	if (isInPause) {
		return {pauses, isRepresentative: pauses.count > 1};
	}

	return {pauses: pauses.count === 0 ? pauses : {...pauses, count: 0}, isRepresentative: true};
}
