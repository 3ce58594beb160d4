import test from 'ava';
import fc from 'fast-check';
import {createManualClock} from '@fescuestair/core';
import {
	applyPublish, createPublishedState, decodePublishedState, encodePublishedState, PublishKind, type PublishedState,
} from '../../index.js';
import {createTargetAges} from '../../target-ages.js';

const unknownAgeMs = 60_000;
const oldWeightsMs = 8000;
const heartbeatMs = 150;

const name = (state: PublishedState, version: number, ageMs?: number) => applyPublish(state, {
	kind: PublishKind.SetTargetVersion, model: 'guide', version, ageMs,
}).state;

/** A replica whose knowledge of what is committed is set by the test. */
const openReplica = (clock = createManualClock(0)) => {
	const replica: {currentAtMs: number | undefined} = {currentAtMs: undefined};
	const ages = createTargetAges({clock, getCurrentAtMs: () => replica.currentAtMs});

	return {
		clock, ages, replica, getAgeMs: (version: number) => ages.getAgeMs('guide', version),
	};
};

// Issue 57: a target replayed from the log later than 3 s after the start was taken for new.
test('a target that a replica learns after its start has its recorded age at least, however late that is', t => {
	const {clock, ages, replica, getAgeMs} = openReplica();
	clock.advance(5000);
	ages.record({targets: name(name(createPublishedState(), 2, 0), 2, 9000).targets});
	t.true(getAgeMs(2) >= unknownAgeMs);
	replica.currentAtMs = clock.readMonotonicMs();
	t.true(getAgeMs(2) >= 9000 && getAgeMs(2) < 11_000);
	clock.advance(700);
	t.true(getAgeMs(2) >= 9700);
	ages.record({targets: name(name(createPublishedState(), 2, 0), 2, 9900).targets});
	t.true(getAgeMs(2) >= 9900 && getAgeMs(2) < 12_000);
});

test('a target that appears while the replica is current is as old as the last moment without it', t => {
	const {clock, ages, replica, getAgeMs} = openReplica();
	replica.currentAtMs = 0;
	clock.advance(heartbeatMs);
	ages.record({targets: name(createPublishedState(), 2, 0).targets});
	t.is(getAgeMs(2), heartbeatMs);
	clock.advance(2000);
	t.is(getAgeMs(2), 2000 + heartbeatMs);
});

// Issue 57: each way in which old news may reach a process late.
test('a replica that was cut off or frozen tells no age that is too young, nor bars a new target once it is current', t => {
	const {clock, ages, replica, getAgeMs} = openReplica();
	replica.currentAtMs = 0;
	clock.advance(30_000);
	const {targets} = name(createPublishedState(), 2, 0);
	ages.record({targets});
	t.is(getAgeMs(2), 30_000);
	replica.currentAtMs = clock.readMonotonicMs();
	t.true(getAgeMs(2) < 2000);
	ages.record({targets: name({...createPublishedState(), weights: new Map([['guide', 2]]), targets}, 2, 7000).targets});
	t.true(getAgeMs(2) >= 7000);
});

test('the age of a target that older software set is unknown, and a resent naming does not change that', t => {
	const old = decodePublishedState(structuredClone({
		...encodePublishedState(name(createPublishedState(), 2)), targets: undefined,
	}));
	const {ages, replica, getAgeMs} = openReplica();
	ages.record({targets: name(old, 2, 0).targets});
	replica.currentAtMs = 0;
	t.true(getAgeMs(2) >= unknownAgeMs);
	t.deepEqual(ages.listDueRecords(old).map(({version, ageMs}) => [version, ageMs]), [[2, unknownAgeMs]]);
});

test('the leader records the age of each target again and again, until it is old for good', t => {
	const {clock, ages, replica} = openReplica();
	let state = name(createPublishedState(), 2, 0);
	ages.record(state);
	let records = 0;

	while (clock.readMonotonicMs() < 60_000) {
		clock.advance(250);
		replica.currentAtMs = clock.readMonotonicMs();

		for (const command of ages.listDueRecords(state)) {
			state = applyPublish(state, command).state;
			ages.record(state);
			records++;
		}
	}

	t.true(records <= 25, `${records}`);
	t.deepEqual(ages.listDueRecords(state), []);
	t.is(state.revision, 1);
	t.deepEqual(decodePublishedState(structuredClone(encodePublishedState(state))), state);
});

// After a loss of all processes the leader recorded for good that nothing is known of the age of a target, so that all engines on older weights were barred.
test('a leader that knows all that was committed up to a moment before it replayed its log records no age until it knows one', t => {
	const {clock, ages, replica, getAgeMs} = openReplica();
	clock.advance(1000);
	const state = name(name(createPublishedState(), 2, 0), 2, 500);
	ages.record(state);
	replica.currentAtMs = clock.readMonotonicMs() - 40;
	t.deepEqual(ages.listDueRecords(state), []);
	clock.advance(heartbeatMs);
	replica.currentAtMs = clock.readMonotonicMs();
	t.true(getAgeMs(2) < 2500);
	t.deepEqual(ages.listDueRecords(state).map(({ageMs}) => ageMs), [getAgeMs(2)]);
});

test('an instance several versions behind is judged by the first newer target, which a restart keeps', t => {
	const {clock, ages, replica, getAgeMs} = openReplica();
	ages.record(name(name(name(createPublishedState(), 2, 0), 2, 7000), 3, 0));
	replica.currentAtMs = clock.readMonotonicMs();
	t.true(getAgeMs(2) >= 7000);
	t.true(getAgeMs(3) < 2000);
});

/** What happens to one replica while the leader of the group goes on. */
enum Event {
	/** It gets what was committed up to some moment, and is current then if that is all. */
	Apply = 'apply',
	Restart = 'restart',
	Wait = 'wait',
}

const events = fc.array(fc.oneof(
	fc.record({kind: fc.constant(Event.Apply), upTo: fc.double({min: 0, max: 1, noNaN: true})}),
	fc.record({kind: fc.constant(Event.Restart)}),
	fc.record({kind: fc.constant(Event.Wait), ms: fc.integer({min: 10, max: 4000})}),
), {maxLength: 40});

test('whatever a replica misses, it tells no age below the true one where it knows one', t => {
	t.notThrows(() => {
		checkAges();
	});
});

function checkAges(): void {
	fc.assert(fc.property(events, list => {
		const clock = createManualClock(0);
		let leaderState = name(createPublishedState(), 2, 0);
		/** The states after each commit, the first of them without the target. */
		const commits = [createPublishedState(), leaderState];
		let {ages, replica} = openReplica(clock);
		let applied = 0;

		for (const event of list) {
			if (event.kind === Event.Wait) {
				const endMs = clock.readMonotonicMs() + event.ms;

				while (clock.readMonotonicMs() < endMs) {
					clock.advance(10);
					const ageMs = clock.readMonotonicMs();

					if (ageMs >= (leaderState.targets.get('guide')![0]!.ageMs ?? 0) + 1000) {
						leaderState = name(leaderState, 2, ageMs);
						commits.push(leaderState);
					}
				}
			} else if (event.kind === Event.Restart) {
				({ages, replica} = openReplica(clock));
				ages.record(commits[applied]!);
			} else {
				applied = Math.max(applied, Math.round(event.upTo * (commits.length - 1)));
				ages.record(commits[applied]!);

				if (applied === commits.length - 1) {
					replica.currentAtMs = clock.readMonotonicMs();
				}
			}

			if (applied > 0 && ages.getAgeMs('guide', 2) < Math.min(clock.readMonotonicMs(), oldWeightsMs)) {
				return false;
			}
		}

		return true;
	}), {seed: 57, numRuns: 2000});
}
