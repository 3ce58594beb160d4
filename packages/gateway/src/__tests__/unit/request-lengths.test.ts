import test from 'ava';
import {createRequestLengths} from '../../request-lengths.js';

test('the longest request of a route is known after some requests, and forgotten after a while', t => {
	const lengths = createRequestLengths();

	for (let count = 0; count < 19; count++) {
		lengths.record('a', 100 + count, 1000);
	}

	t.is(lengths.findLongestMs('a', 1000), undefined);
	lengths.record('a', 50, 1000);
	t.is(lengths.findLongestMs('a', 1000), 118);
	lengths.record('b', 900, 31_000);
	t.is(lengths.findLongestMs('a', 31_000), 118, 'of the period before');
	t.is(lengths.findLongestMs('b', 31_000), undefined);
	t.is(lengths.findLongestOfAllMs(31_000), 900);
	t.is(lengths.findLongestMs('a', 62_000), undefined);
	t.is(lengths.findLongestOfAllMs(200_000), 0);
});
