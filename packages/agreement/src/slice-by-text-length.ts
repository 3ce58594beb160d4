import {type Entry} from './types.js';

/** Maximum characters of text in the entries of one message: a few configurations of the largest size, far below the frame limit of a link. */
const maxTextLengthPerAppend = 16_000_000;

/**
Returns the first entries that fit into one message. The first one is always included, even if it alone exceeds the limit.

@example
```
const entries = sliceByTextLength(sliceEntries(log, nextIndex, lastIndex));
```
*/
export function sliceByTextLength(entries: readonly Entry[]): readonly Entry[] {
	let textLength = 0;
	const end = entries.findIndex((entry, position) => {
		textLength += sumTextLengths(entry.payload);

		return position > 0 && textLength > maxTextLengthPerAppend;
	});

	return end === -1 ? entries : entries.slice(0, end);
}

function sumTextLengths(value: unknown): number {
	if (typeof value === 'string') {
		return value.length;
	}

	let sum = 0;

	for (const nestedValue of typeof value === 'object' && value !== null && !ArrayBuffer.isView(value) ? Object.values(value) : []) {
		sum += sumTextLengths(nestedValue);
	}

	return sum;
}
