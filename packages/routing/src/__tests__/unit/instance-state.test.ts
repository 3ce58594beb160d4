import test from 'ava';
import {
	advanceStanding, canSendTo, classifyStanding, createInstanceStanding, decideRest, HealthEvent, Standing, StandingEventKind, WaitDecision, type AnnouncedStanding,
	type InstanceStanding,
} from '../../index.js';

const announced: AnnouncedStanding = {
	incarnation: 1, isLeaving: false, heardAtMs: 0, loadingDeadlineMs: 0, coldDeadlineMs: 0,
};
const ready = createInstanceStanding(announced);

const classify = (standing: InstanceStanding, nowMs: number, own = 0) => classifyStanding(standing, {own, nowMs});

test('an instance that asks for a rest gets nothing until its end, also where no other is free', t => {
	const resting = advanceStanding(ready, {kind: StandingEventKind.TurnedAway, askedRestMs: 2500}, 100);
	t.is(classify(resting, 2599), Standing.Resting);
	t.false(canSendTo(Standing.Resting));
	t.is(classify(resting, 2600), Standing.Ready);

	// A shorter rest that is asked for meanwhile does not end the longer one.
	const again = advanceStanding(resting, {kind: StandingEventKind.TurnedAway, askedRestMs: 200}, 1000);
	t.is(classify(again, 2000), Standing.Resting);
});

for (const [name, askedRestMs] of [['of days', 2 * 86_400_000], ['that is negative', -1000], ['that is no number', Number.NaN]] as const) {
	test(`a rest ${name} is no rest: the instance is taken for full for a moment`, t => {
		const standing = advanceStanding(ready, {kind: StandingEventKind.TurnedAway, askedRestMs}, 100);
		t.is(classify(standing, 101), Standing.Full);
		t.is(classify(standing, 400), Standing.Ready);
	});
}

test('what was said of another start counts for nothing, and a new start takes requests', t => {
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

test('while all instances rest, a request waits only where it can be answered after the first of them', t => {
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

// Numbers in [0, 1) that are the same on each run (a linear congruential generator).
function createRandom(seed: number): () => number {
	let state = seed;

	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;

		return state / 4_294_967_296;
	};
}

test('over seeded orders of heartbeats, answers and starts: never sent to while it leaves or rests, never lost for good while sound', t => {
	const wrong: string[] = [];

	for (let seed = 1; seed <= 300; seed++) {
		const random = createRandom(seed);
		let standing = ready;
		let incarnation = 1;
		let nowMs = 0;
		let hasLeft = false;
		let restEndMs = 0;

		for (let step = 0; step < 200; step++) {
			nowMs += random() * 400;
			const roll = random();

			if (roll < 0.4) {
				// Heartbeats come late by up to 3 s, and some say ready after the instance has said that it leaves.
				standing = advanceStanding(standing, {
					kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs - (random() * 3000),
				}, nowMs);
			} else if (roll < 0.6) {
				standing = advanceStanding(standing, {kind: StandingEventKind.Heard}, nowMs);
				standing = advanceStanding(standing, {kind: StandingEventKind.Judged, event: HealthEvent.Answered}, nowMs);
			} else if (roll < 0.75) {
				const askedRestMs = random() * 3000;
				restEndMs = Math.max(restEndMs, nowMs + askedRestMs);
				standing = advanceStanding(standing, {kind: StandingEventKind.TurnedAway, askedRestMs}, nowMs);
			} else if (roll < 0.78) {
				hasLeft = true;
				standing = advanceStanding(standing, {kind: StandingEventKind.LeavingHeard, incarnation}, nowMs);
			} else if (roll < 0.82) {
				// A late answer of the start before.
				standing = advanceStanding(standing, {kind: StandingEventKind.LeavingHeard, incarnation: incarnation - 1}, nowMs);
			} else if (roll < 0.85) {
				incarnation++;
				hasLeft = false;
				restEndMs = 0;
				standing = advanceStanding(standing, {
					kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
				}, nowMs);
			} else {
				standing = advanceStanding(standing, {kind: StandingEventKind.Judged, event: random() < 0.5 ? HealthEvent.Failed : HealthEvent.Silent}, nowMs);
			}

			if ((hasLeft || nowMs < restEndMs) && canSendTo(classify(standing, nowMs))) {
				wrong.push(`sent to: seed ${seed}, step ${step}`);
			}
		}

		// A sound instance that is heard again takes requests after its rests.
		nowMs += 10_000;
		standing = advanceStanding(standing, {
			kind: StandingEventKind.Announced, ...announced, incarnation, heardAtMs: nowMs,
		}, nowMs);

		if (canSendTo(classify(standing, nowMs)) === hasLeft) {
			wrong.push(`at the end: seed ${seed}`);
		}
	}

	t.deepEqual(wrong, []);
});
