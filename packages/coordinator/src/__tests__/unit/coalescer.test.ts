import test from 'ava';
import {createCoalescer} from '../../coalescer.js';

test('only the last of several versions replayed on start is published', t => {
	const published: number[] = [];
	const deferred: Array<() => void> = [];
	const publish = createCoalescer<number>(version => {
		published.push(version);
	}, run => {
		deferred.push(run);
	});

	for (let version = 1; version <= 7; version++) {
		publish(version);
	}

	t.deepEqual(published, []);
	t.is(deferred.length, 1);
	deferred.shift()!();
	t.deepEqual(published, [7]);

	publish(8);
	deferred.shift()!();
	t.deepEqual(published, [7, 8]);
});
