/** How an instance has answered this daemon lately. Immutable. */
export type InstanceHealth = {
	/** Share of requests that failed, the newest counting most. */
	readonly failureShare: number;
	readonly samples: number;
	/** Nothing is sent before this, but for one trial at a time after it. */
	readonly restDeadlineMs: number;
	/** Rests in a row; each lasts longer. */
	readonly rests: number;
};

export enum HealthEvent {
	/** An answer came, or a piece of one. */
	Answered = 'answered',
	/** An answer that is a fault of the instance. */
	Failed = 'failed',
	/** No connection could be made. */
	Unreachable = 'unreachable',
	/** Nothing came for as long as a sound instance needs at most. */
	Silent = 'silent',
}

/** Weight of the newest answer in the share of failures: about ten answers are looked at. */
const smoothingFactor = 0.1;
const minSamples = 5;
/** An instance that fails more often than this rests. */
const maxFailureShare = 0.5;
const initialBackoffMs = 500;
const maxBackoffMs = 4000;

/** Creates the health of an instance of which nothing is known. */
export function createInstanceHealth(): InstanceHealth {
	return {
		failureShare: 0, samples: 0, restDeadlineMs: 0, rests: 0,
	};
}

/**
Judges an instance by what it answered: one that cannot be reached, falls silent, or fails most requests rests, longer each time.
Answers the load pattern of instances that are dark, grey or flapping while their own checks say that they are well.

@example
```
const health = judgeInstance(before, HealthEvent.Unreachable, nowMs);
```
*/
export function recordHealthEvent(health: InstanceHealth, event: HealthEvent, nowMs: number): InstanceHealth {
	switch (event) {
		case HealthEvent.Answered: {
			return {
				...health,
				failureShare: health.failureShare * (1 - smoothingFactor),
				samples: health.samples + 1,
				rests: health.failureShare < maxFailureShare / 2 ? 0 : health.rests,
				restDeadlineMs: 0,
			};
		}

		case HealthEvent.Failed: {
			const failureShare = health.failureShare + (smoothingFactor * (1 - health.failureShare));
			const updated = {...health, failureShare, samples: health.samples + 1};

			return updated.samples >= minSamples && failureShare >= maxFailureShare ? startBackoff(updated, nowMs) : updated;
		}

		case HealthEvent.Unreachable:
		case HealthEvent.Silent: {
			return startBackoff(health, nowMs);
		}
	}
}

function startBackoff(health: InstanceHealth, nowMs: number): InstanceHealth {
	if (nowMs < health.restDeadlineMs) {
		return health;
	}

	const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** health.rests));

	return {...health, rests: health.rests + 1, restDeadlineMs: nowMs + backoffMs};
}

/** Tells whether an instance takes requests: it does not rest, or its rest is over and this is the one trial. */
export function canTakeRequests(health: InstanceHealth, own: number, nowMs: number): boolean {
	return health.rests === 0 || (nowMs >= health.restDeadlineMs && own === 0);
}
