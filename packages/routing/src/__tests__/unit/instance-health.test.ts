import test from 'ava';
import {
	addWork, canTakeRequests, computeCorrectionMs, computeWaitMs, correctBacklog, createInstanceHealth, createWorkBacklog, estimateWork, HealthEvent, isOverdue,
	recordHealthEvent, type InstanceHealth,
} from '../../index.js';

const judgeAll = (events: ReadonlyArray<readonly [atMs: number, event: HealthEvent]>): InstanceHealth => {
	let health = createInstanceHealth();

	for (const [atMs, event] of events) {
		health = recordHealthEvent(health, event, atMs);
	}

	return health;
};

test('an unreachable instance backs off, longer each time, and then gets one trial request', t => {
	const afterFirst = judgeAll([[0, HealthEvent.Unreachable]]);
	t.false(canTakeRequests(afterFirst, 0, 100));
	t.true(canTakeRequests(afterFirst, 0, 600));
	t.false(canTakeRequests(afterFirst, 1, 600));
	const afterSecond = recordHealthEvent(afterFirst, HealthEvent.Unreachable, 600);
	t.false(canTakeRequests(afterSecond, 0, 1500));
	t.true(canTakeRequests(afterSecond, 0, 1700));
});

test('many failures at the same time start only one back-off', t => {
	const health = judgeAll(Array.from({length: 20}, (_, index) => [index, HealthEvent.TimedOut] as const));
	t.is(health.rests, 1);
});

test('an instance that fails most requests backs off; one that fails a few does not', t => {
	const failing = judgeAll(Array.from({length: 12}, (_, index) => [index, HealthEvent.Failed] as const));
	t.true(failing.rests > 0);
	const mostlyHealthy = judgeAll(Array.from({length: 50}, (_, index) => [index, index % 7 === 0 ? HealthEvent.Failed : HealthEvent.Answered] as const));
	t.is(mostlyHealthy.rests, 0);
});

test('an instance that answers is healthy again', t => {
	const health = judgeAll([[0, HealthEvent.Unreachable], [700, HealthEvent.Answered]]);
	t.true(canTakeRequests(health, 5, 701));
});

test('several prompts in one queue correct its backlog by one delay, not by the sum', t => {
	let backlog = createWorkBacklog();
	const estimates = [];

	for (let index = 0; index < 3; index++) {
		backlog = addWork(backlog, 100, 0);
		estimates.push(estimateWork(backlog, 100));
	}

	// Each prompt is 50 ms later than expected, because the engine stalled once.
	for (const [index, estimate] of estimates.entries()) {
		const nowMs = ((index + 1) * 100) + 50;
		backlog = correctBacklog(backlog, computeCorrectionMs(backlog, estimate, nowMs), nowMs);
	}

	t.is(backlog.totalCorrectionMs, 50);
	t.is(computeWaitMs(backlog, 350), 0);
});

test('a prompt is overdue once its expected time, including corrections, has passed', t => {
	const backlog = addWork(createWorkBacklog(), 300, 0);
	const estimate = estimateWork(backlog, 300);
	t.false(isOverdue(backlog, estimate, 290));
	t.true(isOverdue(backlog, estimate, 310));
	t.false(isOverdue(correctBacklog(backlog, 80, 310), estimate, 350));
});

test('an instance that was silent and goes on is used as before', t => {
	const silent = judgeAll([[0, HealthEvent.TimedOut], [100, HealthEvent.TimedOut], [600, HealthEvent.TimedOut]]);
	t.false(canTakeRequests(silent, 3, 700));
	t.true(canTakeRequests(recordHealthEvent(silent, HealthEvent.Resumed, 700), 3, 700));

	// It goes on with what it backed off for before.
	const unreachable = judgeAll([[0, HealthEvent.Unreachable], [600, HealthEvent.Unreachable]]);
	const resumed = recordHealthEvent(recordHealthEvent(unreachable, HealthEvent.TimedOut, 700), HealthEvent.Resumed, 800);
	t.deepEqual(resumed, unreachable);
});

test('an instance that is found unreachable after a silence is not used for bytes that were under way', t => {
	const health = judgeAll([[0, HealthEvent.TimedOut], [600, HealthEvent.Unreachable], [610, HealthEvent.Resumed]]);
	t.false(canTakeRequests(health, 0, 620));
});
