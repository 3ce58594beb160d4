import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {createEventCollector} from '../../index.js';

const stream = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\r\n\nid: 3\ndata: c\r\n\ndata: cut';

test('events are cut in the same places however the bytes are split into chunks', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: stream.length - 1}), {maxLength: 20}), cuts => {
			const collector = createEventCollector();
			const ends = [...new Set(cuts), stream.length].toSorted((a, b) => a - b);
			let complete = '';

			for (const [index, end] of ends.entries()) {
				const returned = collector.push(Buffer.from(stream.slice(ends[index - 1] ?? 0, end)))?.toString() ?? '';
				complete += returned;

				if (returned !== '' && !/\n\r?\n$/v.test(returned)) {
					return false;
				}
			}

			return complete + collector.takePartial().toString() === stream && complete === stream.slice(0, -'data: cut'.length);
		}), {seed: 53});
	});
});

test('blank lines behind an event begin no other one', t => {
	const collector = createEventCollector();
	collector.push(Buffer.from('data: a\n\n'));
	t.true(collector.isBlank());
	collector.push(Buffer.from('\r'));
	t.true(collector.isBlank());
	collector.push(Buffer.from('d'));
	t.false(collector.isBlank());
});
