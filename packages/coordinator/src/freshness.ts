import {type Clock} from '@fescuestair/core';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';

/** Up to when this replica knows all that was committed. */
export type Freshness = {
	/** Whether what this replica knows may be told as the newest. */
	readonly isCurrent: () => boolean;
	/** Latest time, on the monotonic clock, for which this replica has applied all that had been committed by then; `undefined` where there is none since its start. */
	readonly getKnownAtMs: () => number | undefined;
	/** Time since then; `undefined` where there is none since the start. */
	readonly getAgeMs: () => number | undefined;
};

export type FreshnessOptions = {
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	readonly log: Logger;
	readonly metrics: Pick<PrometheusMetrics, 'registerGauge'>;
	/** The same time for the replica that is open now; `undefined` also while its disk fails. */
	readonly readKnownAtMs: () => number | undefined;
	readonly describeGroup: () => Readonly<Record<string, unknown>>;
};

/** A replica counts as current while its state is younger than this: more than it takes to replace a lost leader and to hear from the next one. */
const maxStateAgeMs = 2000;

/**
Creates the record of how fresh the state of a replica is.

@example
```
const freshness = createFreshness({clock, log, metrics, readKnownAtMs: () => runner.getKnownAtMs(), describeGroup});
freshness.isCurrent(); //=> true
```
*/
export function createFreshness({clock, log, metrics, readKnownAtMs, describeGroup}: FreshnessOptions): Freshness {
	let knownAtMs: number | undefined;
	let wasCurrent = false;

	const getKnownAtMs = () => {
		const readMs = readKnownAtMs();

		if (readMs !== undefined) {
			knownAtMs = Math.max(knownAtMs ?? Number.NEGATIVE_INFINITY, readMs);
		}

		return knownAtMs;
	};

	const getAgeMs = () => {
		const latestMs = getKnownAtMs();

		return latestMs === undefined ? undefined : clock.readMonotonicMs() - latestMs;
	};

	metrics.registerGauge('state_age_ms', 'Time since this replica knew all that was committed; -1 where it has not since its start', () => getAgeMs() ?? -1);

	return {
		isCurrent() {
			const ageMs = getAgeMs();
			const isCurrent = ageMs !== undefined && ageMs < maxStateAgeMs;

			if (isCurrent !== wasCurrent) {
				wasCurrent = isCurrent;
				log.info(isCurrent ? 'knows all that was committed' : 'may lack what was committed', {
					knownAgeMs: ageMs === undefined ? undefined : Math.round(ageMs), ...describeGroup(),
				});
			}

			return isCurrent;
		},
		getKnownAtMs,
		getAgeMs,
	};
}
