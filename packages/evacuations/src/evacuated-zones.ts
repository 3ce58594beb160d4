import {isStringUpTo} from '@fescuestair/core';

/** Availability zones that are evacuated, in the order of their names. Immutable. */
export type EvacuatedZones = readonly string[];

export enum EvacuationStep {
	Begin = 'begin',
	Finish = 'finish',
}

export type EvacuationChange = {readonly step: EvacuationStep; readonly zone: string};

const maxZoneLength = 500;

/** Checks the name of an availability zone. */
export const isEvacuationZone = isStringUpTo(maxZoneLength);

/**
Applies one change of an operator. The latest change of a zone is in force, whoever made it: a zone is evacuated once, however many operators begin that, and the first finish ends it.
A change that is in force already returns the same set, so changes can be resent safely.

@example
```
applyEvacuationStep([], {step: EvacuationStep.Begin, zone: 'north'}); //=> ['north']
```
*/
export function applyEvacuationStep(zones: EvacuatedZones, {step, zone}: EvacuationChange): EvacuatedZones {
	if ((step === EvacuationStep.Begin) === zones.includes(zone)) {
		return zones;
	}

	return step === EvacuationStep.Begin ? [...zones, zone].toSorted() : zones.filter(other => other !== zone);
}

/** Decodes the evacuated zones of a snapshot. Snapshots of software that knows no evacuations hold none. */
export function decodeEvacuatedZones(data: EvacuatedZones | undefined): EvacuatedZones {
	return data ?? [];
}
