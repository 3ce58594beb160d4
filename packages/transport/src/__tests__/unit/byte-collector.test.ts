import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {readAllBytes, createByteCollector} from '../../index.js';

test('bytes are collected the same however they are split into chunks', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40})), chunks => {
			const collector = createByteCollector();

			for (const chunk of chunks) {
				collector.push(chunk);
			}

			const expected = Buffer.concat(chunks);

			return collector.countBytes() === expected.length && collector.peek().equals(expected) && collector.take().equals(expected) && collector.countBytes() === 0;
		}), {seed: 53});
	});
});

// Guards against memory that grows by a buffer a chunk.
test('the memory in use is bounded by the number of bytes, not by the number of chunks', t => {
	const collector = createByteCollector();

	for (let count = 1; count <= 100_000; count++) {
		collector.push(Buffer.from('x'));
		t.true(collector.countMemoryBytes() <= 2 * count);
	}
});

test('a chunk beyond the limit is not taken, and the memory does not exceed the limit', async t => {
	const collector = createByteCollector({maxBytes: 10});
	t.true(collector.push(Buffer.from('abcdef')));
	t.false(collector.push(Buffer.from('ghijk')));
	t.true(collector.push(Buffer.from('ghij')));
	t.is(collector.countMemoryBytes(), 10);
	t.is(collector.take().toString(), 'abcdefghij');
	t.is(await readAllBytes((async function * () {
		yield Buffer.from('abc');
		yield Buffer.from('def');
	})(), {maxBytes: 5}), undefined);
});
