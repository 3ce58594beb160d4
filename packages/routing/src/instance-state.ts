import {
	canTakeRequests, createInstanceHealth, recordHealthEvent, type HealthEvent, type InstanceHealth,
} from './instance-health.js';

/** How an instance stands with this daemon; the first of these that holds. */
export enum Standing {
	/** It finishes what it has and takes nothing new. */
	Leaving = 'leaving',
	/** It loads other weights. */
	Loading = 'loading',
	/** Neither announcements nor answers came lately. */
	Silent = 'silent',
	/** It asked to be sent nothing for some time. */
	Resting = 'resting',
	/** Its answers failed; it gets one request at a time, after a while. */
	Unhealthy = 'unsound',
	/** It turned a request away a moment ago. */
	Full = 'full',
	/** It takes requests, and is slow after its start. */
	Cold = 'cold',
	Ready = 'ready',
}

/** What this daemon knows of one instance, with its deadlines on this daemon's clock. Immutable. */
export type InstanceStanding = {
	/** Its start; what is known of another start says nothing of this one. */
	readonly incarnation: number;
	readonly isLeaving: boolean;
	readonly health: InstanceHealth;
	/** It is taken for lost from then on, unless it is heard again. */
	readonly livenessDeadlineMs: number;
	/** When bytes last came from it. */
	readonly answeredAtMs: number;
	readonly loadingDeadlineMs: number;
	readonly coldDeadlineMs: number;
	/** End of the rest that it asked for. */
	readonly restDeadlineMs: number;
	readonly fullDeadlineMs: number;
};

export enum StandingEventKind {
	Announced = 'announced',
	/** Bytes of an answer came. */
	Heard = 'heard',
	/** One of its answers says that it leaves. */
	LeavingHeard = 'leaving_heard',
	/** It turned a request away. */
	TurnedAway = 'turned_away',
	Judged = 'judged',
}

/** What its announcements say of an instance. */
export type AnnouncedStanding = {
	readonly incarnation: number;
	readonly isLeaving: boolean;
	/** When it made the newest announcement. */
	readonly heardAtMs: number;
	readonly loadingDeadlineMs: number;
	readonly coldDeadlineMs: number;
};

export type StandingEvent
	= | ({readonly kind: StandingEventKind.Announced} & AnnouncedStanding)
		| {readonly kind: StandingEventKind.Heard}
		| {readonly kind: StandingEventKind.LeavingHeard; readonly incarnation: number}
		/** With the rest that it asked for, in ms. */
		| {readonly kind: StandingEventKind.TurnedAway; readonly askedRestMs: number | undefined}
		| {readonly kind: StandingEventKind.Judged; readonly event: HealthEvent};

/** An instance that said nothing of itself for this long, and answered nothing either, is taken for lost: four announcements. */
const livenessTimeoutMs = 5500;
/** An instance that turned a request away is left alone for a moment: a place frees up about as often. */
const fullDurationMs = 150;
/** A longer rest than five minutes is taken for a fault: an instance would be lost for good by one wrong answer. */
const maxRequestedBackoffMs = 300_000;

/**
Creates the standing of an instance that announced itself.

@example
```
const standing = createInstanceStanding({incarnation: 1, isLeaving: false, heardAtMs: nowMs, loadingDeadlineMs: 0, coldDeadlineMs: 0});
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

/** Tells whether a rest that an instance asked for can be meant: one that ends, and not in the past. */
export function isProperRest(askedRestMs: number): boolean {
	return askedRestMs >= 0 && askedRestMs <= maxRequestedBackoffMs;
}

/**
Takes the next event of an instance. Answers the load pattern of instances that turn callers away while others are full too: what one asks
for binds until its end, and one that leaves is not asked again before it has started anew.

@example
```
standing = advanceStanding(standing, {kind: StandingEventKind.TurnedAway, askedRestMs: 2500}, nowMs);
classifyStanding(standing, {own: 0, nowMs}); //=> Standing.Resting
```
*/
export function advanceStanding(standing: InstanceStanding, event: StandingEvent, nowMs: number): InstanceStanding {
	switch (event.kind) {
		case StandingEventKind.Announced: {
			return applyAnnouncement(standing, event);
		}

		case StandingEventKind.Heard: {
			return {...standing, answeredAtMs: nowMs, livenessDeadlineMs: Math.max(standing.livenessDeadlineMs, nowMs + livenessTimeoutMs)};
		}

		case StandingEventKind.LeavingHeard: {
			return event.incarnation === standing.incarnation ? {...standing, isLeaving: true} : standing;
		}

		case StandingEventKind.TurnedAway: {
			const {askedRestMs} = event;

			return askedRestMs === undefined || !isProperRest(askedRestMs)
				? {...standing, fullDeadlineMs: nowMs + fullDurationMs}
				: {...standing, restDeadlineMs: Math.max(standing.restDeadlineMs, nowMs + askedRestMs)};
		}

		case StandingEventKind.Judged: {
			return {...standing, health: recordHealthEvent(standing.health, event.event, nowMs)};
		}
	}
}

function applyAnnouncement(standing: InstanceStanding, {heardAtMs, incarnation, isLeaving, loadingDeadlineMs, coldDeadlineMs}: AnnouncedStanding): InstanceStanding {
	if (incarnation !== standing.incarnation) {
		return createInstanceStanding({
			heardAtMs, incarnation, isLeaving, loadingDeadlineMs, coldDeadlineMs,
		});
	}

	return {
		...standing,
		isLeaving: standing.isLeaving || isLeaving,
		livenessDeadlineMs: Math.max(standing.livenessDeadlineMs, heardAtMs + livenessTimeoutMs),
		loadingDeadlineMs,
		coldDeadlineMs,
	};
}

/** Classifies an instance at which this daemon has `own` requests. */
export function classifyStanding(standing: InstanceStanding, {own, nowMs}: {readonly own: number; readonly nowMs: number}): Standing {
	if (standing.isLeaving) {
		return Standing.Leaving;
	}

	if (standing.loadingDeadlineMs > nowMs) {
		return Standing.Loading;
	}

	if (standing.livenessDeadlineMs <= nowMs) {
		return Standing.Silent;
	}

	if (standing.restDeadlineMs > nowMs) {
		return Standing.Resting;
	}

	if (!canTakeRequests(standing.health, own, nowMs)) {
		return Standing.Unhealthy;
	}

	if (standing.fullDeadlineMs > nowMs) {
		return Standing.Full;
	}

	return standing.coldDeadlineMs > nowMs ? Standing.Cold : Standing.Ready;
}

/** Tells whether requests may go to an instance of this standing; a full one takes them where no other does. */
export function canSendTo(standing: Standing): boolean {
	return standing === Standing.Ready || standing === Standing.Cold || standing === Standing.Full;
}
