/** When traits of requests were last answered, and what of it was reported. Bounded. */
export type AnswerTimes = {
	/** Records an answer that began at a time. */
	readonly record: (traits: readonly string[], beganAtMs: number) => void;
	/** Returns the latest answers to traits that were not reported yet, each at most once in a while. */
	readonly takeUnreported: (traits: Iterable<string>, nowMs: number) => ReadonlyArray<{readonly trait: string; readonly atMs: number}>;
};

const maxTraits = 5000;
/** Answers to one trait are reported at most once in this time; the next list of suspected traits asks for the latest one. */
const reportIntervalMs = 100;
/** A trait that is still suspected after this time is reported again: the report may have been lost. */
const repeatIntervalMs = 3000;

/**
Creates an empty record of answers.

@example
```
const answers = createAnswerTimes();
answers.record(['part m a'], 40);
answers.takeUnreported(['part m a'], 50); //=> [{trait: 'part m a', atMs: 40}]
```
*/
export function createAnswerTimes(): AnswerTimes {
	const times = new Map<string, {readonly beganAtMs: number; readonly reportedAtMs: number; readonly isReported: boolean}>();

	return {
		record(traits, beganAtMs) {
			for (const trait of traits) {
				const known = times.get(trait);
				// The newest stand last, so that the oldest are dropped.
				times.delete(trait);
				times.set(trait, known !== undefined && known.beganAtMs >= beganAtMs ? known : {beganAtMs, reportedAtMs: known?.reportedAtMs ?? Number.NEGATIVE_INFINITY, isReported: false});
			}

			while (times.size > maxTraits) {
				times.delete(times.keys().next().value!);
			}
		},
		takeUnreported(traits, nowMs) {
			const unreported: Array<{readonly trait: string; readonly atMs: number}> = [];

			for (const trait of traits) {
				const known = times.get(trait);

				if (known !== undefined && nowMs - known.reportedAtMs >= (known.isReported ? repeatIntervalMs : reportIntervalMs)) {
					times.set(trait, {...known, reportedAtMs: nowMs, isReported: true});
					unreported.push({trait, atMs: known.beganAtMs});
				}
			}

			return unreported;
		},
	};
}
