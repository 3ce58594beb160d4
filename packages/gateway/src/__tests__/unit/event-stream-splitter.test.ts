import {Buffer} from 'node:buffer';
import test from 'ava';
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
	splitter.discardPartialEvent();
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
	splitter.discardPartialEvent();
	t.false(splitter.isEventTooLarge());
	t.is(splitter.push(Buffer.from('id: 1\n\n'))?.toString(), 'id: 1\n\n');
});
