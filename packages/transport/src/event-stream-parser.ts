import {Buffer} from 'node:buffer';
import {createEventCollector} from './event-collector.js';

/** One event of a `text/event-stream`. */
export type ServerSentEvent = {
	readonly id: string | undefined;
	readonly data: string;
};

export type EventStreamParserOptions = {
	/** Called once an incomplete event has more than `maxEventBytes`; nothing is returned from then on. */
	readonly onEventTooLarge?: () => void;
	readonly maxEventBytes?: number;
};

const defaultMaxEventBytes = 1_000_000;

/**
Creates an incremental parser of server-sent events, which accepts chunks of any size. Events are returned in order. A last event
without its closing blank line is not returned, since it may be truncated.

@example
```
const parse = createEventStreamParser();
parse('id: 1\ndata: {"a"'); //=> []
parse(':1}\n\n'); //=> [{id: '1', data: '{"a":1}'}]
```
*/
export function createEventStreamParser({
	onEventTooLarge = () => undefined, maxEventBytes = defaultMaxEventBytes,
}: EventStreamParserOptions = {}): (chunk: Uint8Array | string) => ServerSentEvent[] {
	const collector = createEventCollector();
	let isTooLarge = false;

	return chunk => {
		if (isTooLarge) {
			return [];
		}

		const complete = collector.push(typeof chunk === 'string' ? Buffer.from(chunk) : chunk);

		if (collector.countBytes() > maxEventBytes) {
			isTooLarge = true;
			collector.takePartial();
			onEventTooLarge();
		}

		return complete === undefined ? [] : complete.toString('utf8').replaceAll('\r\n', '\n').split('\n\n').filter(block => block !== '').map(block => parseBlock(block));
	};
}

function parseBlock(block: string): ServerSentEvent {
	const data: string[] = [];
	let id: string | undefined;

	for (const line of block.split('\n')) {
		const colon = line.indexOf(':');
		const field = line.slice(0, colon);
		const value = line.slice(colon + 1).replace(/^ /v, '');

		if (field === 'data') {
			data.push(value);
		} else if (field === 'id') {
			id = value;
		}
	}

	return {id, data: data.join('\n')};
}
