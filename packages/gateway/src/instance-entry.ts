import {InstanceStage, type HeldInstance} from '@fescuestair/instances';
import {
	createCachedParts, createInstanceLoad, createInstanceStanding, type AnnouncedStanding, type CachedParts, type InstanceLoad, type InstanceStanding,
	type PromptPart, type WorkEstimate,
} from '@fescuestair/routing';
import {UpstreamAgent} from './upstream-agent.js';

/** What was expected of a prompt as it was sent. */
export type VisitEstimate = WorkEstimate & {
	/** Nothing was to be read before it: its time tells the rate. */
	readonly wasIdle: boolean;
};

/** A request that is at an instance. */
export type Visit = {
	readonly startedAtMs: number;
	/** Prompt tokens that no cache was believed to hold. */
	readonly uncachedTokens: number;
	/** What reading them is expected to take; 0 for a plain call. */
	readonly workMs: number;
	/** Expected time to the first piece. */
	readonly expectedMs: number;
	readonly heldTokens: number;
	/** Longest time for which a sound instance says nothing. */
	readonly silenceMs: number;
	/** Ends the visit where it may go on elsewhere; the instance fell silent. */
	readonly onSilent: () => void;
};

/** What this daemon knows of one instance, and its connections there. */
export type InstanceEntry = {
	held: HeldInstance;
	load: InstanceLoad;
	standing: InstanceStanding;
	readonly agent: UpstreamAgent;
	/** Parts believed to be cached, by salt. */
	cached: {readonly salt: string; readonly parts: CachedParts} | undefined;
	readonly visits: Map<Visit, VisitEstimate | undefined>;
	/** Work added, and corrections made, since the other gateways were told. */
	untoldWorkMs: number;
	untoldCorrectionMs: number;
	/** When another gateway last told of work here. */
	peerWorkAtMs: number;
};

/** An instance counts as cold for no longer than this after its announcement, whatever it announced. */
const maxColdMs = 10_000;

/** Describes what the announcements of an instance say of its standing. */
export function describeAnnounced({record, heardAtMs, loadingDeadlineMs}: HeldInstance): AnnouncedStanding {
	return {
		incarnation: record.incarnation,
		isLeaving: record.stage !== InstanceStage.Ready,
		heardAtMs,
		loadingDeadlineMs,
		coldDeadlineMs: heardAtMs + Math.min(record.coldLeftMs, maxColdMs),
	};
}

/** Creates what is known of an instance that was just announced. */
export function createEntry(held: HeldInstance, maxConnections: number): InstanceEntry {
	return {
		held,
		load: createInstanceLoad(),
		standing: createInstanceStanding(describeAnnounced(held)),
		agent: new UpstreamAgent({maxConnections}),
		cached: undefined,
		visits: new Map(),
		untoldWorkMs: 0,
		untoldCorrectionMs: 0,
		peerWorkAtMs: Number.NEGATIVE_INFINITY,
	};
}

/** Notes the parts that an instance has read under a salt; those of another version of the weights are gone. */
export function recordCached(entry: InstanceEntry, parts: readonly PromptPart[], {salt, capacityTokens}: {readonly salt: string; readonly capacityTokens: number}): void {
	if (entry.cached?.salt !== salt) {
		entry.cached = {salt, parts: createCachedParts(capacityTokens)};
	}

	entry.cached.parts.add(parts);
}
