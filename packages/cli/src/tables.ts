/**
Formats rows as a table with aligned columns.

@example
```
formatTable(['name', 'role'], [['control-1', 'leader']]);
```
*/
export function formatTable(headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const allRows = [headers.map(header => header.toUpperCase()), ...rows];
	const widths = headers.map((_, column) => Math.max(...allRows.map(row => row[column]?.length ?? 0)));

	return allRows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
