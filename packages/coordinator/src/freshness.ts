import {PeerMessageKind, type PeerMessage} from '@fescuestair/agreement';
import {type Clock} from '@fescuestair/core';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';

/** Up to when this replica knows all that was committed. */
export type Freshness = {
	/** Records a message of the leader that this replica follows. */
	readonly recordLeaderMessage: (message: PeerMessage) => void;
	/** Whether what this replica knows may be told as the newest. */
	readonly isCurrent: () => boolean;
	/** Latest time, on the monotonic clock, at which this replica knew all that was committed; `undefined` where it has not since its start. */
	readonly getKnownAtMs: () => number | undefined;
	/** Time since then; `undefined` where it has not since its start. */
	readonly getAgeMs: () => number | undefined;
};

export type FreshnessOptions = {
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	readonly log: Logger;
	readonly metrics: Pick<PrometheusMetrics, 'registerGauge'>;
	readonly getLeadingTerm: () => number | undefined;
	/** Whether this replica has applied all entries up to an index, and all that was committed before the current term. */
	readonly hasApplied: (index: number) => boolean;
	readonly describeGroup: () => Readonly<Record<string, unknown>>;
};

/** A replica counts as current if it received a message from the leader within this time and lacked nothing that was committed, or led itself. */
const leaderTimeoutMs = 1500;

/**
Creates the record of how fresh the state of a replica is.

@example
```
const freshness = createFreshness({clock, log, metrics, getLeadingTerm, hasApplied, describeGroup});
freshness.recordLeaderMessage(message);
freshness.isCurrent(); //=> true
```
*/
export function createFreshness({clock, log, metrics, getLeadingTerm, hasApplied, describeGroup}: FreshnessOptions): Freshness {
	let leaderHeardAtMs = Number.NEGATIVE_INFINITY;
	/** The last entry that is committed, as the last message of a leader stated. */
	let statedCommitIndex = Number.POSITIVE_INFINITY;
	let wasCurrent = false;

	const getKnownAtMs = () => Number.isFinite(leaderHeardAtMs) ? leaderHeardAtMs : undefined;

	const getAgeMs = () => {
		const knownAtMs = getKnownAtMs();

		return knownAtMs === undefined ? undefined : clock.readMonotonicMs() - knownAtMs;
	};

	// A leader whose lease has lapsed stays current for as long as a follower that receives no messages from a leader.
	const isCurrent = () => {
		const nowMs = clock.readMonotonicMs();

		if (getLeadingTerm() !== undefined) {
			leaderHeardAtMs = nowMs;
		}

		const isCurrentNow = nowMs - leaderHeardAtMs < leaderTimeoutMs;

		if (isCurrentNow !== wasCurrent) {
			wasCurrent = isCurrentNow;
			log.info(isCurrentNow ? 'knows all that was committed' : 'may lack what was committed', {
				knownAgeMs: Math.round(nowMs - leaderHeardAtMs), statedCommitIndex, ...describeGroup(),
			});
		}

		return isCurrentNow;
	};

	metrics.registerGauge('state_age_ms', 'Time since this replica knew all that was committed; -1 where it has not since its start', () => getAgeMs() ?? -1);

	return {
		recordLeaderMessage(message) {
			if (message.kind !== PeerMessageKind.Append) {
				return;
			}

			// What the message before stated had the time to be applied, unless this replica lags, as after a start.
			if (hasApplied(statedCommitIndex)) {
				leaderHeardAtMs = clock.readMonotonicMs();
			}

			statedCommitIndex = message.commitIndex;
		},
		isCurrent,
		getKnownAtMs,
		getAgeMs,
	};
}
