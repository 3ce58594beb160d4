import test from 'ava';
import {
	recordConnectionLoss, recordCrash, clearSuspect, createCrashSuspects, createSuspectUpdate, forgetConnectionLosses, getQuarantineDeadline, isSuspect, listNearQuarantine, mergeSuspects,
	takeCrashedRequests,
	type CrashSuspects,
} from '../../index.js';

// A request loses its connection, and the crash of the instance is confirmed.
const crash = (state: CrashSuspects, {fingerprint, incarnation, nowMs}: {readonly fingerprint: string; readonly incarnation: string; readonly nowMs: number}) => {
	const broken = recordConnectionLoss(state, {fingerprint, incarnation, nowMs});
	const {state: next, fingerprints} = takeCrashedRequests(broken, {incarnation, nowMs: nowMs + 50});

	return recordCrash(next, {fingerprints, incarnation, nowMs: nowMs + 50});
};

test('a request that crashes each instance that runs it is quarantined after the third crash', t => {
	let state = createCrashSuspects();

	for (const [index, incarnation] of ['a 1', 'b 1', 'a 2'].entries()) {
		t.is(getQuarantineDeadline(state, 'poison', index * 1000), undefined);
		state = crash(state, {fingerprint: 'poison', incarnation, nowMs: index * 1000});
	}

	t.true(getQuarantineDeadline(state, 'poison', 3000)! > 3000);
	t.is(getQuarantineDeadline(state, 'other', 3000), undefined);
	t.is(getQuarantineDeadline(state, 'poison', 3_600_000), undefined);
});

test('a crash during several attempts of a request counts once, and a request that finishes elsewhere is cleared', t => {
	let state = createCrashSuspects();

	for (let nowMs = 0; nowMs < 5; nowMs++) {
		state = crash(state, {fingerprint: 'same', incarnation: 'a 1', nowMs});
	}

	t.is(getQuarantineDeadline(state, 'same', 10), undefined);
	state = crash(state, {fingerprint: 'same', incarnation: 'b 1', nowMs: 20});
	state = clearSuspect(state, 'same');
	state = crash(state, {fingerprint: 'same', incarnation: 'c 1', nowMs: 40});
	t.is(getQuarantineDeadline(state, 'same', 100), undefined);
});

test('updates between daemons may arrive late, twice and in any order', t => {
	const crashed = recordCrash(recordCrash(createCrashSuspects(), {fingerprints: ['x'], incarnation: 'a 1', nowMs: 0}), {fingerprints: ['x'], incarnation: 'b 1', nowMs: 0});
	const before = createSuspectUpdate(crashed, 'x', 0)!;
	const after = createSuspectUpdate(clearSuspect(crashed, 'x'), 'x', 0)!;

	for (const notes of [[before, after], [after, before], [after, before, after, before]]) {
		let state = createCrashSuspects();

		for (const note of notes) {
			state = mergeSuspects(state, [note], 100);
		}

		t.false(isSuspect(state, 'x'));
		state = recordCrash(state, {fingerprints: ['x'], incarnation: 'c 1', nowMs: 200});
		t.true(isSuspect(state, 'x'));
		t.is(getQuarantineDeadline(state, 'x', 200), undefined);
	}
});

test('requests of a single lost instance are not near quarantine', t => {
	let state = createCrashSuspects();

	for (let index = 0; index < 200; index++) {
		state = recordConnectionLoss(state, {fingerprint: `r${index}`, incarnation: 'a 1', nowMs: 0});
	}

	const taken = takeCrashedRequests(state, {incarnation: 'a 1', nowMs: 50});
	state = recordCrash(taken.state, {fingerprints: taken.fingerprints, incarnation: 'a 1', nowMs: 50});

	t.deepEqual(listNearQuarantine(state), []);
	state = recordCrash(state, {fingerprints: ['r7'], incarnation: 'b 1', nowMs: 60});
	t.deepEqual(listNearQuarantine(state), ['r7']);
});

test('a connection lost to an instance that continues to answer is not a crash', t => {
	let state = createCrashSuspects();
	state = recordConnectionLoss(state, {fingerprint: 'same', incarnation: 'a 1', nowMs: 100});
	// The answer to a request sent before the loss proves nothing.
	state = forgetConnectionLosses(state, {incarnation: 'a 1', sentAtMs: 90});
	t.deepEqual(takeCrashedRequests(state, {incarnation: 'a 1', nowMs: 120}).fingerprints, ['same']);
	state = forgetConnectionLosses(state, {incarnation: 'a 1', sentAtMs: 110});
	t.deepEqual(takeCrashedRequests(state, {incarnation: 'a 1', nowMs: 120}).fingerprints, []);
});

test('an instance that is lost much later did not crash because of an earlier connection loss', t => {
	const state = recordConnectionLoss(createCrashSuspects(), {fingerprint: 'same', incarnation: 'a 1', nowMs: 0});
	t.deepEqual(takeCrashedRequests(state, {incarnation: 'a 1', nowMs: 30_000}).fingerprints, []);
});
