import {isDeepStrictEqual} from 'node:util';
import {type ConfigItem} from './config-items.js';

/** What turns one set of items into another. */
export type ItemDiff = {
	readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>;
	readonly removals: readonly string[];
	readonly lines: readonly string[];
};

/**
Computes what turns the items in force into those declared.

@example
```
const {upserts, removals} = diffItems(inForce, declared);
```
*/
export function diffItems(before: ReadonlyMap<string, ConfigItem>, after: ReadonlyMap<string, ConfigItem>): ItemDiff {
	const upserts = [...after].filter(([key, item]) => !isDeepStrictEqual(before.get(key), item));
	const removals = [...before.keys()].filter(key => !after.has(key));
	const changed = upserts.flatMap(([key, item]) => describeChange(key, before.get(key), item));

	return {upserts, removals, lines: [...changed, ...removals.map(key => `- ${key}`)]};
}

/** Formats a diff, one line a change. */
export function formatDiff(diff: ItemDiff): string {
	return diff.lines.length === 0 ? 'no change' : diff.lines.join('\n');
}

function describeChange(key: string, before: ConfigItem | undefined, after: ConfigItem): string[] {
	if (before === undefined) {
		return [`+ ${key}`];
	}

	const old = flatten(before);
	const fresh = flatten(after);
	const paths = [...new Set([...old.keys(), ...fresh.keys()])].toSorted((a, b) => a < b ? -1 : 1);

	return paths
		.filter(path => old.get(path) !== fresh.get(path))
		.map(path => `~ ${key} ${path}: ${old.get(path) ?? 'unset'} -> ${fresh.get(path) ?? 'unset'}`);
}

function flatten(value: unknown, path = ''): Map<string, string> {
	if (typeof value !== 'object' || value === null) {
		return new Map([[path, JSON.stringify(value)]]);
	}

	return new Map(Object.entries(value).flatMap(([key, inner]) => [...flatten(inner, path === '' ? key : `${path}.${key}`)]));
}
