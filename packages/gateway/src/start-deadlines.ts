import {type Clock} from '@fescuestair/core';
import {maxTimerMs} from './max-timer-ms.js';

/** The weights on which a run is to begin; an `undefined` version is not known. */
export type RunWeights = {readonly model: string; readonly version: number | undefined};

/** Takes back the runs that have not begun when the weights of their instance become too old for that. */
export type StartDeadlines = {
	/** Registers a run that has been sent and has not begun; `onPassed` is called once when its deadline passes. The returned function removes it. */
	readonly registerRun: (weights: RunWeights, onPassed: () => void) => () => void;
	/** Applies new target versions to the runs that wait. */
	readonly applyTargets: () => void;
	readonly countWaiting: () => number;
	readonly stop: () => void;
};

export type StartDeadlinesOptions = {
	readonly clock: Clock;
	/** The time on the monotonic clock until which runs may begin; `undefined` while no newer version is the target. */
	readonly findDeadlineMs: (weights: RunWeights) => number | undefined;
};

type Group = {readonly weights: RunWeights; readonly waiting: Set<() => void>; timer: NodeJS.Timeout | undefined};

/**
Creates the start deadlines of a gateway. A run may wait at its instance for any time, in a queue or since the instance is silent, and its weights may be replaced meanwhile.

@example
```
const startDeadlines = createStartDeadlines({clock, findDeadlineMs});
const unregister = startDeadlines.registerRun({model: 'guide', version: 1}, () => {
	attempt.cancel(RunEvidence.WeightsTooOld);
});
```
*/
export function createStartDeadlines({clock, findDeadlineMs}: StartDeadlinesOptions): StartDeadlines {
	/** The runs that wait, by what they share: a model and a version of its weights. */
	const groups = new Map<string, Group>();

	const schedule = (group: Group) => {
		clearTimeout(group.timer);
		const deadlineMs = findDeadlineMs(group.weights);
		group.timer = deadlineMs === undefined ? undefined : setTimeout(endWait, Math.min(maxTimerMs, Math.max(0, deadlineMs - clock.readMonotonicMs())), group);
	};

	const endWait = (group: Group) => {
		const deadlineMs = findDeadlineMs(group.weights);

		if (deadlineMs === undefined || clock.readMonotonicMs() < deadlineMs) {
			schedule(group);

			return;
		}

		const passed = [...group.waiting];
		group.waiting.clear();

		for (const onPassed of passed) {
			onPassed();
		}
	};

	return {
		registerRun(weights, onPassed) {
			const key = `${weights.version} ${weights.model}`;
			const group = groups.get(key) ?? {weights, waiting: new Set(), timer: undefined};

			if (!groups.has(key)) {
				groups.set(key, group);
			}

			// The same function may be registered for several models.
			const handlePassed = () => {
				onPassed();
			};

			group.waiting.add(handlePassed);

			if (group.waiting.size === 1) {
				schedule(group);
			}

			return () => {
				group.waiting.delete(handlePassed);

				if (group.waiting.size === 0 && groups.get(key) === group) {
					clearTimeout(group.timer);
					groups.delete(key);
				}
			};
		},
		applyTargets() {
			for (const group of groups.values()) {
				schedule(group);
			}
		},
		countWaiting: () => [...groups.values()].reduce((total, {waiting}) => total + waiting.size, 0),
		stop() {
			for (const {timer} of groups.values()) {
				clearTimeout(timer);
			}

			groups.clear();
		},
	};
}
