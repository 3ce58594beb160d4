import {
	decodeQuarantine, mergeQuarantines, type Quarantine, type QuarantineMessage,
} from '@fescuestair/crashes';

/** What coordinators said last is to be held back, by link address. Immutable. */
export type HeardQuarantines = ReadonlyMap<string, HeardQuarantine>;

type HeardQuarantine = {
	readonly quarantine: Quarantine;
	readonly heardAtMs: number;
	/** When this gateway last repeated its reports to the coordinator. */
	readonly repeatedAtMs: number;
};

/** A list of a coordinator that was not heard for this long is dropped once another one has named a later list. */
const listAgeMs = 3000;
/** A coordinator that has collected evidence for less than this has restarted, and may lack what it knew before. */
const learningMs = 4000;
/** Reports are repeated to such a coordinator at most once in this time. */
const repeatIntervalMs = 1000;

/**
Adds what a coordinator says. One that has just restarted cannot end a quarantine that it named before; `shouldRepeat` tells whether the reports of
this gateway should be repeated to it.

@example
```
const {heard, shouldRepeat} = recordHeardQuarantine(new Map(), {from: '10.0.0.1:7700', message, nowMs});
```
*/
export function recordHeardQuarantine(before: HeardQuarantines, {from, message, nowMs}: {readonly from: string; readonly message: QuarantineMessage; readonly nowMs: number}): {
	readonly heard: HeardQuarantines;
	readonly shouldRepeat: boolean;
} {
	const known = before.get(from);
	const told = decodeQuarantine(message, nowMs);
	const isLearning = message.collectedForMs < learningMs;
	const repeatedAtMs = known?.repeatedAtMs ?? Number.NEGATIVE_INFINITY;
	const shouldRepeat = isLearning && nowMs - repeatedAtMs >= repeatIntervalMs;
	const heard = new Map([...before].filter(([, {heardAtMs}]) => nowMs - heardAtMs < listAgeMs));
	heard.set(from, {
		quarantine: isLearning && known !== undefined ? mergeQuarantines([known.quarantine, told]) : told, heardAtMs: nowMs, repeatedAtMs: shouldRepeat ? nowMs : repeatedAtMs,
	});

	return {heard, shouldRepeat};
}
