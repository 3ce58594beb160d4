import {unknownTargetAgeMs} from '@fescuestair/instances';

/** Whether new requests may begin on some version of a model's weights. */
export enum WeightsUse {
	/** No newer version has become the target, or only a moment ago. */
	Current = 'current',
	/** A newer version became the target some time ago: responses are worth less to callers. */
	Late = 'late',
	/** A newer version became the target too long ago: no request may begin. */
	Barred = 'barred',
}

export type TargetVersion = {
	readonly version: number;
	/** When it became the target, on this gateway's monotonic clock. */
	readonly atMs: number;
	/** Link address of the coordinator that told so; `undefined` where it was a push, which names none. */
	readonly toldBy: string | undefined;
	/** Whether the one that told so could know the age; where it could not, the version may have been the target for any time. */
	readonly isAgeKnown: boolean;
};

/** By model, when each version of the weights became the target version; oldest first. Immutable. */
export type TargetVersionHistory = ReadonlyMap<string, readonly TargetVersion[]>;

/** The first target that made a version outdated. */
export type NewerTarget = Pick<TargetVersion, 'version' | 'toldBy' | 'isAgeKnown'> & {readonly ageMs: number};

/** How old the first newer target was when a run began on older weights: the label of a metric. */
export enum OutdatedAge {
	Moment = 'a_moment',
	WithinLimit = 'within_limit',
	PastLimit = 'past_limit',
}

/** Time after a change of the target version from which responses on older weights are worth less to callers. */
const lateAfterMs = 1500;
/** Share of `oldWeightsMs` in which requests may still begin on older weights; the remainder covers requests in transit. */
const usablePeriodShare = 0.85;
/** Share of `oldWeightsMs` after which a run that has not begun is taken back; the remainder covers the time until its instance sees that. */
const latestStartShare = 0.95;
const maxKeptVersions = 8;
/** The version of weights that never changed. */
const firstVersion = 1;
/** Differences of ages below this come from the messages that tell them. */
const ageToleranceMs = 100;

/** Creates a history without target versions. */
export function createTargetVersionHistory(): TargetVersionHistory {
	return new Map();
}

/**
Records the target versions of the models. A target may be older than the one that told of it can know, never younger, so of several known ages the oldest counts.

@example
```
const weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 0]], {nowMs});
```
*/
export function recordTargetVersions(weights: TargetVersionHistory, announced: AnnouncedTargets, {nowMs, toldBy, isCurrent = true}: {
	readonly nowMs: number;
	readonly toldBy?: string | undefined;
	/** Whether the coordinator that tells the targets is current. */
	readonly isCurrent?: boolean;
}): TargetVersionHistory {
	const next = new Map(weights);

	for (const [model, version, ageMs] of announced) {
		const versions = next.get(model) ?? [];
		const known = versions.find(entry => entry.version === version);
		const told: TargetVersion = {
			version, atMs: nowMs - ageMs, toldBy, isAgeKnown: isCurrent || ageMs < unknownTargetAgeMs,
		};

		if (known === undefined || isBetter(told, known)) {
			next.set(model, [...versions.filter(entry => entry !== known), told].toSorted((a, b) => a.version - b.version).slice(-maxKeptVersions));
		}
	}

	return next;
}

function isBetter(told: TargetVersion, known: TargetVersion): boolean {
	return told.isAgeKnown && (!known.isAgeKnown || told.atMs < known.atMs - ageToleranceMs);
}

type AnnouncedTargets = ReadonlyArray<readonly [model: string, version: number, ageMs: number]>;

export type WeightsQuery = {
	readonly model: string;
	/** `undefined` where the version is unknown: it may be the first. */
	readonly version: number | undefined;
	readonly nowMs: number;
	readonly oldWeightsMs: number;
	/** Expected wait between sending the request and its start. */
	readonly startDelayMs?: number;
};

/**
Classifies a version by the time since the first newer one became the target. While new weights are rolled out and all instances are in use,
requests go to the instances that have the new weights as far as these have capacity, and to the others for a bounded time. Requests have to
begin within it, so the expected wait counts: a request that waits in an engine's queue past the bound begins too late.
*/
export function classifyWeights(weights: TargetVersionHistory, {model, version, nowMs, oldWeightsMs, startDelayMs = 0}: WeightsQuery): WeightsUse {
	const newer = findNewerTarget(weights, {model, version, nowMs});

	if (newer === undefined) {
		return WeightsUse.Current;
	}

	if (!newer.isAgeKnown || newer.ageMs + startDelayMs >= oldWeightsMs * usablePeriodShare) {
		return WeightsUse.Barred;
	}

	return newer.ageMs >= lateAfterMs ? WeightsUse.Late : WeightsUse.Current;
}

function findFirstNewer(weights: TargetVersionHistory, {model, version}: Pick<WeightsQuery, 'model' | 'version'>): TargetVersion | undefined {
	return weights.get(model)?.find(entry => entry.version > (version ?? firstVersion));
}

/** Finds the first target that is newer than a version, with its age; `undefined` where none is. */
export function findNewerTarget(weights: TargetVersionHistory, {model, version, nowMs}: Pick<WeightsQuery, 'model' | 'version' | 'nowMs'>): NewerTarget | undefined {
	const newer = findFirstNewer(weights, {model, version});

	return newer === undefined
		? undefined
		: {
			version: newer.version, ageMs: nowMs - newer.atMs, toldBy: newer.toldBy, isAgeKnown: newer.isAgeKnown,
		};
}

/**
Finds the time on the monotonic clock until which a request may begin on a version: a promise about the beginning, however early the request was sent. `undefined` while no
newer version is the target.
*/
export function findStartDeadlineMs(weights: TargetVersionHistory, {model, version, oldWeightsMs}: Pick<WeightsQuery, 'model' | 'version' | 'oldWeightsMs'>): number | undefined {
	const newer = findFirstNewer(weights, {model, version});

	if (newer === undefined) {
		return undefined;
	}

	return newer.isAgeKnown ? newer.atMs + (oldWeightsMs * latestStartShare) : Number.NEGATIVE_INFINITY;
}

/** Classifies the age of the first newer target for the metric. */
export function classifyOutdatedAge(ageMs: number, oldWeightsMs: number): OutdatedAge {
	if (ageMs >= oldWeightsMs) {
		return OutdatedAge.PastLimit;
	}

	return ageMs >= lateAfterMs ? OutdatedAge.WithinLimit : OutdatedAge.Moment;
}
