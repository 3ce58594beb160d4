import {type Buffer} from 'node:buffer';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import test from 'ava';
import {createBoundedWriter} from '../../index.js';

test('a stalled reader does not block the writer: lines past the buffer limit are dropped and their number is logged', async t => {
	const finished: Array<() => void> = [];
	let text = '';
	const write = createBoundedWriter({
		maxBufferedCharacters: 20,
		write(bytes: Buffer, done) {
			text += bytes.toString();
			finished.push(() => {
				done(undefined, bytes.length);
			});
		},
	});
	write('first\n');
	await waitForImmediate();

	for (let line = 0; line < 10; line++) {
		write(`line ${line}\n`);
	}

	t.is(text, 'first\n');
	finished.shift()!();
	await waitForImmediate();
	t.is(text, 'first\nline 0\nline 1\n{"level":"warn","message":"log lines were dropped","dropped":8}\n');
});
