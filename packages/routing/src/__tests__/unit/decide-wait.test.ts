import test from 'ava';
import {
	addWork, computeWaitMs, createWorkBacklog, decideReopening, decideWait, WaitDecision, type WorkBacklog,
} from '../../index.js';

const base = {
	expectedMs: 400, queueMs: 0, workMs: 350, memoryWaitMs: 0, waitedMs: 0, aheadMs: 0, targetMs: 800, patienceMs: 3200,
};

test('a request that meets its target, or finds an instance idle, is sent', t => {
	t.is(decideWait(base), WaitDecision.Send);
	t.is(decideWait({...base, waitedMs: 1500}), WaitDecision.Send);
});

test('a long prompt that would miss its target waits, and is refused once it cannot be answered in time', t => {
	const late = {...base, expectedMs: 1800, queueMs: 1400};
	t.is(decideWait(late), WaitDecision.Wait);
	t.is(decideWait({...late, waitedMs: 1700}), WaitDecision.Wait);
	t.is(decideWait({...late, waitedMs: 2900}), WaitDecision.Refuse);
	t.is(decideWait({...late, aheadMs: 3000}), WaitDecision.Refuse);
	t.is(decideWait({...late, workMs: 3300, expectedMs: 4700}), WaitDecision.Refuse);
});

test('a short prompt never waits at the gateway', t => {
	t.is(decideWait({
		...base, expectedMs: 900, queueMs: 880, workMs: 8, targetMs: 300, patienceMs: 2000,
	}), WaitDecision.Send);
	t.is(decideWait({
		...base, expectedMs: 2100, queueMs: 2000, workMs: 8, targetMs: 300, patienceMs: 2000,
	}), WaitDecision.Refuse);
});

// All callers reconnect at once: 40 long prompts within 0.4 s on six engines, then the usual ten per second.
const replay = (decide: typeof decideWait) => {
	let engines: WorkBacklog[] = Array.from({length: 6}, () => createWorkBacklog());
	const arrivals = [...Array.from({length: 40}, (_, index) => index * 10), ...Array.from({length: 50}, (_, index) => 1000 + (index * 100))];
	let waiting: number[] = [];
	let inTime = 0;
	let longestQueueMs = 0;

	for (let nowMs = 0; nowMs < 8000; nowMs += 10) {
		waiting.push(...arrivals.filter(atMs => atMs >= nowMs && atMs < nowMs + 10));
		const stillWaiting: number[] = [];

		for (const [ahead, atMs] of waiting.entries()) {
			const queues = engines.map(engine => computeWaitMs(engine, nowMs));
			const queueMs = Math.min(...queues);
			const decision = decide({
				...base, expectedMs: queueMs + 450, workMs: 450, queueMs, waitedMs: nowMs - atMs, aheadMs: ahead * 450 / 6,
			});

			if (decision === WaitDecision.Send) {
				const position = queues.indexOf(queueMs);
				engines = engines.map((engine, index) => index === position ? addWork(engine, 450, nowMs) : engine);
				inTime += nowMs - atMs + queueMs + 450 <= 800 ? 1 : 0;
				longestQueueMs = Math.max(longestQueueMs, queueMs + 450);
			} else if (decision === WaitDecision.Wait) {
				stillWaiting.push(atMs);
			}
		}

		waiting = stillWaiting;
	}

	return {inTime, longestQueueMs};
};

test('after all callers reconnect at once, no engine queue makes later prompts miss their target, and more prompts meet it', t => {
	const withWaiting = replay(decideWait);
	const withoutWaiting = replay(({waitedMs, expectedMs}) => waitedMs + expectedMs < 3200 ? WaitDecision.Send : WaitDecision.Refuse);
	t.true(withWaiting.longestQueueMs <= 800, `${withWaiting.longestQueueMs} ms`);
	t.true(withWaiting.inTime > withoutWaiting.inTime, `${withWaiting.inTime} in time, ${withoutWaiting.inTime} if all are sent at once`);
});

test('a large prompt waits for memory even if the engine is idle, and is refused if memory is freed too late', t => {
	const full = {...base, memoryWaitMs: 600};
	t.is(decideWait(full), WaitDecision.Wait);
	t.is(decideWait({...full, waitedMs: 2400}), WaitDecision.Refuse);
	t.is(decideWait({...full, aheadMs: 3000}), WaitDecision.Refuse);
});

test('while no instance takes requests, one waits for a back-off that ends in time, and for room under a limit only where it would be lost', t => {
	const input = {
		restLeftMs: undefined, limitLeftMs: undefined, isUnderWay: false, workMs: 60, waitedMs: 0, patienceMs: 1500,
	};
	t.is(decideReopening(input), undefined);
	t.is(decideReopening({...input, limitLeftMs: 700}), undefined);
	t.is(decideReopening({...input, limitLeftMs: 700, isUnderWay: true}), 700);
	t.is(decideReopening({...input, limitLeftMs: 1700, isUnderWay: true}), undefined);
	t.is(decideReopening({...input, restLeftMs: 300, limitLeftMs: 700}), 300);
	t.is(decideReopening({...input, restLeftMs: 2300, limitLeftMs: 700}), undefined);
	t.is(decideReopening({
		...input, restLeftMs: 2300, limitLeftMs: 700, isUnderWay: true,
	}), 700);
});
