import test from 'ava';
import {decideConfigRefusal} from '../../decide-config-refusal.js';

const input = {nowMs: 100_000, startedAtMs: 50_000, configApplyMs: 2000};

test('a refusal is final only as long as what is in force was known to be the newest within the time that a change may take', t => {
	t.deepEqual(decideConfigRefusal({...input, knownAtMs: 98_000}), {isFinal: true});
	t.deepEqual(decideConfigRefusal({...input, knownAtMs: 97_999}), {isFinal: false, retryAfterMs: 2001});
});

test('no refusal is final by what was the newest before the start, or by what nobody has confirmed', t => {
	t.deepEqual(decideConfigRefusal({...input, startedAtMs: 99_500, knownAtMs: 99_400}), {isFinal: false, retryAfterMs: 500});
	t.deepEqual(decideConfigRefusal({...input, startedAtMs: 99_500, knownAtMs: 99_500}), {isFinal: true});
	t.deepEqual(decideConfigRefusal({...input, startedAtMs: 99_000, knownAtMs: undefined}), {isFinal: false, retryAfterMs: 1000});
});

// Load pattern: the coordinators are lost for two minutes, and callers without a route come back each time that they are told to.
test('callers that are refused while nobody knows the newest configuration come back ever more rarely', t => {
	const returns: number[] = [];

	for (let nowMs = 2100; nowMs < 120_000;) {
		const refusal = decideConfigRefusal({
			nowMs, knownAtMs: 0, startedAtMs: 0, configApplyMs: 2000,
		});
		returns.push(nowMs);
		t.false(refusal.isFinal);
		nowMs += refusal.isFinal ? 0 : refusal.retryAfterMs;
	}

	t.log(`returns at ${returns.join(', ')} ms`);
	t.true(returns.length <= 8);
});
