import test from 'ava';
import {
	advanceStanding, canSendTo, classifyStanding, createInstanceStanding, decideRest, HealthEvent, Standing, StandingEventKind, WaitDecision, type AnnouncedStanding,
	type InstanceStanding,
} from '../../index.js';

const announced: AnnouncedStanding = {
	incarnation: 1, isLeaving: false, heardAtMs: 0, loadingDeadlineMs: 0, coldDeadlineMs: 0,
};
const ready = createInstanceStanding(announced);

const classify = (state: InstanceStanding, nowMs: number, own = 0) => classifyStanding(state, {own, nowMs});

test('an instance that requests a backoff gets no requests until its end, even if no other instance is free', t => {
	const backingOff = advanceStanding(ready, {kind: StandingEventKind.TurnedAway, askedRestMs: 2500}, 100);
	t.is(classify(backingOff, 2599), Standing.Resting);
	t.false(canSendTo(Standing.Resting));
	t.is(classify(backingOff, 2600), Standing.Ready);

	// A shorter backoff that is requested meanwhile does not shorten the longer one.
	const again = advanceStanding(backingOff, {kind: StandingEventKind.TurnedAway, askedRestMs: 200}, 1000);
	t.is(classify(again, 2000), Standing.Resting);
});

for (const [name, askedRestMs] of [['of two days', 2 * 86_400_000], ['that is negative', -1000], ['that is not a number', Number.NaN]] as const) {
	test(`a requested backoff ${name} is ignored, and the instance counts as full for a short time`, t => {
		const state = advanceStanding(ready, {kind: StandingEventKind.TurnedAway, askedRestMs}, 100);
		t.is(classify(state, 101), Standing.Full);
		t.is(classify(state, 400), Standing.Ready);
	});
}

test('events of another incarnation are ignored, and a new incarnation accepts requests', t => {
	const other = advanceStanding(ready, {kind: StandingEventKind.LeavingHeard, incarnation: 2}, 10);
	t.is(classify(other, 20), Standing.Ready);
	const leaving = advanceStanding(ready, {kind: StandingEventKind.LeavingHeard, incarnation: 1}, 10);
	t.is(classify(leaving, 20), Standing.Leaving);
	const heartbeat = advanceStanding(leaving, {kind: StandingEventKind.Announced, ...announced, heardAtMs: 1000}, 1000);
	t.is(classify(heartbeat, 1001), Standing.Leaving);
	const restarted = advanceStanding(leaving, {
		kind: StandingEventKind.Announced, ...announced, incarnation: 2, heardAtMs: 2000,
	}, 2000);
	t.is(classify(restarted, 2001), Standing.Ready);
});

test('while all instances back off, a request waits only if it can be answered in time after the first backoff', t => {
	t.is(decideRest({
		restLeftMs: 400, workMs: 60, waitedMs: 0, patienceMs: 1500,
	}), WaitDecision.Wait);
	t.is(decideRest({
		restLeftMs: 2500, workMs: 60, waitedMs: 0, patienceMs: 1500,
	}), WaitDecision.Refuse);
	t.is(decideRest({
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
				state = advanceStanding(state, {
					kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs - (random() * 3000),
				}, nowMs);
			} else if (drawn < 0.6) {
				state = advanceStanding(state, {kind: StandingEventKind.Heard}, nowMs);
				state = advanceStanding(state, {kind: StandingEventKind.Judged, event: HealthEvent.Answered}, nowMs);
			} else if (drawn < 0.75) {
				const askedRestMs = random() * 3000;
				backoffEndMs = Math.max(backoffEndMs, nowMs + askedRestMs);
				state = advanceStanding(state, {kind: StandingEventKind.TurnedAway, askedRestMs}, nowMs);
			} else if (drawn < 0.78) {
				hasLeft = true;
				state = advanceStanding(state, {kind: StandingEventKind.LeavingHeard, incarnation}, nowMs);
			} else if (drawn < 0.82) {
				// A late answer of the previous incarnation.
				state = advanceStanding(state, {kind: StandingEventKind.LeavingHeard, incarnation: incarnation - 1}, nowMs);
			} else if (drawn < 0.85) {
				incarnation++;
				hasLeft = false;
				backoffEndMs = 0;
				state = advanceStanding(state, {
					kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
				}, nowMs);
			} else {
				state = advanceStanding(state, {kind: StandingEventKind.Judged, event: random() < 0.5 ? HealthEvent.Failed : HealthEvent.Silent}, nowMs);
			}

			if ((hasLeft || nowMs < backoffEndMs) && canSendTo(classify(state, nowMs))) {
				violations.push(`accepts requests while leaving or backing off: seed ${seed}, step ${step}`);
			}
		}

		// A healthy instance that announces itself again accepts requests after its backoffs.
		nowMs += 10_000;
		state = advanceStanding(state, {
			kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
		}, nowMs);

		if (canSendTo(classify(state, nowMs)) === hasLeft) {
			violations.push(`wrong status at the end: seed ${seed}`);
		}
	}

	t.deepEqual(violations, []);
});
