import {
	isMap, LineCounter, parseAllDocuments, type Document, type ParsedNode,
} from 'yaml';
import {type z} from 'zod';
import {createFinding, type Finding} from '@fescuestair/core';
import {itemSchemas, ItemKind, type ConfigItem} from './config-items.js';

/** A file of declarations, as read. */
export type DeclarationFile = {
	readonly path: string;
	readonly text: string;
};

/** All items declared, and all that is wrong with them. */
export type Declarations = {
	readonly items: ReadonlyMap<string, ConfigItem>;
	readonly findings: readonly Finding[];
};

type ParsedDocument = Document.Parsed;

type Place = {readonly path: string; readonly lines: LineCounter};

/**
Parses declarations (YAML or JSON, several documents a file) and collects every finding with its file and line.

@example
```
const {items, findings} = parseDeclarations([{path: 'presets.yaml', text}]);
```
*/
export function parseDeclarations(files: readonly DeclarationFile[]): Declarations {
	const items = new Map<string, ConfigItem>();
	const findings: Finding[] = [];
	const places = new Map<string, string>();

	for (const file of files) {
		const lines = new LineCounter();

		for (const document of parseAllDocuments(file.text, {lineCounter: lines}) as ParsedDocument[]) {
			const parsed = parseItem(document, {path: file.path, lines});
			findings.push(...parsed.findings);

			if (parsed.item === undefined) {
				continue;
			}

			const key = `${parsed.item.kind}/${parsed.item.name}`;
			const earlier = places.get(key);

			if (earlier !== undefined) {
				findings.push(createFinding(parsed.place, `${key} is already declared at ${earlier}`));
			}

			places.set(key, parsed.place);
			items.set(key, parsed.item);
		}
	}

	return {items, findings};
}

type ParsedItem = {readonly item: ConfigItem | undefined; readonly place: string; readonly findings: readonly Finding[]};

function parseItem(document: ParsedDocument, place: Place): ParsedItem {
	const start = formatPlace(place, document.contents?.range[0] ?? 0);

	if (document.errors.length > 0) {
		const findings = document.errors.map(error => createFinding(formatPlace(place, error.pos[0]), error.message.split('\n', 1)[0]!));

		return {item: undefined, place: start, findings};
	}

	if (!isMap(document.contents)) {
		return {item: undefined, place: start, findings: document.contents === null ? [] : [createFinding(start, 'a declaration must be a map')]};
	}

	const value = document.toJS() as Record<string, unknown>;
	const kind = Object.values(ItemKind).find(one => one === value.kind);

	if (kind === undefined) {
		const message = `kind must be one of ${Object.values(ItemKind).join(', ')}`;

		return {item: undefined, place: start, findings: [createFinding(locate(document, ['kind'], place), message)]};
	}

	const result = itemSchemas[kind].safeParse(value);

	if (!result.success) {
		const findings = result.error.issues.map(issue => describeIssue(issue, document, place));

		return {item: undefined, place: start, findings};
	}

	return {item: result.data, place: start, findings: []};
}

function describeIssue(issue: z.core.$ZodIssue, document: ParsedDocument, place: Place): Finding {
	const keys = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]!] : issue.path;

	return createFinding(locate(document, keys, place), `${keys.map(String).join('.')}: ${issue.message}`);
}

// The deepest part of the path that stands in the file.
function locate(document: ParsedDocument, path: readonly PropertyKey[], place: Place): string {
	for (let {length} = path; length > 0; length--) {
		const node = document.getIn(path.slice(0, length), true) as ParsedNode | undefined;

		if (node?.range) {
			return formatPlace(place, node.range[0]);
		}
	}

	return formatPlace(place, document.contents?.range[0] ?? 0);
}

function formatPlace({path, lines}: Place, offset: number): string {
	return `${path}:${Math.max(1, lines.linePos(offset).line)}`;
}
