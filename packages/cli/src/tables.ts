/**
Formats rows as columns for people.

@example
```
formatTable(['name', 'role'], [['control-1', 'leader']]);
```
*/
export function formatTable(headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const all = [headers.map(header => header.toUpperCase()), ...rows];
	const widths = headers.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));

	return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
