import {
	isMap, LineCounter, parseAllDocuments, type Document, type ParsedNode,
} from 'yaml';
import {type z} from 'zod';
import {createFinding, type Finding} from '@fescuestair/core';
import {getItemKey, listSharedKeys} from './check-items.js';
import {itemSchemas, ItemKind, type ConfigItem} from './config-items.js';

/** A declaration file and its content. */
export type DeclarationFile = {
	readonly path: string;
	readonly text: string;
};

/** All valid items of the files, and all findings. */
export type Declarations = {
	readonly items: ReadonlyMap<string, ConfigItem>;
	readonly findings: readonly Finding[];
	/** File and line of each item. */
	readonly places: ReadonlyMap<string, string>;
};

type ParsedDocument = Document.Parsed;

type SourceFile = {readonly path: string; readonly lines: LineCounter};

/**
Parses declarations (YAML or JSON, several documents per file). All findings are collected, each with its file and line.

@example
```
const {items, findings} = parseDeclarations([{path: 'presets.yaml', text}]);
```
*/
export function parseDeclarations(files: readonly DeclarationFile[]): Declarations {
	const items = new Map<string, ConfigItem>();
	const findings: Finding[] = [];
	const locationsByKey = new Map<string, string>();

	for (const file of files) {
		const lines = new LineCounter();

		for (const document of parseAllDocuments(file.text, {lineCounter: lines}) as ParsedDocument[]) {
			const parsed = parseItem(document, {path: file.path, lines});
			findings.push(...parsed.findings);

			if (parsed.item === undefined) {
				continue;
			}

			const key = getItemKey(parsed.item);
			const earlierLocation = locationsByKey.get(key);

			if (earlierLocation !== undefined) {
				findings.push(createFinding(parsed.place, `${key} is already declared at ${earlierLocation}`));
			}

			locationsByKey.set(key, parsed.place);
			items.set(key, parsed.item);
		}
	}

	for (const {organisation, other} of listSharedKeys(items.values())) {
		const [place, otherPlace] = [organisation, other].map(name => locationsByKey.get(`${ItemKind.Organisation}/${name}`)!);
		findings.push(createFinding(place!, `${ItemKind.Organisation}/${organisation} shares a key with ${ItemKind.Organisation}/${other}, declared at ${otherPlace}`));
	}

	return {items, findings, places: locationsByKey};
}

type ParsedItem = {readonly item: ConfigItem | undefined; readonly place: string; readonly findings: readonly Finding[]};

function parseItem(document: ParsedDocument, sourceFile: SourceFile): ParsedItem {
	const startLocation = formatLocation(sourceFile, document.contents?.range[0] ?? 0);

	if (document.errors.length > 0) {
		const findings = document.errors.map(error => createFinding(formatLocation(sourceFile, error.pos[0]), error.message.split('\n', 1)[0]!));

		return {item: undefined, place: startLocation, findings};
	}

	if (!isMap(document.contents)) {
		return {item: undefined, place: startLocation, findings: document.contents === null ? [] : [createFinding(startLocation, 'a declaration must be a map')]};
	}

	const value = document.toJS() as Record<string, unknown>;
	const kind = Object.values(ItemKind).find(candidate => candidate === value.kind);

	if (kind === undefined) {
		const message = `kind must be one of ${Object.values(ItemKind).join(', ')}`;

		return {item: undefined, place: startLocation, findings: [createFinding(formatDeepestLocation(document, ['kind'], sourceFile), message)]};
	}

	const result = itemSchemas[kind].safeParse(value);

	if (!result.success) {
		const findings = result.error.issues.map(issue => createIssueFinding(issue, document, sourceFile));

		return {item: undefined, place: startLocation, findings};
	}

	return {item: result.data, place: startLocation, findings: []};
}

function createIssueFinding(issue: z.core.$ZodIssue, document: ParsedDocument, sourceFile: SourceFile): Finding {
	const keys = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]!] : issue.path;

	return createFinding(formatDeepestLocation(document, keys, sourceFile), `${keys.map(String).join('.')}: ${issue.message}`);
}

// Returns the location of the deepest node of the path that is present in the file.
function formatDeepestLocation(document: ParsedDocument, path: readonly PropertyKey[], sourceFile: SourceFile): string {
	for (let {length} = path; length > 0; length--) {
		const node = document.getIn(path.slice(0, length), true) as ParsedNode | undefined;

		if (node?.range) {
			return formatLocation(sourceFile, node.range[0]);
		}
	}

	return formatLocation(sourceFile, document.contents?.range[0] ?? 0);
}

function formatLocation({path, lines}: SourceFile, offset: number): string {
	return `${path}:${Math.max(1, lines.linePos(offset).line)}`;
}
