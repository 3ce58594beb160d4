import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {createStartDeadlines} from '../../start-deadlines.js';

const clock = createSystemClock();
const delayMs = 60;

const openDeadlines = (t: ExecutionContext) => {
	const deadlines = new Map<number | undefined, number>();
	const startDeadlines = createStartDeadlines({clock, findDeadlineMs: ({version}) => deadlines.get(version)});
	t.teardown(startDeadlines.stop);
	const passed: string[] = [];

	return {
		deadlines, startDeadlines, passed,
		wait: (name: string, version: number | undefined) => startDeadlines.registerRun({model: 'guide', version}, () => {
			t.true(clock.readMonotonicMs() >= deadlines.get(version)!);
			passed.push(name);
		}),
	};
};

const waitUntil = async (check: () => boolean) => {
	while (!check()) {
		await sleep(5);
	}
};

test('runs that have not begun at their deadline are taken back, those on other weights and those that have begun are not', async t => {
	const {deadlines, startDeadlines, passed, wait} = openDeadlines(t);
	deadlines.set(1, clock.readMonotonicMs() + delayMs);
	wait('a', 1);
	const unregister = wait('b', 1);
	wait('c', 1);
	wait('d', 2);
	unregister();
	await waitUntil(() => passed.length === 2);
	await sleep(delayMs);
	t.deepEqual(passed, ['a', 'c']);
	t.is(startDeadlines.countWaiting(), 1);
});

// Issue 57: a run that was sent while its weights were current waited past the naming of newer ones.
test('a target that is named later gives the runs that wait a deadline, and an older age an earlier one', async t => {
	const {deadlines, startDeadlines, passed, wait} = openDeadlines(t);
	wait('a', 1);
	wait('of unknown weights', undefined);
	deadlines.set(1, clock.readMonotonicMs() + 1e9);
	startDeadlines.applyTargets();
	deadlines.set(1, clock.readMonotonicMs() + delayMs);
	deadlines.set(undefined, Number.NEGATIVE_INFINITY);
	startDeadlines.applyTargets();
	await waitUntil(() => passed.length === 2);
	t.deepEqual(passed, ['of unknown weights', 'a']);
});

test('a function that removes a run that was taken back leaves the later ones', async t => {
	const {deadlines, startDeadlines, passed, wait} = openDeadlines(t);
	deadlines.set(1, Number.NEGATIVE_INFINITY);
	const unregister = wait('a', 1);
	await waitUntil(() => passed.length === 1);
	deadlines.set(1, clock.readMonotonicMs() + 1e9);
	wait('b', 1);
	unregister();
	t.is(startDeadlines.countWaiting(), 1);
	deadlines.set(1, Number.NEGATIVE_INFINITY);
	startDeadlines.applyTargets();
	await waitUntil(() => passed.length === 2);
	t.deepEqual(passed, ['a', 'b']);
});
