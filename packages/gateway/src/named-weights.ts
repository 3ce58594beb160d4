/** Whether new requests may begin on some version of a model's weights. */
export enum WeightsUse {
	/** The newest, or newer ones were named just now. */
	Current = 'current',
	/** Newer ones were named some time ago: answers are worth less. */
	Late = 'late',
	/** Newer ones were named too long ago. */
	Barred = 'barred',
}

/** When each version was named, on this daemon's clock, the oldest first; by model. Immutable. */
export type NamedWeights = ReadonlyMap<string, ReadonlyArray<{readonly version: number; readonly atMs: number}>>;

/** After this, answers on older weights are worth less to callers. */
const lateMs = 1500;
/** Part of the time for which older weights may be used that is used up: the rest covers what is on its way. */
const usedShare = 0.85;
const keptVersions = 8;

/** Creates the record of a daemon that was told of no weights. */
export function createNamedWeights(): NamedWeights {
	return new Map();
}

/**
Notes the weights that were named last.

@example
```
const weights = nameWeights(createNamedWeights(), [['guide', 2, 0]], nowMs);
```
*/
export function nameWeights(weights: NamedWeights, named: ReadonlyArray<readonly [model: string, version: number, ageMs: number]>, nowMs: number): NamedWeights {
	const next = new Map(weights);

	for (const [model, version, ageMs] of named) {
		const known = next.get(model) ?? [];

		if (known.every(one => one.version < version)) {
			next.set(model, [...known, {version, atMs: nowMs - ageMs}].slice(-keptVersions));
		}
	}

	return next;
}

export type WeightsQuestion = {
	readonly model: string;
	/** Absent where it is not known. */
	readonly version: number | undefined;
	readonly nowMs: number;
	readonly oldWeightsMs: number;
	/** How long after it is sent the request may still wait before it begins. */
	readonly startMs?: number;
};

/**
Judges a version: each is judged from the moment at which the first newer one was named. Answers the load pattern of new weights while
all instances are in use: requests go to those that have them as far as these can take them, and to the others for a bounded time, in which
they have to begin: a request that waits in an engine's queue past the bound begins too late.
*/
export function judgeWeights(weights: NamedWeights, {model, version, nowMs, oldWeightsMs, startMs = 0}: WeightsQuestion): WeightsUse {
	const newer = weights.get(model)?.find(one => one.version > (version ?? 0));

	if (newer === undefined || (version === undefined && newer.version <= 1)) {
		return WeightsUse.Current;
	}

	const agoMs = nowMs - newer.atMs;

	if (agoMs + startMs >= oldWeightsMs * usedShare) {
		return WeightsUse.Barred;
	}

	return agoMs >= lateMs ? WeightsUse.Late : WeightsUse.Current;
}
