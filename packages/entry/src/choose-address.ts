import {computeHash} from '@fescuestair/core';
import {type MemberRecord} from '@fescuestair/membership';

/**
Ranks entries for a caller: those of its availability zone first, each group in an order that differs between callers,
so that they spread.

@example
```
const [first] = rankEntries(records, {availabilityZone: 'okahandja', caller: '10.0.0.9'});
```
*/
export function rankEntries(records: readonly MemberRecord[], {availabilityZone, caller}: {availabilityZone: string; caller: string}): readonly MemberRecord[] {
	return records
		.map(record => ({record, isNear: record.availabilityZone === availabilityZone, weight: computeHash(`${caller}/${record.id}`)}))
		.toSorted((a, b) => Number(b.isNear) - Number(a.isNear) || (a.weight < b.weight ? -1 : 1))
		.map(entry => entry.record);
}

type ServiceChoice = {
	readonly availabilityZone: string;
	readonly countRunning: (id: string) => number;
	readonly excludedIds: ReadonlySet<string>;
};

/** Chooses the instance of a plain service with the fewest own calls in progress; the nearer one among equals. */
export function chooseServiceUpstream(records: readonly MemberRecord[], choice: ServiceChoice): MemberRecord | undefined {
	return records
		.filter(record => !choice.excludedIds.has(record.id))
		.map(record => ({record, running: choice.countRunning(record.id), isNear: record.availabilityZone === choice.availabilityZone}))
		.toSorted((a, b) => a.running - b.running || Number(b.isNear) - Number(a.isNear))
		.at(0)?.record;
}
