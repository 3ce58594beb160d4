import {
	canTakeRequests, createInstanceHealth, recordHealthEvent, type HealthEvent, type InstanceHealth,
} from './instance-health.js';

/** Status of an instance at this daemon; the first that applies, in this order. */
export enum Standing {
	/** Draining: it finishes its requests and accepts no new ones. */
	Leaving = 'leaving',
	/** Loading other weights. */
	Loading = 'loading',
	/** No announcement and no answer arrived within `livenessTimeoutMs`. */
	Silent = 'silent',
	/** Backing off at its own request. */
	Resting = 'resting',
	/** Backing off after failed requests; then it gets one trial request at a time. */
	Unhealthy = 'unsound',
	/** It rejected a request within the last `fullDurationMs`. */
	Full = 'full',
	/** It accepts requests but is still slow after its start. */
	Cold = 'cold',
	Ready = 'ready',
}

/** State of one instance as this daemon knows it; all deadlines are on this daemon's clock. Immutable. */
export type InstanceStanding = {
	/** Incarnation that this state describes; events of other incarnations do not apply to it. */
	readonly incarnation: number;
	readonly isLeaving: boolean;
	readonly health: InstanceHealth;
	/** Counts as lost from this time on, unless an announcement or answer arrives before. */
	readonly livenessDeadlineMs: number;
	/** When the last bytes arrived from it. */
	readonly answeredAtMs: number;
	readonly loadingDeadlineMs: number;
	readonly coldDeadlineMs: number;
	/** End of the backoff that it requested. */
	readonly restDeadlineMs: number;
	readonly fullDeadlineMs: number;
};

export enum StandingEventKind {
	Announced = 'announced',
	/** Bytes of an answer arrived. */
	Heard = 'heard',
	/** An answer announced that it is leaving. */
	LeavingHeard = 'leaving_heard',
	/** It rejected a request. */
	TurnedAway = 'turned_away',
	Judged = 'judged',
}

/** State of an instance according to its announcements. */
export type AnnouncedStanding = {
	readonly incarnation: number;
	readonly isLeaving: boolean;
	/** When it sent its latest announcement. */
	readonly heardAtMs: number;
	readonly loadingDeadlineMs: number;
	readonly coldDeadlineMs: number;
};

export type StandingEvent
	= | ({readonly kind: StandingEventKind.Announced} & AnnouncedStanding)
		| {readonly kind: StandingEventKind.Heard}
		| {readonly kind: StandingEventKind.LeavingHeard; readonly incarnation: number}
		/** `askedRestMs`: backoff that the instance requested. */
		| {readonly kind: StandingEventKind.TurnedAway; readonly askedRestMs: number | undefined}
		| {readonly kind: StandingEventKind.Judged; readonly event: HealthEvent};

/** An instance counts as lost if neither an announcement nor an answer arrives for this long: four announcement intervals. */
const livenessTimeoutMs = 5500;
/** Time for which an instance that rejected a request counts as full: slots become free about this often. */
const fullDurationMs = 150;
/** A requested backoff of more than five minutes is ignored as a fault: one wrong answer would remove the instance for good. */
const maxRequestedBackoffMs = 300_000;

/**
Creates the state of an instance that announced itself.

@example
```
const state = createInstanceStanding({incarnation: 1, isLeaving: false, heardAtMs: nowMs, loadingDeadlineMs: 0, coldDeadlineMs: 0});
```
*/
export function createInstanceStanding({heardAtMs, ...announced}: AnnouncedStanding): InstanceStanding {
	return {
		...announced,
		health: createInstanceHealth(),
		livenessDeadlineMs: heardAtMs + livenessTimeoutMs,
		answeredAtMs: Number.NEGATIVE_INFINITY,
		restDeadlineMs: Number.NEGATIVE_INFINITY,
		fullDeadlineMs: Number.NEGATIVE_INFINITY,
	};
}

/** Tells whether a requested backoff is valid: a number that is not negative and within the maximum. */
export function isProperRest(askedRestMs: number): boolean {
	return askedRestMs >= 0 && askedRestMs <= maxRequestedBackoffMs;
}

/**
Applies an event to the state of an instance. Load pattern: instances that reject requests while others are full too. A requested backoff is
respected until its end, and an instance that is leaving gets no requests until it has restarted with a new incarnation.

@example
```
state = advanceStanding(state, {kind: StandingEventKind.TurnedAway, askedRestMs: 2500}, nowMs);
classifyStanding(state, {own: 0, nowMs}); //=> Standing.Resting
```
*/
export function advanceStanding(state: InstanceStanding, event: StandingEvent, nowMs: number): InstanceStanding {
	switch (event.kind) {
		case StandingEventKind.Announced: {
			return applyAnnouncement(state, event);
		}

		case StandingEventKind.Heard: {
			return {...state, answeredAtMs: nowMs, livenessDeadlineMs: Math.max(state.livenessDeadlineMs, nowMs + livenessTimeoutMs)};
		}

		case StandingEventKind.LeavingHeard: {
			return event.incarnation === state.incarnation ? {...state, isLeaving: true} : state;
		}

		case StandingEventKind.TurnedAway: {
			const {askedRestMs} = event;

			return askedRestMs === undefined || !isProperRest(askedRestMs)
				? {...state, fullDeadlineMs: nowMs + fullDurationMs}
				: {...state, restDeadlineMs: Math.max(state.restDeadlineMs, nowMs + askedRestMs)};
		}

		case StandingEventKind.Judged: {
			return {...state, health: recordHealthEvent(state.health, event.event, nowMs)};
		}
	}
}

function applyAnnouncement(state: InstanceStanding, {heardAtMs, incarnation, isLeaving, loadingDeadlineMs, coldDeadlineMs}: AnnouncedStanding): InstanceStanding {
	if (incarnation !== state.incarnation) {
		return createInstanceStanding({
			heardAtMs, incarnation, isLeaving, loadingDeadlineMs, coldDeadlineMs,
		});
	}

	return {
		...state,
		isLeaving: state.isLeaving || isLeaving,
		livenessDeadlineMs: Math.max(state.livenessDeadlineMs, heardAtMs + livenessTimeoutMs),
		loadingDeadlineMs,
		coldDeadlineMs,
	};
}

/** Derives the status of an instance at which this daemon has `own` requests in progress. */
export function classifyStanding(state: InstanceStanding, {own, nowMs}: {readonly own: number; readonly nowMs: number}): Standing {
	if (state.isLeaving) {
		return Standing.Leaving;
	}

	if (state.loadingDeadlineMs > nowMs) {
		return Standing.Loading;
	}

	if (state.livenessDeadlineMs <= nowMs) {
		return Standing.Silent;
	}

	if (state.restDeadlineMs > nowMs) {
		return Standing.Resting;
	}

	if (!canTakeRequests(state.health, own, nowMs)) {
		return Standing.Unhealthy;
	}

	if (state.fullDeadlineMs > nowMs) {
		return Standing.Full;
	}

	return state.coldDeadlineMs > nowMs ? Standing.Cold : Standing.Ready;
}

/** Tells whether requests may be sent to an instance with this status; a full instance gets them only if no other accepts requests. */
export function canSendTo(status: Standing): boolean {
	return status === Standing.Ready || status === Standing.Cold || status === Standing.Full;
}
