import {type Clock} from '@fescuestair/core';
import {unknownTargetAgeMs} from '@fescuestair/instances';
import {type PublishedState, type SetTargetVersionCommand, PublishKind} from './published-state.js';

/** How long ago the target versions of weights were set: never less than it really is, as far as this process can tell. */
export type TargetAges = {
	/** Records the targets that are in force now; returns those that were not known before. */
	readonly record: (state: Pick<PublishedState, 'targets'>) => ReadonlyArray<readonly [model: string, version: number]>;
	readonly getAgeMs: (model: string, version: number) => number;
	/** Whether a target is young enough that its age matters. */
	readonly hasYoung: (state: Pick<PublishedState, 'targets'>) => boolean;
	/** Lists the commands by which the leader records the ages, so that they outlive all processes. */
	readonly listDueRecords: (state: Pick<PublishedState, 'targets'>) => readonly SetTargetVersionCommand[];
};

export type TargetAgesOptions = {
	readonly clock: Clock;
	/** The latest time, on the monotonic clock, at which this replica knew all that was committed; `undefined` where it has not since its start. */
	readonly getCurrentAtMs: () => number | undefined;
};

/** The leader records an age once it has grown by this much. */
const recordIntervalMs = 1000;
/** Time from when a record is due until it is committed. */
const recordDelayMs = 500;
/** From this age on a target counts as one of unknown age. */
const maxRecordedAgeMs = 20_000;

/** What this process knows of when a target was set; times are on its monotonic clock. */
type KnownTarget = {
	/** It was set later; `undefined` where that is not known. */
	notBeforeMs: number | undefined;
	/** The age that was recorded last, and when that was applied here; `undefined` where older software set the target. */
	recorded: {readonly ageMs: number; readonly atMs: number} | undefined;
};

/**
Creates the ages, of no version yet. A target has been set since this replica was last current without it, if that is known. What it learns of in another way, as from its log after
a start, has at most the age that a leader recorded last, and the time until the next record would have followed.

@example
```
const ages = createTargetAges({clock, getCurrentAtMs: () => undefined});
ages.record(state);
ages.getAgeMs('guide', 2); //=> 60_000 as long as the replica is not current
```
*/
export function createTargetAges({clock, getCurrentAtMs}: TargetAgesOptions): TargetAges {
	/** By model and version. */
	const knownTargets = new Map<string, KnownTarget>();

	const isCurrentSince = (atMs: number) => (getCurrentAtMs() ?? Number.NEGATIVE_INFINITY) >= atMs;

	// A replica that is current after it has applied a record knows that no later one was committed before.
	const applyRecord = (known: KnownTarget) => {
		const {notBeforeMs, recorded} = known;

		if (recorded !== undefined && isCurrentSince(recorded.atMs)) {
			known.notBeforeMs = Math.max(notBeforeMs ?? Number.NEGATIVE_INFINITY, recorded.atMs - recorded.ageMs - recordIntervalMs - recordDelayMs);
		}
	};

	// The age is not known yet, but will be with the next confirmation.
	const isAgeAwaited = (model: string, version: number) => {
		const known = knownTargets.get(createKey(model, version));

		return known?.recorded !== undefined && known.notBeforeMs === undefined && !isCurrentSince(known.recorded.atMs);
	};

	const getAgeMs = (model: string, version: number) => {
		const known = knownTargets.get(createKey(model, version));

		if (known === undefined) {
			return unknownTargetAgeMs;
		}

		applyRecord(known);
		const {notBeforeMs, recorded} = known;

		if (notBeforeMs === undefined) {
			return unknownTargetAgeMs;
		}

		return clock.readMonotonicMs() - (recorded === undefined ? notBeforeMs : Math.min(notBeforeMs, recorded.atMs - recorded.ageMs));
	};

	return {
		record({targets}) {
			const nowMs = clock.readMonotonicMs();
			const added: Array<readonly [string, number]> = [];

			for (const [model, list] of targets) {
				for (const {version, ageMs} of list) {
					const key = createKey(model, version);
					const known = knownTargets.get(key) ?? {notBeforeMs: getCurrentAtMs(), recorded: undefined};

					if (!knownTargets.has(key)) {
						added.push([model, version]);
						knownTargets.set(key, known);
					}

					if (ageMs !== undefined && ageMs > (known.recorded?.ageMs ?? -1)) {
						applyRecord(known);
						known.recorded = {ageMs, atMs: nowMs};
					}
				}
			}

			return added;
		},
		getAgeMs,
		hasYoung: ({targets}) => [...targets].some(([model, list]) => list.some(({version}) => getAgeMs(model, version) < unknownTargetAgeMs)),
		listDueRecords: ({targets}) => [...targets].flatMap(([model, list]) => list.flatMap(({version, ageMs: recordedMs}) => {
			const ageMs = Math.floor(getAgeMs(model, version));
			const isFinal = recordedMs !== undefined && recordedMs >= unknownTargetAgeMs;
			const isDue = !isFinal && !isAgeAwaited(model, version) && ageMs >= (recordedMs ?? 0) + recordIntervalMs;

			return isDue
				? [{
					kind: PublishKind.SetTargetVersion as const, model, version, ageMs: ageMs >= maxRecordedAgeMs ? Math.max(ageMs, unknownTargetAgeMs) : ageMs,
				}]
				: [];
		})),
	};
}

function createKey(model: string, version: number): string {
	return `${version} ${model}`;
}
