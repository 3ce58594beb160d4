import test from 'ava';
import {pickNewsSources} from '../../index.js';

test('each coordinator is asked for news in its turn, two in a round', t => {
	const addresses = ['a', 'b', 'c', 'd', 'e'];
	const rounds = Array.from({length: 5}, (_, round) => [...pickNewsSources(addresses, round)]);
	t.true(rounds.every(round => round.length === 2));

	for (const address of addresses) {
		t.is(rounds.flat().filter(one => one === address).length, 2);
	}
});

test('one coordinator is asked each time, none is no fault', t => {
	t.deepEqual([...pickNewsSources(['a'], 7)], ['a']);
	t.deepEqual([...pickNewsSources([], 7)], []);
});
