import {isDeepStrictEqual} from 'node:util';
import {type ConfigItem} from './config-items.js';

/** Changes that turn one set of items into another; `lines` describe them to an operator. */
export type ItemDiff = {
	readonly upserts: ReadonlyArray<readonly [string, ConfigItem]>;
	readonly removals: readonly string[];
	readonly lines: readonly string[];
};

/**
Computes the changes that turn the items in force into the declared ones.

@example
```
const {upserts, removals} = diffItems(inForce, declared);
```
*/
export function diffItems(before: ReadonlyMap<string, ConfigItem>, after: ReadonlyMap<string, ConfigItem>): ItemDiff {
	const upserts = [...after].filter(([key, item]) => !isDeepStrictEqual(before.get(key), item));
	const removals = [...before.keys()].filter(key => !after.has(key));
	const changed = upserts.flatMap(([key, item]) => formatChange(key, before.get(key), item));

	return {upserts, removals, lines: [...changed, ...removals.map(key => `- ${key}`)]};
}

/** Formats a diff with one line per change. */
export function formatDiff(diff: ItemDiff): string {
	return diff.lines.length === 0 ? 'no change' : diff.lines.join('\n');
}

function formatChange(key: string, before: ConfigItem | undefined, after: ConfigItem): string[] {
	if (before === undefined) {
		return [`+ ${key}`];
	}

	const oldValues = flatten(before);
	const newValues = flatten(after);
	const paths = [...new Set([...oldValues.keys(), ...newValues.keys()])].toSorted((a, b) => a < b ? -1 : 1);

	return paths
		.filter(path => oldValues.get(path) !== newValues.get(path))
		.map(path => `~ ${key} ${path}: ${oldValues.get(path) ?? 'unset'} -> ${newValues.get(path) ?? 'unset'}`);
}

function flatten(value: unknown, path = ''): Map<string, string> {
	if (typeof value !== 'object' || value === null) {
		return new Map([[path, JSON.stringify(value)]]);
	}

	return new Map(Object.entries(value).flatMap(([key, inner]) => [...flatten(inner, path === '' ? key : `${path}.${key}`)]));
}
