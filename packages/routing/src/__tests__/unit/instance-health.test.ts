import test from 'ava';
import {
	addWork, canTakeRequests, computeCorrectionMs, computeWaitMs, correctClock, createInstanceHealth, createWorkBacklog, estimateWork, HealthEvent, isOverdue,
	recordHealthEvent, type InstanceHealth,
} from '../../index.js';

const judgeAll = (events: ReadonlyArray<readonly [atMs: number, event: HealthEvent]>): InstanceHealth => {
	let health = createInstanceHealth();

	for (const [atMs, event] of events) {
		health = recordHealthEvent(health, event, atMs);
	}

	return health;
};

test('an instance that cannot be reached rests, longer each time, and is tried by one request', t => {
	const once = judgeAll([[0, HealthEvent.Unreachable]]);
	t.false(canTakeRequests(once, 0, 100));
	t.true(canTakeRequests(once, 0, 600));
	t.false(canTakeRequests(once, 1, 600));
	const twice = recordHealthEvent(once, HealthEvent.Unreachable, 600);
	t.false(canTakeRequests(twice, 0, 1500));
	t.true(canTakeRequests(twice, 0, 1700));
});

test('many requests that fail at once make one rest', t => {
	const health = judgeAll(Array.from({length: 20}, (_, index) => [index, HealthEvent.Silent] as const));
	t.is(health.rests, 1);
});

test('a grey instance that fails most requests rests, one that fails a few does not', t => {
	const grey = judgeAll(Array.from({length: 12}, (_, index) => [index, HealthEvent.Failed] as const));
	t.true(grey.rests > 0);
	const fair = judgeAll(Array.from({length: 50}, (_, index) => [index, index % 7 === 0 ? HealthEvent.Failed : HealthEvent.Answered] as const));
	t.is(fair.rests, 0);
});

test('one that answers is sound again', t => {
	const health = judgeAll([[0, HealthEvent.Unreachable], [700, HealthEvent.Answered]]);
	t.true(canTakeRequests(health, 5, 701));
});

test('several prompts in one queue correct its clock by one delay, not by the sum', t => {
	let clock = createWorkBacklog();
	const estimates = [];

	for (let index = 0; index < 3; index++) {
		clock = addWork(clock, 100, 0);
		estimates.push(estimateWork(clock, 100));
	}

	// Each comes 50 ms later than expected: the engine stood still once.
	for (const [index, estimate] of estimates.entries()) {
		const nowMs = ((index + 1) * 100) + 50;
		clock = correctClock(clock, computeCorrectionMs(clock, estimate, nowMs), nowMs);
	}

	t.is(clock.totalCorrectionMs, 50);
	t.is(computeWaitMs(clock, 350), 0);
});

test('a prompt is overdue when its time has passed, corrections counted', t => {
	const clock = addWork(createWorkBacklog(), 300, 0);
	const estimate = estimateWork(clock, 300);
	t.false(isOverdue(clock, estimate, 290));
	t.true(isOverdue(clock, estimate, 310));
	t.false(isOverdue(correctClock(clock, 80, 310), estimate, 350));
});
