import {Buffer} from 'node:buffer';
import test from 'ava';
import {createEventCutter} from '../../index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

test('whole events are given in order however the bytes are cut', t => {
	for (let size = 1; size <= stream.length; size++) {
		const cutter = createEventCutter();
		let given = '';

		for (let position = 0; position < stream.length; position += size) {
			const whole = cutter.push(Buffer.from(stream.slice(position, position + size)));
			given += whole?.toString() ?? '';
			t.true(given === '' || given.endsWith('\n\n'));
		}

		t.is(given, stream);
		t.is(cutter.getLastId(), '3');
		t.is(cutter.takeRest(), undefined);
	}
});

test('an event that is cut short is not given, and what follows elsewhere is not joined to it', t => {
	const ended = createEventCutter();
	ended.push(Buffer.from('id: 1\n\nid: 2'));
	t.is(ended.takeRest()?.toString(), 'id: 2');
	const cutter = createEventCutter();
	t.is(cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))?.toString(), 'id: 1\ndata: a\n\n');
	cutter.reset();
	t.is(cutter.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString(), 'id: 2\ndata: b\n\n');
});

test('an event without end is found before it fills the memory', t => {
	const cutter = createEventCutter();
	const bytes = Buffer.alloc(100_000, 'x');
	let pushed = 0;

	while (!cutter.isTooLong() && pushed < 5_000_000) {
		t.is(cutter.push(bytes), undefined);
		pushed += bytes.length;
	}

	t.true(pushed <= 1_100_000);
	cutter.reset();
	t.false(cutter.isTooLong());
	t.is(cutter.push(Buffer.from('id: 1\n\n'))?.toString(), 'id: 1\n\n');
});
