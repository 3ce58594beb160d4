import test from 'ava';
import {CallerEviction, createCallerBudget} from '../../caller-budget.js';
import {pickConnectionToClose, type LatestExchange} from '../../connection-limit.js';
import {createMemoryBudget, pickSlowest, pickSlowestOrLargest} from '../../memory-budget.js';

const mebibyte = 1_048_576;

// Replays a crowd of bodies that stop short of their end, and then others that are sent as fast as they can be.
test('bodies that stopped give way to those that are sent, and small ones to none', t => {
	let nowMs = 0;
	const evicted: string[] = [];
	const budget = createMemoryBudget({maxBytes: 4 * mebibyte, pickVictim: pickSlowest, readNowMs: () => nowMs});
	const open = (name: string) => budget.open(() => {
		evicted.push(name);
	});
	const small = open('small');
	small.resize(1000);
	const stopped = [open('stopped first'), open('stopped next')];

	for (const [index, holding] of stopped.entries()) {
		nowMs = index;
		holding.resize(mebibyte);
	}

	nowMs = 500;
	const slow = open('slow');
	slow.resize(mebibyte);
	nowMs = 1400;
	// One byte now and then is no progress.
	stopped[0]!.recordProgress(mebibyte + 1);
	const sent = open('sent');
	sent.resize(1.5 * mebibyte);
	t.deepEqual(evicted, ['stopped first']);
	sent.resize(2 * mebibyte);
	t.deepEqual(evicted, ['stopped first', 'stopped next']);
	// None is slow now: the latest gives way.
	open('latest').resize(3 * mebibyte);
	t.deepEqual(evicted, ['stopped first', 'stopped next', 'latest']);
	t.true(small.resize(2000));
	t.true(slow.resize(mebibyte));
});

// Replays callers that take no answers, beside others and an answer without end.
test('answers that are not taken give way first, and else the latest of the largest', t => {
	const candidates = [['not taken', 2, 0], ['small', 0.01, 0], ['large', 2, 1500], ['latest large', 2, 1600], ['latest', 1, 1700]].map(([name, size, advancedAtMs]) => ({
		name: name as string, bytes: (size as number) * mebibyte, advancedAtMs: advancedAtMs as number,
	}));
	t.is(pickSlowestOrLargest(candidates, 2000)?.name, 'not taken');
	t.is(pickSlowestOrLargest(candidates.slice(1), 2000)?.name, 'latest large');
	t.is(pickSlowest(candidates.slice(1), 2000)?.name, 'latest');
});

const whole: LatestExchange = {request: {complete: true}, response: {writableEnded: false}};
const untaken: LatestExchange = {request: {complete: true}, response: {writableEnded: true}};
const incomplete: LatestExchange = {request: {complete: false}, response: {writableEnded: false}};

// Replays a crowd that takes all connections and stops half-way.
test('the connection that has waited longest is closed, and none whose request is served', t => {
	t.is(pickConnectionToClose({idle: ['a', 'b', 'new'], busy: [['c', incomplete]], newest: 'new'}), 'a');
	t.is(pickConnectionToClose({idle: ['new'], busy: [['c', whole], ['d', untaken], ['e', incomplete]], newest: 'new'}), 'e');
	t.is(pickConnectionToClose({idle: ['new'], busy: [['c', whole], ['d', untaken], ['link', undefined]], newest: 'new'}), 'd');
	t.is(pickConnectionToClose({idle: ['new'], busy: [['c', whole], ['link', undefined]], newest: 'new'}), 'new');
});

// Guards against one log line for each of a crowd.
test('evictions are reported at the first one, and then once in a while', t => {
	let nowMs = 0;
	const reports: Array<number | undefined> = [];
	const budget = createCallerBudget({readNowMs: () => nowMs});
	const unregister = budget.registerReporter(evictions => {
		reports.push(evictions.get(CallerEviction.RequestsAhead));
	});

	for (; nowMs < 25_000; nowMs += 10) {
		budget.recordEviction(CallerEviction.RequestsAhead);
	}

	t.deepEqual(reports, [1, 1001, 2001]);
	unregister();
	nowMs = 60_000;
	budget.recordEviction(CallerEviction.RequestsAhead);
	t.is(reports.length, 3);
	t.is(budget.listEvictions().get(CallerEviction.RequestsAhead), 2501);
});
