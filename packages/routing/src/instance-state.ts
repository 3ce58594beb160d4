import {
	canTakeRequests, createInstanceHealth, recordHealthEvent, type HealthEvent, type InstanceHealth,
} from './instance-health.js';

/** Status of an instance at this daemon; the first that applies, in this order. */
export enum InstanceStatus {
	/** Draining: it finishes its requests and accepts no new ones. */
	Leaving = 'leaving',
	/** Its availability zone is evacuated: it finishes its requests and gets no new ones. */
	Evacuated = 'evacuated',
	/** Loading other weights. */
	Loading = 'loading',
	/** No announcement and no answer arrived within `livenessTimeoutMs`. */
	Silent = 'silent',
	/** Backing off at its own request. */
	BackingOff = 'resting',
	/** Backing off after failed requests; then it gets one trial request at a time. */
	Unhealthy = 'unsound',
	/** Other requests use up the limit that it names, for now. */
	Limited = 'limited',
	/** It rejected a request within the last `fullDurationMs`. */
	Full = 'full',
	/** It accepts requests but is still slow after its start. */
	Cold = 'cold',
	Ready = 'ready',
}

/** State of one instance as this daemon knows it; all deadlines are on this daemon's clock. Immutable. */
export type InstanceState = {
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
	/** End of the back-off that it requested. */
	readonly backoffDeadlineMs: number;
	readonly fullDeadlineMs: number;
};

export enum InstanceEventKind {
	Announced = 'announced',
	/** Bytes of an answer arrived. */
	ResponseReceived = 'heard',
	/** An answer announced that it is leaving. */
	LeavingReported = 'leaving_heard',
	/** It rejected a request. */
	RequestRejected = 'turned_away',
	HealthObserved = 'judged',
}

/** State of an instance according to its announcements. */
export type AnnouncedState = {
	readonly incarnation: number;
	readonly isLeaving: boolean;
	/** When it sent its latest announcement. */
	readonly heardAtMs: number;
	readonly loadingDeadlineMs: number;
	readonly coldDeadlineMs: number;
};

export type InstanceEvent
	= | ({readonly kind: InstanceEventKind.Announced} & AnnouncedState)
		| {readonly kind: InstanceEventKind.ResponseReceived}
		| {readonly kind: InstanceEventKind.LeavingReported; readonly incarnation: number}
		/** `askedRestMs`: back-off that the instance requested. */
		| {readonly kind: InstanceEventKind.RequestRejected; readonly askedRestMs: number | undefined}
		| {readonly kind: InstanceEventKind.HealthObserved; readonly event: HealthEvent};

/** An instance counts as lost if neither an announcement nor an answer arrives for this long: four announcement intervals. */
const livenessTimeoutMs = 5500;
/** Time for which an instance that rejected a request counts as full: slots become free about this often. */
const fullDurationMs = 150;
/** A requested back-off of more than five minutes is ignored as a fault: one wrong answer would remove the instance for good. */
const maxRequestedBackoffMs = 300_000;

/**
Creates the state of an instance that announced itself.

@example
```
const state = createInstanceState({incarnation: 1, isLeaving: false, heardAtMs: nowMs, loadingDeadlineMs: 0, coldDeadlineMs: 0});
```
*/
export function createInstanceState({heardAtMs, ...announced}: AnnouncedState): InstanceState {
	return {
		...announced,
		health: createInstanceHealth(),
		livenessDeadlineMs: heardAtMs + livenessTimeoutMs,
		answeredAtMs: Number.NEGATIVE_INFINITY,
		backoffDeadlineMs: Number.NEGATIVE_INFINITY,
		fullDeadlineMs: Number.NEGATIVE_INFINITY,
	};
}

/** Returns whether a requested back-off is valid: a number that is not negative and within the maximum. */
export function isValidBackoff(askedRestMs: number): boolean {
	return askedRestMs >= 0 && askedRestMs <= maxRequestedBackoffMs;
}

/**
Applies an event to the state of an instance. Load pattern: instances that reject requests while others are full too. A requested back-off is
respected until its end, and an instance that is leaving gets no requests until it has restarted with a new incarnation.

@example
```
state = applyInstanceEvent(state, {kind: InstanceEventKind.RequestRejected, askedRestMs: 2500}, nowMs);
classifyInstance(state, {own: 0, nowMs}); //=> InstanceStatus.BackingOff
```
*/
export function applyInstanceEvent(state: InstanceState, event: InstanceEvent, nowMs: number): InstanceState {
	switch (event.kind) {
		case InstanceEventKind.Announced: {
			return applyAnnouncement(state, event);
		}

		case InstanceEventKind.ResponseReceived: {
			return {...state, answeredAtMs: nowMs, livenessDeadlineMs: Math.max(state.livenessDeadlineMs, nowMs + livenessTimeoutMs)};
		}

		case InstanceEventKind.LeavingReported: {
			return event.incarnation === state.incarnation ? {...state, isLeaving: true} : state;
		}

		case InstanceEventKind.RequestRejected: {
			const {askedRestMs} = event;

			return askedRestMs === undefined || !isValidBackoff(askedRestMs)
				? {...state, fullDeadlineMs: nowMs + fullDurationMs}
				: {...state, backoffDeadlineMs: Math.max(state.backoffDeadlineMs, nowMs + askedRestMs)};
		}

		case InstanceEventKind.HealthObserved: {
			return {...state, health: recordHealthEvent(state.health, event.event, nowMs)};
		}
	}
}

function applyAnnouncement(state: InstanceState, {heardAtMs, incarnation, isLeaving, loadingDeadlineMs, coldDeadlineMs}: AnnouncedState): InstanceState {
	if (incarnation !== state.incarnation) {
		return createInstanceState({
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

export type ClassifyOptions = {
	/** Requests of this daemon that are in progress there. */
	readonly own: number;
	/** Until then no request may be sent there because of the limit that it names. */
	readonly limitedUntilMs?: number;
	/** Whether its availability zone is evacuated. */
	readonly isEvacuated?: boolean;
	readonly nowMs: number;
};

/** Derives the status of an instance. */
export function classifyInstance(state: InstanceState, {own, limitedUntilMs = Number.NEGATIVE_INFINITY, isEvacuated = false, nowMs}: ClassifyOptions): InstanceStatus {
	if (state.isLeaving) {
		return InstanceStatus.Leaving;
	}

	if (isEvacuated) {
		return InstanceStatus.Evacuated;
	}

	if (state.loadingDeadlineMs > nowMs) {
		return InstanceStatus.Loading;
	}

	if (state.livenessDeadlineMs <= nowMs) {
		return InstanceStatus.Silent;
	}

	if (state.backoffDeadlineMs > nowMs) {
		return InstanceStatus.BackingOff;
	}

	if (!canTakeRequests(state.health, own, nowMs)) {
		return InstanceStatus.Unhealthy;
	}

	if (limitedUntilMs > nowMs) {
		return InstanceStatus.Limited;
	}

	if (state.fullDeadlineMs > nowMs) {
		return InstanceStatus.Full;
	}

	return state.coldDeadlineMs > nowMs ? InstanceStatus.Cold : InstanceStatus.Ready;
}

/** Returns whether requests may be sent to an instance with this status; a full instance gets them only if no other accepts requests. */
export function canSendTo(status: InstanceStatus): boolean {
	return status === InstanceStatus.Ready || status === InstanceStatus.Cold || status === InstanceStatus.Full;
}
