import {isLeaving, type RegisteredInstance} from '@fescuestair/instances';
import {
	createCachedParts, createInstanceLoad, createInstanceState, type AnnouncedState, type CachedParts, type InstanceLoad, type InstanceState, noPauses, type Pauses,
	type PromptPart, type WorkEstimate,
} from '@fescuestair/routing';
import {UpstreamAgent} from './upstream-agent.js';

/** The work estimate of a prompt at the time that it was sent. */
export type InFlightEstimate = WorkEstimate & {
	/** The instance had no queued work, so the time to the first piece gives a sample of the prefill rate. */
	readonly wasIdle: boolean;
};

/** A request that was sent to an instance and has not ended. */
export type InFlightRequest = {
	readonly startedAtMs: number;
	/** Prompt tokens that were assumed to be in no cache. */
	readonly uncachedTokens: number;
	/** Estimated prefill time of these tokens; 0 for a plain call. */
	readonly workMs: number;
	/** Expected time to the first piece. */
	readonly expectedMs: number;
	/** Whether it finds out if an instance that was left out is as slow as it was. */
	readonly isRevisit?: boolean | undefined;
	/** Prompt tokens and maximum output tokens, which occupy memory of the instance until the request ends; 0 without a prompt. */
	readonly heldTokens: number;
	/** Time without bytes after which the instance counts as silent. */
	readonly silenceTimeoutMs: number;
	/** Since when this gateway reads what the instance sends; `undefined` while it does not, since the caller is slow to read. */
	readonly getReadingSinceMs: () => number | undefined;
	/** Called repeatedly while the instance is silent. */
	readonly onSilence: () => void;
};

/** State that this gateway keeps for one instance, and its connections to it. */
export type PooledInstance = {
	held: RegisteredInstance;
	load: InstanceLoad;
	standing: InstanceState;
	pauses: Pauses;
	readonly agent: UpstreamAgent;
	/** Prompt parts that are assumed to be cached there, under the salt last used. */
	cached: {readonly salt: string; readonly parts: CachedParts} | undefined;
	readonly inFlight: Map<InFlightRequest, InFlightEstimate | undefined>;
	/** Requests in flight that its latest silence has been counted for. */
	readonly silentRequests: Set<InFlightRequest>;
	/** Work added, and corrections made, since the last message to the other gateways. */
	unsentWorkMs: number;
	unsentCorrectionMs: number;
	/** Pace that the instance told since the last message, where the other gateways have to know it. */
	unsentPace: number | undefined;
	/** When another gateway last reported work at this instance. */
	lastPeerWorkAtMs: number;
};

/** Upper bound on how long an instance counts as cold after its announcement, whatever it announced. */
const maxColdMs = 10_000;

/** Derives the announced part of an instance's state from its registry record. */
export function describeAnnouncedStanding({record, heardAtMs, loadingDeadlineMs}: RegisteredInstance): AnnouncedState {
	return {
		incarnation: record.incarnation,
		isLeaving: isLeaving(record),
		heardAtMs,
		loadingDeadlineMs,
		coldDeadlineMs: heardAtMs + Math.min(record.coldLeftMs ?? 0, maxColdMs),
	};
}

/** Creates the state of an instance that was just announced. */
export function createPooledInstance(held: RegisteredInstance, maxConnections: number): PooledInstance {
	return {
		held,
		load: createInstanceLoad(),
		standing: createInstanceState(describeAnnouncedStanding(held)),
		pauses: noPauses,
		agent: new UpstreamAgent({maxConnections}),
		cached: undefined,
		inFlight: new Map(),
		silentRequests: new Set(),
		unsentWorkMs: 0,
		unsentCorrectionMs: 0,
		unsentPace: undefined,
		lastPeerWorkAtMs: Number.NEGATIVE_INFINITY,
	};
}

/**
Records the parts that an instance has processed under a salt. Parts under another salt are dropped; the salt changes with the version of the
weights, and for the prompts of an isolated organisation.
*/
export function recordCachedParts(instance: PooledInstance, parts: readonly PromptPart[], {salt, capacityTokens}: {readonly salt: string; readonly capacityTokens: number}): void {
	if (instance.cached?.salt !== salt) {
		instance.cached = {salt, parts: createCachedParts(capacityTokens)};
	}

	instance.cached.parts.add(parts);
}
