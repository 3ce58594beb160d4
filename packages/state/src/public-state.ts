import {ItemKind, type ConfigItem, type PresetItem} from './config-items.js';

/** Part of the replicated state that is distributed to every daemon. */
export type PublicState = {
	readonly version: number;
	/** Items by `kind/name`. The name of the preset in force is at `in_force`, quarantined fingerprints are at `quarantine/FINGERPRINT`. */
	readonly items: ReadonlyMap<string, unknown>;
};

/** Change from one public version to the next. */
export type PublicChange = {
	readonly version: number;
	readonly upserts: ReadonlyArray<readonly [string, unknown]>;
	readonly removals: readonly string[];
};

/** Key of the item that holds the name of the preset in force. */
export const presetInForceKey = 'in_force';
const quarantinePrefix = 'quarantine/';
/** Key of the item that lists the traits of prompts that are held back. */
export const heldBackKey = 'held_back';
/** Key of the item that lists the traits of prompts of which answers are to be reported. */
export const crashSuspectsKey = 'crash_suspects';

/** Creates the public state of a new group. */
export function createPublicState(): PublicState {
	return {version: 0, items: new Map()};
}

/**
Applies a change if its version follows the current one. Returns the state unchanged for any other version.

@example
```
const next = applyPublicChange(state, {version: state.version + 1, upserts: [['in_force', 'peak']], removals: []});
```
*/
export function applyPublicChange(state: PublicState, change: PublicChange): PublicState {
	if (change.version !== state.version + 1) {
		return state;
	}

	return {version: change.version, items: changeItems(state.items, change)};
}

/** Applies the upserts, then the removals, of a change. */
export function changeItems<Item>(items: Iterable<readonly [string, Item]>, {upserts, removals}: {
	readonly upserts: ReadonlyArray<readonly [string, Item]>; readonly removals: readonly string[];
}): ReadonlyMap<string, Item> {
	const changed = new Map(items);

	for (const [key, item] of upserts) {
		changed.set(key, item);
	}

	for (const key of removals) {
		changed.delete(key);
	}

	return changed;
}

/** Update from an older version of the public state, as changes or as the full state. */
export type PublicStateUpdate = {
	readonly publicVersion: number;
	/** Changes since that version; absent where they do not all remain in `recentChanges`. */
	readonly changes: readonly PublicChange[] | undefined;
	/** Full state; set only where it is newer and `changes` is absent. */
	readonly items: ReadonlyArray<readonly [string, unknown]> | undefined;
};

/**
Creates the update for a daemon that holds `fromVersion`.

@example
```
createPublicStateUpdate(state, recentChanges, 17).changes;
```
*/
export function createPublicStateUpdate({version, items}: PublicState, recentChanges: readonly PublicChange[], fromVersion: number): PublicStateUpdate {
	const newerChanges = recentChanges.filter(change => change.version > fromVersion);
	const changes = newerChanges.length === version - fromVersion ? newerChanges : undefined;

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

/** Gets the preset in force; `undefined` until an operator has set one. */
export function getPresetInForce(state: PublicState): PresetItem | undefined {
	const name = getPresetInForceName(state);

	return name === undefined ? undefined : findItem(state, ItemKind.Preset, name);
}

/** Gets the name of the preset in force; `undefined` until an operator has set one. */
export function getPresetInForceName(state: PublicState): string | undefined {
	return state.items.get(presetInForceKey) as string | undefined;
}

/** Gets the item key of a quarantined fingerprint. */
export function getQuarantineKey(fingerprint: string): string {
	return `${quarantinePrefix}${fingerprint}`;
}

/** Finds the first of the traits of a prompt that is held back; `undefined` if the prompt may run. */
export function findHeldBackTrait({items}: PublicState, traits: readonly string[]): string | undefined {
	return traits.find(trait => ((items.get(heldBackKey) ?? []) as readonly string[]).includes(trait));
}

/** Checks whether answers to one of the traits are to be reported. */
export function hasCrashSuspect({items}: PublicState, traits: readonly string[]): boolean {
	return traits.some(trait => ((items.get(crashSuspectsKey) ?? []) as readonly string[]).includes(trait));
}

/** Checks whether the fingerprint of a prompt is quarantined. */
export function isQuarantined(state: PublicState, fingerprint: string): boolean {
	return state.items.has(getQuarantineKey(fingerprint));
}
