import {type Clock} from '@fescuestair/core';
import {type PublishedState} from './published-state.js';

/** How long ago the target versions of weights were set, as far as this process can know. */
export type TargetAges = {
	/** Records the target versions that are in force now; returns those that were not known before. */
	readonly record: (state: Pick<PublishedState, 'weights'>) => ReadonlyArray<readonly [model: string, version: number]>;
	readonly getAgeMs: (model: string, version: number) => number;
};

/** Assumed age of a target version whose time of change is unknown: longer than any limit on the use of older weights. */
const unknownAgeMs = 60_000;
/** State published within this time after a start is taken to be replayed from before the start. */
const replayWindowMs = 3000;

/**
Creates the ages, of no version yet.

@example
```
const ages = createTargetAges(clock);
ages.record(state);
ages.getAgeMs('guide', 2); //=> 60_000
```
*/
export function createTargetAges(clock: Clock): TargetAges {
	const startedAtMs = clock.readMonotonicMs();
	/** When each target version was set, on the monotonic clock, by model and version. */
	const setAtMs = new Map<string, number>();

	return {
		record({weights}) {
			const nowMs = clock.readMonotonicMs();
			const added: Array<readonly [string, number]> = [];

			for (const [model, version] of weights) {
				const key = `${model} ${version}`;

				if (!setAtMs.has(key)) {
					// Right after a start, replayed changes may be arbitrarily old.
					setAtMs.set(key, nowMs - startedAtMs < replayWindowMs ? nowMs - unknownAgeMs : nowMs);
					added.push([model, version]);
				}
			}

			return added;
		},
		// Target versions loaded from disk may have been set at any time.
		getAgeMs(model, version) {
			const atMs = setAtMs.get(`${model} ${version}`);

			return atMs === undefined ? unknownAgeMs : clock.readMonotonicMs() - atMs;
		},
	};
}
