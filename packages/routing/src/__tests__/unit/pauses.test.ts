import test from 'ava';
import {
	endPause, noPauses, recordFirstOutput, startPause, type Pauses,
} from '../../index.js';

/** Pauses from 100 to 1400 ms. */
const pauseOnce = (pauses: Pauses, fromMs = 100) => endPause(startPause(startPause(pauses)), fromMs + 1300);

test('the requests of one pause say nothing of the speed of an instance, those before and after it do', t => {
	t.true(recordFirstOutput(noPauses, {startedAtMs: 10}).isRepresentative);
	t.false(recordFirstOutput(startPause(noPauses), {startedAtMs: 10}).isRepresentative);
	const pauses = pauseOnce(noPauses);
	t.false(recordFirstOutput(pauses, {startedAtMs: 90}).isRepresentative);
	t.false(recordFirstOutput(pauses, {startedAtMs: 1300}).isRepresentative);
	t.true(recordFirstOutput(pauses, {startedAtMs: 1401}).isRepresentative);
});

test('an instance that answers between its pauses keeps its estimate, one that pauses for each request is slow', t => {
	let answering = noPauses;
	let slow = noPauses;
	const samples: boolean[] = [];

	for (let fromMs = 100; fromMs < 10_000; fromMs += 1800) {
		answering = recordFirstOutput(pauseOnce(answering, fromMs), {startedAtMs: fromMs}).pauses;
		t.false(recordFirstOutput(answering, {startedAtMs: fromMs}).isRepresentative);
		answering = recordFirstOutput(answering, {startedAtMs: fromMs + 1350}).pauses;
		slow = pauseOnce(slow, fromMs);
		samples.push(recordFirstOutput(slow, {startedAtMs: fromMs}).isRepresentative);
	}

	t.deepEqual(samples, [false, true, true, true, true, true]);
});
