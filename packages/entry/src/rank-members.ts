import {computeHash} from '@fescuestair/core';
import {type MemberRecord} from '@fescuestair/membership';

/**
Ranks entries for a caller: those of its availability zone first, and within each group by a hash of caller and entry, so that callers spread
over the entries.

@example
```
const [first] = rankEntries(records, {availabilityZone: 'okahandja', caller: '10.0.0.9'});
```
*/
export function rankEntries(records: readonly MemberRecord[], {availabilityZone, caller}: {availabilityZone: string; caller: string}): readonly MemberRecord[] {
	return records
		.map(record => ({record, isSameZone: record.availabilityZone === availabilityZone, callerHash: computeHash(`${caller}/${record.id}`)}))
		.toSorted((a, b) => Number(b.isSameZone) - Number(a.isSameZone) || (a.callerHash < b.callerHash ? -1 : 1))
		.map(ranked => ranked.record);
}

type ServiceInstanceOptions = {
	readonly availabilityZone: string;
	readonly countRunning: (id: string) => number;
	readonly excludedIds: ReadonlySet<string>;
};

/** Chooses the instance of a plain service with the fewest calls of this entry in progress; among equals, one in the same availability zone. */
export function chooseServiceInstance(records: readonly MemberRecord[], options: ServiceInstanceOptions): MemberRecord | undefined {
	return records
		.filter(record => !options.excludedIds.has(record.id))
		.map(record => ({record, running: options.countRunning(record.id), isSameZone: record.availabilityZone === options.availabilityZone}))
		.toSorted((a, b) => a.running - b.running || Number(b.isSameZone) - Number(a.isSameZone))
		.at(0)?.record;
}
