import {
	createFinding, formatFindings, formatIndented, type Finding,
} from '@fescuestair/core';
import {
	diffItems, findItemWarnings, formatDiff, getItemKey, ItemKind, parseDeclarations, type ConfigItem, type DeclarationFile, type ItemDiff,
} from '@fescuestair/state';

/** The configuration that declarations are compared with. */
export type OtherItems = {
	/** A file, a folder, or a configuration version. */
	readonly name: string;
	readonly items: readonly ConfigItem[];
	/** Absent where it comes from files. */
	readonly presetInForce?: string | undefined;
};

export type DeclarationCheck = {
	/** Whether control replicas would accept them. */
	readonly isValid: boolean;
	readonly errors: readonly Finding[];
	/** What they say in vain or against themselves. */
	readonly warnings: readonly Finding[];
	/** What differs; absent without something to compare with, and where a declaration can't be read. */
	readonly diff?: ItemDiff;
	readonly against?: string;
};

/**
Checks declarations as `config apply` and control replicas do before they accept them, and looks for what they accept though it cannot be meant.

@example
```
checkDeclarations([{path: 'presets.yaml', text}]).isValid; //=> true
```
*/
export function checkDeclarations(files: readonly DeclarationFile[], other?: OtherItems): DeclarationCheck {
	const {items, findings, places} = parseDeclarations(files);
	const isReadable = findings.length === 0;
	const errors = [...findings, ...(isReadable && other !== undefined ? findRemovedPreset(items, other) : [])];

	return {
		isValid: errors.length === 0,
		errors,
		warnings: isReadable ? findItemWarnings(items).map(finding => locate(finding, places)) : [],
		...(isReadable && other !== undefined && {diff: diffItems(listDeclared(other.items), items), against: other.name}),
	};
}

/** Formats the result of a check for a terminal. */
export function formatDeclarationCheck({isValid, errors, warnings, diff, against}: DeclarationCheck): string {
	return [
		isValid ? 'the declarations would be accepted' : `they would be refused:\n${formatIndented(formatFindings(errors))}`,
		...(warnings.length > 0 ? [`warnings:\n${formatIndented(formatFindings(warnings))}`] : []),
		...(diff === undefined ? [] : [diff.lines.length === 0 ? `nothing differs from ${against}` : `changes to ${against}:\n${formatIndented(formatDiff(diff))}`]),
	].join('\n');
}

/** Lists, by their keys, the items that files declare. Drains are set by a command of their own, and stay when declarations are applied. */
export function listDeclared(items: readonly ConfigItem[]): ReadonlyMap<string, ConfigItem> {
	return new Map(items.filter(({kind}) => kind !== ItemKind.Drain).map(item => [getItemKey(item), item]));
}

function findRemovedPreset(items: ReadonlyMap<string, ConfigItem>, {presetInForce}: OtherItems): readonly Finding[] {
	const key = `${ItemKind.Preset}/${presetInForce}`;

	return presetInForce === undefined || items.has(key) ? [] : [createFinding(key, 'is in force and cannot be removed; declare it, or put another one in force first')];
}

function locate({place, message}: Finding, places: ReadonlyMap<string, string>): Finding {
	const file = places.get(place);

	return createFinding(file === undefined ? place : `${file}: ${place}`, message);
}
