import {Buffer} from 'node:buffer';

/** Cuts a stream of events into whole ones, so that it can go on elsewhere after the last. */
export type EventCutter = {
	/** Takes bytes; gives those that complete events, or `undefined`. */
	readonly push: (bytes: Buffer) => Buffer | undefined;
	/** Whether the event that has begun is longer than any is taken to be: what comes is no stream of events. */
	readonly isTooLong: () => boolean;
	/** Id of the last whole event. */
	readonly getLastId: () => string | undefined;
	/** Drops what is not whole, as when the rest comes from elsewhere. */
	readonly reset: () => void;
	/** Takes the bytes after the last whole event, as when the stream ends there. */
	readonly takeRest: () => Buffer | undefined;
};

const boundaries = ['\n\n', '\r\n\r\n'];
const idField = 'id:';
/** Events hold a few tokens; one that is longer than this by far would fill the memory. */
const maxEventBytes = 1_000_000;

/**
Creates a cutter.

@example
```
const cutter = createEventCutter();
cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); //=> the first event
cutter.getLastId(); //=> '1'
```
*/
export function createEventCutter(): EventCutter {
	let rest: Buffer | undefined;
	/** The newest events with an id among them: it is read only where a stream goes on elsewhere. */
	let identified: Buffer | undefined;

	return {
		push(bytes) {
			const all = rest === undefined ? bytes : Buffer.concat([rest, bytes]);
			const end = findEnd(all);

			if (end === 0) {
				rest = all;

				return undefined;
			}

			const whole = all.subarray(0, end);
			rest = end === all.length ? undefined : all.subarray(end);
			identified = hasId(whole) ? whole : identified;

			return whole;
		},
		isTooLong: () => (rest?.length ?? 0) > maxEventBytes,
		getLastId: () => identified && findLastId(identified),
		reset() {
			rest = undefined;
		},
		takeRest() {
			const taken = rest;
			rest = undefined;

			return taken;
		},
	};
}

function findEnd(bytes: Buffer): number {
	let end = 0;

	for (const boundary of boundaries) {
		const position = bytes.lastIndexOf(boundary);
		end = position === -1 ? end : Math.max(end, position + boundary.length);
	}

	return end;
}

function hasId(events: Buffer): boolean {
	return events.includes(`\n${idField}`, 0, 'latin1') || events.subarray(0, idField.length).toString('latin1') === idField;
}

function findLastId(events: Buffer): string | undefined {
	const lines = events.toString('latin1').split('\n');
	const line = lines.findLast(one => one.startsWith(idField));

	return line?.slice(idField.length).trim();
}
