import {Buffer} from 'node:buffer';
import test from 'ava';
import {RunFault} from '@fescuestair/streams';
import {createEventStreamSplitter} from '../../index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

test('complete events are returned in order for every chunk size', t => {
	for (let size = 1; size <= stream.length; size++) {
		const splitter = createEventStreamSplitter();
		let returned = '';

		for (let position = 0; position < stream.length; position += size) {
			const completeEvents = splitter.push(Buffer.from(stream.slice(position, position + size)));
			returned += completeEvents?.toString() ?? '';
			t.true(returned === '' || returned.endsWith('\n\n'));
		}

		t.is(returned, stream);
		t.is(splitter.getLastEventId(), '3');
		t.is(splitter.takePartialEvent(), undefined);
	}
});

test('an incomplete event is not returned, and is not joined to the continuation from another instance', t => {
	const ended = createEventStreamSplitter();
	ended.push(Buffer.from('id: 1\n\nid: 2'));
	t.is(ended.takePartialEvent()?.toString(), 'id: 2');
	const splitter = createEventStreamSplitter();
	t.is(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))?.toString(), 'id: 1\ndata: a\n\n');
	splitter.startRun('1');
	t.is(splitter.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString(), 'id: 2\ndata: b\n\n');
});

test('an endless event is detected before it exhausts the memory', t => {
	const splitter = createEventStreamSplitter();
	const bytes = Buffer.alloc(100_000, 'x');
	let pushed = 0;

	while (!splitter.isEventTooLarge() && pushed < 5_000_000) {
		t.is(splitter.push(bytes), undefined);
		pushed += bytes.length;
	}

	t.true(pushed <= 1_100_000);
	splitter.startRun(undefined);
	t.false(splitter.isEventTooLarge());
	t.is(splitter.push(Buffer.from('id: 1\n\n'))?.toString(), 'id: 1\n\n');
});

/** Counts the bytes that are searched, decoded or joined while a function runs. */
const countSeenBytes = (run: () => void): number => {
	const seen = {bytes: 0};
	const {concat} = Buffer;
	const {lastIndexOf, toString} = Buffer.prototype as Buffer;
	Object.assign(Buffer, {
		concat(list: readonly Uint8Array[]) {
			const joined = concat(list);
			seen.bytes += joined.length;

			return joined;
		},
	});
	Object.assign(Buffer.prototype as Buffer, {
		lastIndexOf(this: Buffer, text: string) {
			seen.bytes += this.length;

			return lastIndexOf.call(this, text, 'utf8');
		},
		toString(this: Buffer, encoding?: 'latin1') {
			seen.bytes += this.length;

			return toString.call(this, encoding);
		},
	});

	try {
		run();
	} finally {
		Object.assign(Buffer, {concat});
		Object.assign(Buffer.prototype as Buffer, {lastIndexOf, toString});
	}

	return seen.bytes;
};

// Guards against work that grows with the square of the number of chunks, for which a gateway stood still.
for (const [description, chunk] of [['an event', 'nonsense'], ['comments', ':c\n\n']] as const) {
	test.serial(`each byte of ${description} without end is looked at a bounded number of times, however small the chunks are`, t => {
		const splitter = createEventStreamSplitter().fork(undefined, {holdsComments: true});
		const chunks = 5000;
		const seenBytes = countSeenBytes(() => {
			for (let count = 0; count < chunks; count++) {
				splitter.push(Buffer.from(chunk));
			}
		});

		t.true(seenBytes < 20 * chunks * chunk.length, `${seenBytes} bytes were looked at`);
	});
}

const event = (id: number | string) => `id: ${id}\ndata: x\n\n`;

for (const [description, text, fault] of [
	['goes on', event(3) + event(4), undefined],
	['goes on after a gap', event(5), undefined],
	['goes on after a comment', `: heartbeat\n\n${event(3)}`, undefined],
	['sends only a comment', ': heartbeat\n\n', undefined],
	['starts over', event(1) + event(2) + event(3), RunFault.StartedOver],
	['goes back in its middle', event(3) + event(4) + event(2), RunFault.StartedOver],
	['repeats the last event', event(2) + event(3), RunFault.StoodStill],
	['repeats an event in its middle', event(3) + event(3), RunFault.StoodStill],
	['sends events whose ids have no order', event('a') + event('b'), RunFault.NoEventIds],
	['sends events without ids', `data: x\n\n${event(3)}`, RunFault.NoEventIds],
] as const) {
	test(`a run that continues a stream and ${description}`, t => {
		for (let size = 1; size <= text.length; size++) {
			const splitter = createEventStreamSplitter();
			splitter.startRun(undefined);
			splitter.push(Buffer.from(event(1) + event(2)));
			splitter.startRun('2');
			let returned = '';

			for (let position = 0; position < text.length; position += size) {
				returned += splitter.push(Buffer.from(text.slice(position, position + size)))?.toString() ?? '';
			}

			t.is(splitter.getEventFault(), fault);
			t.is(fault === undefined && splitter.hasRunEvents(), fault === undefined && returned.includes('id:'));
			// What was returned continues the stream, and the next run can follow it.
			const ids = [...returned.matchAll(/id: (?<id>\d+)/gv)].map(match => Number(match.groups!.id));
			t.true(ids.every((id, index) => id > (ids[index - 1] ?? 2)));
			t.is(splitter.getLastEventId(), String(ids.at(-1) ?? 2));
			// Comments are returned with the first event.
			t.is(fault === undefined && text.includes('id:') ? returned : text, text);
		}
	});
}

test('where another run could continue is unknown after events without ids that have an order', t => {
	for (const text of [event('a'), 'data: x\n\n', `${event(1)}data: x\n\n`, 'id: 1\r\ndata: x\r\n\r\ndata: y\r\n\r\n', 'id:\ndata: x\n\n']) {
		const splitter = createEventStreamSplitter();
		splitter.push(Buffer.from(text));
		t.is(splitter.getLastEventId(), undefined);
		splitter.push(Buffer.from(event(2)));
		t.is(splitter.getLastEventId(), '2');
		splitter.push(Buffer.from(': heartbeat\n\n'));
		t.is(splitter.getLastEventId(), '2');
		splitter.push(Buffer.from('data: z\n\n'));
		t.is(splitter.getLastEventId(), undefined);
	}
});

test('comments do not move the position in a stream, and do not make up a run that continues it', t => {
	const splitter = createEventStreamSplitter();
	splitter.startRun(undefined);
	splitter.push(Buffer.from(': heartbeat\n\n'));
	t.true(splitter.hasRunEvents());
	t.false(splitter.hasEvents());
	splitter.startRun(undefined);
	t.is(splitter.push(Buffer.from(': heartbeat\n\n')), undefined);
	t.false(splitter.hasRunEvents());
	t.false(splitter.isInsideEvent());
	t.is(splitter.push(Buffer.from(event(1)))?.toString(), `: heartbeat\n\n${event(1)}`);
	t.true(splitter.hasRunEvents());
	t.true(splitter.hasEvents());
});

test('endless comments of a run that continues a stream are detected before they exhaust the memory', t => {
	const splitter = createEventStreamSplitter();
	splitter.push(Buffer.from(event(1)));
	splitter.startRun('1');
	const comment = Buffer.from(`: ${'x'.repeat(100_000)}\n\n`);
	let pushed = 0;

	while (!splitter.isEventTooLarge() && pushed < 5_000_000) {
		t.is(splitter.push(comment), undefined);
		pushed += comment.length;
	}

	t.true(pushed <= 1_200_000);
});
