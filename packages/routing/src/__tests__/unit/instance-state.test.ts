import test from 'ava';
import {
	applyInstanceEvent, canSendTo, classifyInstance, createInstanceState, decideBackoff, HealthEvent, InstanceStatus, InstanceEventKind, WaitDecision, type AnnouncedState,
	type InstanceState,
} from '../../index.js';

const announced: AnnouncedState = {
	incarnation: 1, isLeaving: false, heardAtMs: 0, loadingDeadlineMs: 0, coldDeadlineMs: 0,
};
const ready = createInstanceState(announced);

const classify = (state: InstanceState, nowMs: number, own = 0) => classifyInstance(state, {own, nowMs});

test('an instance that requests a back-off gets no requests until its end, even if no other instance is free', t => {
	const backingOff = applyInstanceEvent(ready, {kind: InstanceEventKind.RequestRejected, askedRestMs: 2500}, 100);
	t.is(classify(backingOff, 2599), InstanceStatus.BackingOff);
	t.false(canSendTo(InstanceStatus.BackingOff));
	t.is(classify(backingOff, 2600), InstanceStatus.Ready);

	// A shorter back-off that is requested meanwhile does not shorten the longer one.
	const again = applyInstanceEvent(backingOff, {kind: InstanceEventKind.RequestRejected, askedRestMs: 200}, 1000);
	t.is(classify(again, 2000), InstanceStatus.BackingOff);
});

for (const [name, askedRestMs] of [['of two days', 2 * 86_400_000], ['that is negative', -1000], ['that is not a number', Number.NaN]] as const) {
	test(`a requested back-off ${name} is ignored, and the instance counts as full for a short time`, t => {
		const state = applyInstanceEvent(ready, {kind: InstanceEventKind.RequestRejected, askedRestMs}, 100);
		t.is(classify(state, 101), InstanceStatus.Full);
		t.is(classify(state, 400), InstanceStatus.Ready);
	});
}

test('events of another incarnation are ignored, and a new incarnation accepts requests', t => {
	const other = applyInstanceEvent(ready, {kind: InstanceEventKind.LeavingReported, incarnation: 2}, 10);
	t.is(classify(other, 20), InstanceStatus.Ready);
	const leaving = applyInstanceEvent(ready, {kind: InstanceEventKind.LeavingReported, incarnation: 1}, 10);
	t.is(classify(leaving, 20), InstanceStatus.Leaving);
	const heartbeat = applyInstanceEvent(leaving, {kind: InstanceEventKind.Announced, ...announced, heardAtMs: 1000}, 1000);
	t.is(classify(heartbeat, 1001), InstanceStatus.Leaving);
	const restarted = applyInstanceEvent(leaving, {
		kind: InstanceEventKind.Announced, ...announced, incarnation: 2, heardAtMs: 2000,
	}, 2000);
	t.is(classify(restarted, 2001), InstanceStatus.Ready);
});

test('while all instances back off, a request waits only if it can be answered in time after the first back-off', t => {
	t.is(decideBackoff({
		restLeftMs: 400, workMs: 60, waitedMs: 0, patienceMs: 1500,
	}), WaitDecision.Wait);
	t.is(decideBackoff({
		restLeftMs: 2500, workMs: 60, waitedMs: 0, patienceMs: 1500,
	}), WaitDecision.Refuse);
	t.is(decideBackoff({
		restLeftMs: 400, workMs: 60, waitedMs: 1100, patienceMs: 1500,
	}), WaitDecision.Refuse);
});

// Deterministic random numbers in [0, 1) (linear congruential generator).
function createRandom(seed: number): () => number {
	let state = seed;

	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;

		return state / 4_294_967_296;
	};
}

test('over seeded orders of heartbeats, answers and starts: no requests while it is leaving or backing off, and a healthy instance is never lost for good', t => {
	const violations: string[] = [];

	for (let seed = 1; seed <= 300; seed++) {
		const random = createRandom(seed);
		let state = ready;
		let incarnation = 1;
		let nowMs = 0;
		let hasLeft = false;
		let backoffEndMs = 0;

		for (let step = 0; step < 200; step++) {
			nowMs += random() * 400;
			const drawn = random();

			if (drawn < 0.4) {
				// Heartbeats arrive up to 3 s late; some announce a ready instance after it has announced that it is leaving.
				state = applyInstanceEvent(state, {
					kind: InstanceEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs - (random() * 3000),
				}, nowMs);
			} else if (drawn < 0.6) {
				state = applyInstanceEvent(state, {kind: InstanceEventKind.ResponseReceived}, nowMs);
				state = applyInstanceEvent(state, {kind: InstanceEventKind.HealthObserved, event: HealthEvent.Answered}, nowMs);
			} else if (drawn < 0.75) {
				const askedRestMs = random() * 3000;
				backoffEndMs = Math.max(backoffEndMs, nowMs + askedRestMs);
				state = applyInstanceEvent(state, {kind: InstanceEventKind.RequestRejected, askedRestMs}, nowMs);
			} else if (drawn < 0.78) {
				hasLeft = true;
				state = applyInstanceEvent(state, {kind: InstanceEventKind.LeavingReported, incarnation}, nowMs);
			} else if (drawn < 0.82) {
				// A late answer of the previous incarnation.
				state = applyInstanceEvent(state, {kind: InstanceEventKind.LeavingReported, incarnation: incarnation - 1}, nowMs);
			} else if (drawn < 0.85) {
				incarnation++;
				hasLeft = false;
				backoffEndMs = 0;
				state = applyInstanceEvent(state, {
					kind: InstanceEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
				}, nowMs);
			} else {
				state = applyInstanceEvent(state, {kind: InstanceEventKind.HealthObserved, event: random() < 0.5 ? HealthEvent.Failed : HealthEvent.TimedOut}, nowMs);
			}

			if ((hasLeft || nowMs < backoffEndMs) && canSendTo(classify(state, nowMs))) {
				violations.push(`accepts requests while leaving or backing off: seed ${seed}, step ${step}`);
			}
		}

		// A healthy instance that announces itself again accepts requests after its back-offs.
		nowMs += 10_000;
		state = applyInstanceEvent(state, {
			kind: InstanceEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
		}, nowMs);

		if (canSendTo(classify(state, nowMs)) === hasLeft) {
			violations.push(`wrong status at the end: seed ${seed}`);
		}
	}

	t.deepEqual(violations, []);
});
