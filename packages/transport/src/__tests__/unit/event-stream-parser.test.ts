import test from 'ava';
import fc from 'fast-check';
import {createEventStreamParser} from '../../index.js';

test('events are parsed the same however the text is split into chunks, and a truncated last one is not returned', t => {
	const text = 'id: 1\ndata: {"a":1}\n\nid: 2\ndata: x\ndata: y\n\n: comment\n\ndata: cut';
	const expected = createEventStreamParser()(text);
	t.deepEqual(expected.slice(0, 2), [{id: '1', data: '{"a":1}'}, {id: '2', data: 'x\ny'}]);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: text.length - 1}), {maxLength: 8}), cuts => {
			const parse = createEventStreamParser();
			const ends = [...new Set(cuts), text.length].toSorted((a, b) => a - b);
			const events = ends.flatMap((end, index) => parse(text.slice(ends[index - 1] ?? 0, end)));

			return JSON.stringify(events) === JSON.stringify(expected);
		}), {seed: 3});
	});
});
