/** One event of a `text/event-stream`. */
export type ServerSentEvent = {
	readonly id: string | undefined;
	readonly data: string;
};

/**
Creates a reader of server-sent events that takes text in pieces of any size. Events are given in order; a last one
without its closing blank line is not given, since it may be cut short.

@example
```
const read = createEventReader();
read('id: 1\ndata: {"a"'); //=> []
read(':1}\n\n'); //=> [{id: '1', data: '{"a":1}'}]
```
*/
export function createEventReader(): (text: string) => ServerSentEvent[] {
	let rest = '';

	return text => {
		const blocks = (rest + text).replaceAll('\r\n', '\n').split('\n\n');
		rest = blocks.pop() ?? '';

		return blocks.filter(block => block !== '').map(block => parseBlock(block));
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
