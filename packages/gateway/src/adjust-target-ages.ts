import {type PublishedSnapshot} from '@fescuestair/instances';

export type TargetAgesContext = {
	/** For how long what is told may have been under way. */
	readonly transitMs: number;
	/** Whether the coordinator that tells the ages is current. */
	readonly isCurrent: boolean;
	/** Time since this gateway knew all that had been accepted; `undefined` where it has not since its start. */
	readonly sinceKnownMs: number | undefined;
};

/**
Adjusts the ages of targets, as a coordinator tells them, to what this gateway knows. A target is as much older as the message was under way. One of unknown age, of which this gateway hears
for the first time, has been set since it last knew all that had been accepted.

@example
```
adjustTargetAges([['guide', 2, 60_000]], {transitMs: 0, isCurrent: false, sinceKnownMs: 1900}); //=> [['guide', 2, 1900]]
```
*/
export function adjustTargetAges(weights: PublishedSnapshot['weights'], {transitMs, isCurrent, sinceKnownMs}: TargetAgesContext): PublishedSnapshot['weights'] {
	const mostMs = isCurrent || sinceKnownMs === undefined ? Number.POSITIVE_INFINITY : sinceKnownMs;

	return weights.map(([model, version, ageMs]) => [model, version, Math.min(mostMs, ageMs + transitMs)]);
}
