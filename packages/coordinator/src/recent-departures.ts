import {type Clock} from '@fescuestair/core';
import {type InstanceRecord} from '@fescuestair/instances';

export type RecentDeparturesOptions = {
	readonly clock: Pick<Clock, 'readMonotonicMs'>;
	/** Time after which a departure counts no longer, so that one of an instance that drains for long is dealt with again. */
	readonly maxAgeMs?: number;
};

/** Remembers for which starts of instances something was done about their departure lately. */
export type RecentDepartures = {
	readonly record: (record: InstanceRecord) => void;
	readonly has: (record: InstanceRecord) => boolean;
	/** Forgets the instances that are no longer held. */
	readonly retain: (isHeld: (id: string) => boolean) => void;
};

/** The disks keep a departure for longer than this. */
const defaultMaxAgeMs = 30_000;

/**
Creates an empty set of recent departures.

@example
```
const saved = createRecentDepartures({clock});
saved.record(record);
saved.has(record); //=> true
```
*/
export function createRecentDepartures({clock, maxAgeMs = defaultMaxAgeMs}: RecentDeparturesOptions): RecentDepartures {
	const recorded = new Map<string, {readonly incarnation: number; readonly endMs: number}>();

	return {
		record({id, incarnation}) {
			recorded.set(id, {incarnation, endMs: clock.readMonotonicMs() + maxAgeMs});
		},
		has({id, incarnation}) {
			const known = recorded.get(id);

			return known?.incarnation === incarnation && clock.readMonotonicMs() < known.endMs;
		},
		retain(isHeld) {
			for (const id of recorded.keys()) {
				if (!isHeld(id)) {
					recorded.delete(id);
				}
			}
		},
	};
}
