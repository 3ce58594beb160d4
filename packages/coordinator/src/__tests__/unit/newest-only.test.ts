import test from 'ava';
import {createNewestOnly} from '../../newest-only.js';

test('of the versions that a start replays, the last alone is told', t => {
	const told: number[] = [];
	const deferred: Array<() => void> = [];
	const publish = createNewestOnly<number>(version => {
		told.push(version);
	}, run => {
		deferred.push(run);
	});

	for (let version = 1; version <= 7; version++) {
		publish(version);
	}

	t.deepEqual(told, []);
	t.is(deferred.length, 1);
	deferred.shift()!();
	t.deepEqual(told, [7]);

	publish(8);
	deferred.shift()!();
	t.deepEqual(told, [7, 8]);
});
