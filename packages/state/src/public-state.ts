import {ItemKind, type ConfigItem, type PresetItem} from './config-items.js';

/** The part of the state that every daemon holds. */
export type PublicState = {
	readonly version: number;
	/** By `kind/name`; the preset in force and quarantined fingerprints have keys of their own. */
	readonly items: ReadonlyMap<string, unknown>;
};

/** One step from a public version to the next. */
export type PublicChange = {
	readonly version: number;
	readonly upserts: ReadonlyArray<readonly [string, unknown]>;
	readonly removals: readonly string[];
};

/** Key of the name of the preset in force. */
export const inForceKey = 'in_force';
const quarantinePrefix = 'quarantine/';

/** Creates the public state of a new group. */
export function createPublicState(): PublicState {
	return {version: 0, items: new Map()};
}

/**
Applies a change if it is the next one; any other leaves the state as it is.

@example
```
const next = applyPublicChange(state, {version: state.version + 1, upserts: [['in_force', 'peak']], removals: []});
```
*/
export function applyPublicChange(state: PublicState, change: PublicChange): PublicState {
	if (change.version !== state.version + 1) {
		return state;
	}

	const items = new Map(state.items);

	for (const [key, value] of change.upserts) {
		items.set(key, value);
	}

	for (const key of change.removals) {
		items.delete(key);
	}

	return {version: change.version, items};
}

/** What leads on from a version that somebody holds. */
export type PublicNews = {
	readonly publicVersion: number;
	/** Absent where the changes kept no longer reach back to that version. */
	readonly changes: readonly PublicChange[] | undefined;
	/** The whole state, where it is newer and changes do not lead to it. */
	readonly items: ReadonlyArray<readonly [string, unknown]> | undefined;
};

/**
Lists what somebody lacks who holds a version.

@example
```
listPublicNews(state, recentChanges, 17).changes;
```
*/
export function listPublicNews({version, items}: PublicState, recentChanges: readonly PublicChange[], fromVersion: number): PublicNews {
	const wanted = recentChanges.filter(change => change.version > fromVersion);
	const changes = wanted.length === version - fromVersion ? wanted : undefined;

	return {publicVersion: version, changes, items: changes === undefined && version > fromVersion ? [...items] : undefined};
}

/**
Finds an item by kind and name.

@example
```
findItem(state, ItemKind.Model, 'assistant')?.weightVersion;
```
*/
export function findItem<Kind extends ItemKind>(state: PublicState, kind: Kind, name: string): Extract<ConfigItem, {kind: Kind}> | undefined {
	return state.items.get(`${kind}/${name}`) as Extract<ConfigItem, {kind: Kind}> | undefined;
}

/** Lists all items of a kind. */
export function listItems<Kind extends ItemKind>(state: PublicState, kind: Kind): ReadonlyArray<Extract<ConfigItem, {kind: Kind}>> {
	return [...state.items]
		.filter(([key]) => key.startsWith(`${kind}/`))
		.map(([, value]) => value as Extract<ConfigItem, {kind: Kind}>);
}

/** Gets the one preset in force; `undefined` before an operator has chosen the first. */
export function getPresetInForce(state: PublicState): PresetItem | undefined {
	const name = getInForceName(state);

	return name === undefined ? undefined : findItem(state, ItemKind.Preset, name);
}

/** Gets the name of the preset in force. */
export function getInForceName(state: PublicState): string | undefined {
	return state.items.get(inForceKey) as string | undefined;
}

/** Key under which a quarantined fingerprint spreads. */
export function getQuarantineKey(fingerprint: string): string {
	return `${quarantinePrefix}${fingerprint}`;
}

/** Tells whether a prompt's fingerprint is quarantined. */
export function isQuarantined(state: PublicState, fingerprint: string): boolean {
	return state.items.has(getQuarantineKey(fingerprint));
}
