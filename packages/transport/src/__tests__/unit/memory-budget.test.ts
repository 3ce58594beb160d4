import test from 'ava';
import {createMemoryBudget, pickLargest} from '../../memory-budget.js';

// Guards against answers without end that take the memory of all others.
test('the largest answers give way once all together exceed the bound, and small ones stay', t => {
	const answers = createMemoryBudget({maxBytes: 1000, pickVictim: pickLargest});
	const evicted: string[] = [];
	const open = (name: string) => answers.open(() => {
		evicted.push(name);
	});
	const small = open('small');
	const large = open('large');
	const larger = open('larger');
	small.resize(100);
	large.resize(400);
	larger.resize(500);
	t.deepEqual(evicted, []);
	small.resize(150);
	t.deepEqual(evicted, ['larger']);
	t.is(answers.countBytes(), 550);
	// Bytes that still arrive for an answer that gave way are not counted.
	larger.resize(900);
	t.is(answers.countBytes(), 550);
	large.resize(900);
	t.deepEqual(evicted, ['larger', 'large']);
	small.release();
	small.release();
	t.is(answers.countBytes(), 0);
});
