/** Health of an instance by the outcomes of this daemon's recent requests. Immutable. */
export type InstanceHealth = {
	/** Exponential moving average of failures, from 0 to 1. */
	readonly failureShare: number;
	readonly samples: number;
	/** No request is sent before this; after it, one trial request at a time until the instance is healthy again. */
	readonly backoffDeadlineMs: number;
	/** Consecutive back-offs; each lasts twice as long as the one before, up to `maxBackoffMs`. */
	readonly rests: number;
	/** What applied before the instance timed out, and applies again once it sends something; `undefined` where it has not timed out. */
	readonly beforeTimeout: Pick<InstanceHealth, 'backoffDeadlineMs' | 'rests'> | undefined;
};

export enum HealthEvent {
	/** An answer or a piece of one arrived. */
	Answered = 'answered',
	/** The answer reports a fault of the instance. */
	Failed = 'failed',
	/** The connection could not be established. */
	Unreachable = 'unreachable',
	/** No byte arrived within the longest time that a healthy instance needs. */
	TimedOut = 'silent',
	/** Something arrived from an instance that had timed out. */
	Resumed = 'resumed',
}

/** Weight of the newest outcome in `failureShare`: about the last ten outcomes count. */
const smoothingFactor = 0.1;
const minSamples = 5;
/** Failure share at which an instance backs off. */
const maxFailureShare = 0.5;
const initialBackoffMs = 500;
const maxBackoffMs = 4000;

/** Creates the health of an instance to which no request was sent yet. */
export function createInstanceHealth(): InstanceHealth {
	return {
		failureShare: 0, samples: 0, backoffDeadlineMs: 0, rests: 0, beforeTimeout: undefined,
	};
}

/**
Records the outcome of a request (passive health check). An instance that is unreachable, times out or fails most requests gets no requests
for an exponentially growing back-off. One that timed out and goes on is used as before. Load pattern: instances that are down, partly failing or flapping
while their own health checks pass, and sound ones that pause.

@example
```
const health = recordHealthEvent(before, HealthEvent.Unreachable, nowMs);
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
				backoffDeadlineMs: 0,
				beforeTimeout: undefined,
			};
		}

		case HealthEvent.Failed: {
			const failureShare = health.failureShare + (smoothingFactor * (1 - health.failureShare));
			const updated = {...health, failureShare, samples: health.samples + 1};

			return updated.samples >= minSamples && failureShare >= maxFailureShare ? startBackoff({...updated, beforeTimeout: undefined}, nowMs) : updated;
		}

		case HealthEvent.Unreachable: {
			return startBackoff({...health, beforeTimeout: undefined}, nowMs);
		}

		case HealthEvent.TimedOut: {
			const {backoffDeadlineMs, rests} = health;

			return {...startBackoff(health, nowMs), beforeTimeout: health.beforeTimeout ?? {backoffDeadlineMs, rests}};
		}

		case HealthEvent.Resumed: {
			return {...health, ...health.beforeTimeout, beforeTimeout: undefined};
		}
	}
}

function startBackoff(health: InstanceHealth, nowMs: number): InstanceHealth {
	if (nowMs < health.backoffDeadlineMs) {
		return health;
	}

	const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** health.rests));

	return {
		...health, rests: health.rests + 1, backoffDeadlineMs: nowMs + backoffMs, beforeTimeout: undefined,
	};
}

/** Returns whether an instance accepts requests: it is not backing off, or the back-off has ended and this is the only trial request. */
export function canTakeRequests(health: InstanceHealth, own: number, nowMs: number): boolean {
	return health.rests === 0 || (nowMs >= health.backoffDeadlineMs && own === 0);
}
