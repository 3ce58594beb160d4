import {type PublishedSnapshot} from '@fescuestair/instances';

export type TargetAgesContext = {
	/** For how long what is told may have been under way. */
	readonly transitMs: number;
	/** Whether the coordinator that tells the ages is current. */
	readonly isCurrent: boolean;
	/** Time since this gateway knew all that a current coordinator did; `undefined` where it has not since its start. */
	readonly sinceCurrentMs: number | undefined;
};

/** A coordinator counts as current for this long after it has heard the leader. */
export const coordinatorStalenessMs = 1500;

/**
Adjusts the ages of targets, as a coordinator tells them, to what this gateway knows. A target is as much older as the message was under way. One of unknown age, of which this gateway hears
for the first time, has been set since it last knew all that a current coordinator did.

@example
```
adjustTargetAges([['guide', 2, 60_000]], {transitMs: 0, isCurrent: false, sinceCurrentMs: 400}); //=> [['guide', 2, 1900]]
```
*/
export function adjustTargetAges(weights: PublishedSnapshot['weights'], {transitMs, isCurrent, sinceCurrentMs}: TargetAgesContext): PublishedSnapshot['weights'] {
	const mostMs = isCurrent || sinceCurrentMs === undefined ? Number.POSITIVE_INFINITY : sinceCurrentMs + coordinatorStalenessMs;

	return weights.map(([model, version, ageMs]) => [model, version, Math.min(mostMs, ageMs + transitMs)]);
}
