import test from 'ava';
import {planReturn} from '../../plan-return.js';

test('refused callers are told different times, at the rate at which requests can be sent, and five seconds at most', t => {
	let next: number | undefined;
	const returnsMs: number[] = [];

	for (let caller = 0; caller < 20; caller++) {
		const {returnAtMs, nextReturnMs} = planReturn(next, {reopeningMs: 1200, spacingMs: 400, nowMs: 1000});
		next = nextReturnMs;
		returnsMs.push(returnAtMs);
	}

	t.deepEqual(returnsMs.slice(0, 3), [1200, 1600, 2000]);
	t.is(returnsMs.at(-1), 6000);
});

test('turns of callers from before are forgotten, and none is told a time before the instances open', t => {
	t.is(planReturn(500, {reopeningMs: 1200, spacingMs: 400, nowMs: 1000}).returnAtMs, 1200);
	t.is(planReturn(undefined, {reopeningMs: 11_000, spacingMs: 10_000, nowMs: 1000}).returnAtMs, 11_000);
});
