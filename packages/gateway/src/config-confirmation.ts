import {type Logger} from '@fescuestair/runtime';

/** Who last told this gateway that it holds the newest configuration, and for which moment that was true. */
export type ConfigConfirmation = {
	readonly version: number;
	/** Link address of the coordinator. */
	readonly toldBy: string;
	/** The latest time, on this gateway's monotonic clock, for which it is known that no later version had been accepted. */
	readonly knownAtMs: number;
};

/** A confirmation that is older than this is logged when the next one arrives. */
const longGapMs = 2000;

/**
Records a confirmation unless a later one is known, and logs what tells how the gateway came by it: the first one, one of another version, and one after a gap.

@example
```
const next = recordConfirmation(undefined, {version: 7, toldBy: '10.0.0.1:7200', knownAtMs: 1200}, {nowMs: 1250, log});
```
*/
export function recordConfirmation(previous: ConfigConfirmation | undefined, next: ConfigConfirmation, {nowMs, log}: {
	readonly nowMs: number; readonly log: Pick<Logger, 'info'>;
}): ConfigConfirmation {
	if (previous !== undefined && next.knownAtMs <= previous.knownAtMs && next.version === previous.version) {
		return previous;
	}

	const gapMs = previous === undefined ? undefined : Math.round(next.knownAtMs - previous.knownAtMs);

	if (previous?.version !== next.version || gapMs! >= longGapMs) {
		log.info('configuration confirmed', {
			version: next.version, toldBy: next.toldBy, ageMs: Math.round(nowMs - next.knownAtMs), gapMs, before: previous?.version,
		});
	}

	return {...next, knownAtMs: Math.max(next.knownAtMs, previous?.knownAtMs ?? Number.NEGATIVE_INFINITY)};
}

/** Describes a confirmation for the log line of a request that is refused by the configuration. */
export function describeConfirmation(confirmation: ConfigConfirmation | undefined, nowMs: number): Readonly<Record<string, unknown>> {
	return confirmation === undefined
		? {confirmedVersion: 'none'}
		: {confirmedVersion: confirmation.version, confirmedBy: confirmation.toldBy, confirmedAgeMs: Math.round(nowMs - confirmation.knownAtMs)};
}
