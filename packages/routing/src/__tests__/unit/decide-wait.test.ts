import test from 'ava';
import {
	addWork, computeWaitMs, createWorkBacklog, decideWait, WaitDecision, type WorkBacklog,
} from '../../index.js';

const base = {
	expectedMs: 400, queueMs: 0, workMs: 350, memoryWaitMs: 0, waitedMs: 0, aheadMs: 0, targetMs: 800, patienceMs: 3200,
};

test('a request that is in time, or finds an instance free, is sent', t => {
	t.is(decideWait(base), WaitDecision.Send);
	t.is(decideWait({...base, waitedMs: 1500}), WaitDecision.Send);
});

test('a long one that would be late waits, and is refused once it is lost', t => {
	const late = {...base, expectedMs: 1800, queueMs: 1400};
	t.is(decideWait(late), WaitDecision.Wait);
	t.is(decideWait({...late, waitedMs: 1700}), WaitDecision.Wait);
	t.is(decideWait({...late, waitedMs: 2900}), WaitDecision.Refuse);
	t.is(decideWait({...late, aheadMs: 3000}), WaitDecision.Refuse);
	t.is(decideWait({...late, workMs: 3300, expectedMs: 4700}), WaitDecision.Refuse);
});

test('a short one never waits here', t => {
	t.is(decideWait({
		...base, expectedMs: 900, queueMs: 880, workMs: 8, targetMs: 300, patienceMs: 2000,
	}), WaitDecision.Send);
	t.is(decideWait({
		...base, expectedMs: 2100, queueMs: 2000, workMs: 8, targetMs: 300, patienceMs: 2000,
	}), WaitDecision.Refuse);
});

// All callers come back at once: 40 long prompts within 0.4 s, on six engines, and then ten a second as usual.
const replay = (decide: typeof decideWait) => {
	let engines: WorkBacklog[] = Array.from({length: 6}, () => createWorkBacklog());
	const arrivals = [...Array.from({length: 40}, (_, index) => index * 10), ...Array.from({length: 50}, (_, index) => 1000 + (index * 100))];
	let waiting: number[] = [];
	let inTime = 0;
	let longestQueueMs = 0;

	for (let nowMs = 0; nowMs < 8000; nowMs += 10) {
		waiting.push(...arrivals.filter(atMs => atMs >= nowMs && atMs < nowMs + 10));
		const still: number[] = [];

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
				still.push(atMs);
			}
		}

		waiting = still;
	}

	return {inTime, longestQueueMs};
};

test('after all came back at once, engines never have a queue that makes later prompts late, and more are in time', t => {
	const held = replay(decideWait);
	const sentOn = replay(({waitedMs, expectedMs}) => waitedMs + expectedMs < 3200 ? WaitDecision.Send : WaitDecision.Refuse);
	t.true(held.longestQueueMs <= 800, `${held.longestQueueMs} ms`);
	t.true(held.inTime > sentOn.inTime, `${held.inTime} in time, ${sentOn.inTime} where all are sent on`);
});

test('a large prompt waits for memory though the engine could begin to read it, and is refused where it frees too late', t => {
	const full = {...base, memoryWaitMs: 600};
	t.is(decideWait(full), WaitDecision.Wait);
	t.is(decideWait({...full, waitedMs: 2400}), WaitDecision.Refuse);
	t.is(decideWait({...full, aheadMs: 3000}), WaitDecision.Refuse);
});
