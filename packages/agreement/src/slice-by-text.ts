import {type Entry} from './types.js';

/** Texts of the entries of one message: a few configurations of the largest size, far below the largest frame of a link. */
const maxTextPerAppend = 16_000_000;

/**
Slices off the first entries, as many as one message may hold, and one at least.

@example
```
const sent = sliceByText(sliceEntries(log, nextIndex, lastIndex));
```
*/
export function sliceByText(entries: readonly Entry[]): readonly Entry[] {
	let text = 0;
	const end = entries.findIndex((entry, position) => {
		text += countText(entry.payload);

		return position > 0 && text > maxTextPerAppend;
	});

	return end === -1 ? entries : entries.slice(0, end);
}

function countText(value: unknown): number {
	if (typeof value === 'string') {
		return value.length;
	}

	let sum = 0;

	for (const inner of typeof value === 'object' && value !== null && !ArrayBuffer.isView(value) ? Object.values(value) : []) {
		sum += countText(inner);
	}

	return sum;
}
