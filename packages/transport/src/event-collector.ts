import {Buffer} from 'node:buffer';
import {createByteCollector, type ByteCollector} from './byte-collector.js';

/** Cuts the bytes of a `text/event-stream` behind complete events. Each byte is searched once, however small the chunks are in which an event arrives. */
export type EventCollector = {
	/** Adds bytes; returns all up to the end of the last complete event, or `undefined` where none is complete. */
	readonly push: (bytes: Uint8Array) => Buffer | undefined;
	/** Whether what waits for the end of an event consists of blank lines only, or is empty. */
	readonly isBlank: () => boolean;
	/** Bytes that wait for the end of an event. */
	readonly countBytes: ByteCollector['countBytes'];
	readonly countMemoryBytes: ByteCollector['countMemoryBytes'];
	/** Returns and removes the bytes after the last complete event. */
	readonly takePartial: ByteCollector['take'];
};

/** Ends of events: an empty line behind another line. The carriage return of the line before belongs to that. */
export const eventDelimiters: readonly string[] = ['\n\n', '\n\r\n'];
/** Length of the longest delimiter of events. */
export const maxDelimiterBytes = 3;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/**
Creates a collector without bytes.

@example
```
const collector = createEventCollector();
collector.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); //=> the first event
collector.countBytes(); //=> 5
```
*/
export function createEventCollector(): EventCollector {
	const partial = createByteCollector();

	// A delimiter across the border of two chunks has at least one byte in each.
	const findLengthAcross = (bytes: Buffer): number => {
		const before = partial.peek().subarray(1 - maxDelimiterBytes);
		const border = Buffer.concat([before, bytes.subarray(0, maxDelimiterBytes - 1)]);

		return Math.max(0, findCompleteLength(border) - before.length);
	};

	return {
		push(chunk) {
			const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
			const completeLength = findCompleteLength(bytes) || findLengthAcross(bytes);

			if (completeLength === 0) {
				partial.push(bytes);

				return undefined;
			}

			let complete = bytes.subarray(0, completeLength);

			if (partial.countBytes() > 0) {
				partial.push(complete);
				complete = partial.take();
			}

			partial.push(bytes.subarray(completeLength));

			return complete;
		},
		// Blank lines after the last event begin no other one.
		isBlank: () => partial.peek().every(byte => byte === lineFeed || byte === carriageReturn),
		countBytes: partial.countBytes,
		countMemoryBytes: partial.countMemoryBytes,
		takePartial: partial.take,
	};
}

function findCompleteLength(bytes: Buffer): number {
	let end = 0;

	for (const delimiter of eventDelimiters) {
		const position = bytes.lastIndexOf(delimiter);
		end = position === -1 ? end : Math.max(end, position + delimiter.length);
	}

	return end;
}
