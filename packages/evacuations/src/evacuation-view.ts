import {type EvacuatedZones} from './evacuated-zones.js';

/** What one process knows of evacuations. Times are on its own monotonic clock. Immutable. */
export type EvacuationView = {
	readonly zones: ReadonlySet<string>;
	/** By zone, when this process learnt that its evacuation has ended. */
	readonly endedAtMs: ReadonlyMap<string, number>;
};

export type EvacuationDiff = {readonly begun: readonly string[]; readonly ended: readonly string[]};

/** How long it is kept when an evacuation ended: longer than any instance stays cold. */
const endRetentionMs = 60_000;

export function createEvacuationView(): EvacuationView {
	return {zones: new Set(), endedAtMs: new Map()};
}

/** Lists the zones whose evacuation begins or ends with a newer set, for the log. */
export function diffEvacuations({zones: known}: EvacuationView, zones: EvacuatedZones): EvacuationDiff {
	return {begun: zones.filter(zone => !known.has(zone)), ended: [...known].filter(zone => !zones.includes(zone))};
}

/**
Records the evacuated zones that a newer published state names. Without a list, as from software that knows no evacuations, nothing is said of them.

@example
```
view = recordEvacuatedZones(view, ['north'], clock.readMonotonicMs());
view.zones.has('north'); //=> true
```
*/
export function recordEvacuatedZones(view: EvacuationView, zones: EvacuatedZones | undefined, nowMs: number): EvacuationView {
	if (zones === undefined) {
		return view;
	}

	const endedAtMs = new Map([...view.endedAtMs].filter(([zone, atMs]) => !zones.includes(zone) && nowMs - atMs < endRetentionMs));

	for (const zone of diffEvacuations(view, zones).ended) {
		endedAtMs.set(zone, nowMs);
	}

	return {zones: new Set(zones), endedAtMs};
}

/**
Returns when the evacuation of a zone ended; `undefined` where none ended within the last minute. The instances of the zone may have become cold shortly before, so what they announced
earlier does not tell whether they are.

@example
```
getEvacuationEndedAtMs(view, 'north', nowMs);
```
*/
export function getEvacuationEndedAtMs({endedAtMs}: EvacuationView, zone: string, nowMs: number): number | undefined {
	const atMs = endedAtMs.get(zone);

	return atMs === undefined || nowMs - atMs >= endRetentionMs ? undefined : atMs;
}
