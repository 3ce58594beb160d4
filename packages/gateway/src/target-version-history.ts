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
};

/** By model, when each version of the weights became the target version; oldest first. Immutable. */
export type TargetVersionHistory = ReadonlyMap<string, readonly TargetVersion[]>;

/** The first target that made a version outdated. */
export type NewerTarget = Pick<TargetVersion, 'version' | 'toldBy'> & {readonly ageMs: number};

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
const maxKeptVersions = 8;

/** Creates a history without target versions. */
export function createTargetVersionHistory(): TargetVersionHistory {
	return new Map();
}

/**
Records the target versions of the models; a version that is not newer than all recorded ones is ignored.

@example
```
const weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 0]], {nowMs});
```
*/
export function recordTargetVersions(weights: TargetVersionHistory, announced: AnnouncedTargets, {nowMs, toldBy}: {
	readonly nowMs: number; readonly toldBy?: string | undefined;
}): TargetVersionHistory {
	const next = new Map(weights);

	for (const [model, version, ageMs] of announced) {
		const versions = next.get(model) ?? [];

		if (versions.every(entry => entry.version < version)) {
			next.set(model, [...versions, {version, atMs: nowMs - ageMs, toldBy}].slice(-maxKeptVersions));
		}
	}

	return next;
}

type AnnouncedTargets = ReadonlyArray<readonly [model: string, version: number, ageMs: number]>;

export type WeightsQuery = {
	readonly model: string;
	/** `undefined` where the version is unknown. */
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

	if (newer.ageMs + startDelayMs >= oldWeightsMs * usablePeriodShare) {
		return WeightsUse.Barred;
	}

	return newer.ageMs >= lateAfterMs ? WeightsUse.Late : WeightsUse.Current;
}

/** Finds the first target that is newer than a version, with its age; `undefined` where none is. */
export function findNewerTarget(weights: TargetVersionHistory, {model, version, nowMs}: Pick<WeightsQuery, 'model' | 'version' | 'nowMs'>): NewerTarget | undefined {
	const newer = weights.get(model)?.find(entry => entry.version > (version ?? 0));

	return newer === undefined || (version === undefined && newer.version <= 1)
		? undefined
		: {version: newer.version, ageMs: nowMs - newer.atMs, toldBy: newer.toldBy};
}

/** Classifies the age of the first newer target for the metric. */
export function classifyOutdatedAge(ageMs: number, oldWeightsMs: number): OutdatedAge {
	if (ageMs >= oldWeightsMs) {
		return OutdatedAge.PastLimit;
	}

	return ageMs >= lateAfterMs ? OutdatedAge.WithinLimit : OutdatedAge.Moment;
}
