import {createFinding, type Finding} from '@fescuestair/core';
import {
	ItemKind, RequestClass, type ConfigItem, type OrganisationItem, type PresetItem, type ServiceItem,
} from './config-items.js';
import {changeItems} from './public-state.js';

/** A key that two organisations hold, so that nothing tells whose its requests are. */
export type SharedKey = {readonly organisation: string; readonly other: string; readonly digest: string};

const msPerHour = 3_600_000;

/**
Lists the keys that more than one organisation holds; `other` is the organisation that comes first.

@example
```
listSharedKeys(items.values()); //=> [{organisation: 'rionegro', other: 'medellin', digest: '1111…'}]
```
*/
export function listSharedKeys(items: Iterable<ConfigItem>): readonly SharedKey[] {
	const owners = new Map<string, string>();
	const shared: SharedKey[] = [];

	for (const item of items) {
		for (const digest of item.kind === ItemKind.Organisation ? new Set(item.keyDigests) : []) {
			const other = owners.get(digest);

			if (other === undefined) {
				owners.set(digest, item.name);
			} else {
				shared.push({organisation: item.name, other, digest});
			}
		}
	}

	return shared;
}

/**
Finds why a change of items would make the configuration invalid; `undefined` where it would not.

@example
```
findInvalidItems(itemsInForce, {upserts: [['organisation/b', item]], removals: []}); //=> 'organisation/b shares a key with organisation/a'
```
*/
export function findInvalidItems(before: readonly ConfigItem[], change: {
	readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>; readonly removals: readonly string[];
}): string | undefined {
	const misnamed = change.upserts.find(([key, item]) => key !== getItemKey(item));

	if (misnamed !== undefined) {
		return `${misnamed[0]} holds ${getItemKey(misnamed[1])}`;
	}

	const items = changeItems(before.map(item => [getItemKey(item), item] as const), change);
	const [shared] = listSharedKeys(items.values());

	return shared && `${ItemKind.Organisation}/${shared.organisation} shares a key with ${ItemKind.Organisation}/${shared.other}`;
}

/** The key under which the configuration holds an item. */
export function getItemKey({kind, name}: ConfigItem): string {
	return `${kind}/${name}`;
}

/**
Finds what valid declarations say in vain or against themselves; each finding names the item as its place. They are accepted all the same.

@example
```
formatFindings(findItemWarnings(items)); //=> 'upstream_policy/b: only one policy applies, and upstream_policy/a comes first; leave one out'
```
*/
export function findItemWarnings(items: ReadonlyMap<string, ConfigItem>): readonly Finding[] {
	const all = [...items.values()];
	const policies = all.filter(item => item.kind === ItemKind.UpstreamPolicy);

	return [
		...(all.some(item => item.kind === ItemKind.Preset) ? [] : [createFinding(ItemKind.Preset, 'no preset is declared, so that none can be in force; declare one')]),
		...(all.some(item => item.kind === ItemKind.Organisation) ? [] : [createFinding(ItemKind.Organisation, 'no organisation is declared, so that no caller is served; declare one')]),
		...policies.slice(1).map(policy => createFinding(getItemKey(policy), `only one policy applies, and ${getItemKey(policies[0]!)} comes first; leave one out`)),
		...all.flatMap(item => listItemWarnings(item).map(message => createFinding(getItemKey(item), message))),
	];
}

function listItemWarnings(item: ConfigItem): readonly string[] {
	switch (item.kind) {
		case ItemKind.Preset: {
			return listPresetWarnings(item);
		}

		case ItemKind.Organisation: {
			return listOrganisationWarnings(item);
		}

		case ItemKind.Service: {
			return listServiceWarnings(item);
		}

		case ItemKind.Drain: {
			return ['a drain is set by the command of that name, and is not shown among the changes; leave it out'];
		}

		case ItemKind.Model:
		case ItemKind.UpstreamPolicy: {
			return [];
		}
	}
}

function listPresetWarnings({refuseFirst, reservedShortShare, weights}: PresetItem): readonly string[] {
	const ignored = refuseFirst.filter(requestClass => requestClass !== RequestClass.Long);

	return [
		...(ignored.length > 0 ? [`refuseFirst: only class "${RequestClass.Long}" can be refused first, and "${ignored.join('", "')}" changes nothing; leave it out`] : []),
		...(reservedShortShare === 1 ? ['reservedShortShare: leaves long prompts one slot of each engine at most; choose less than 1'] : []),
		...(Object.values(weights).every(weight => weight === 0) ? ['weights: all are 0, so that every engine costs the same; raise one'] : []),
	];
}

function listOrganisationWarnings({keyDigests}: OrganisationItem): readonly string[] {
	return new Set(keyDigests).size < keyDigests.length ? ['keyDigests: holds a key twice; leave one out'] : [];
}

function listServiceWarnings({repeatableMethods, timeoutMs, keyRetentionHours}: ServiceItem): readonly string[] {
	return [
		...(keyRetentionHours * msPerHour < timeoutMs
			? [`keyRetentionHours: a key is forgotten after ${Math.round(keyRetentionHours * msPerHour)} ms, before its call ends at ${timeoutMs} ms; keep it longer`]
			: []),
		...(new Set(repeatableMethods).size < repeatableMethods.length ? ['repeatableMethods: holds a method twice; leave one out'] : []),
	];
}
