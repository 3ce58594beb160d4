import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord, type InstanceRegistry} from '@fescuestair/instances';
import {HealthEvent} from '@fescuestair/routing';
import {createLog, createServedMetrics} from '@fescuestair/runtime';
import {createInstanceBook} from '../../instance-book.js';

const createRecord = (id: string, overrides: Partial<InstanceRecord> = {}): InstanceRecord => ({
	id, service: 'app', address: `127.0.0.1:${id.at(-1)}`, availabilityZone: 'north', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
	incarnation: 1, sequence: 1, ...overrides,
});

const openBook = (t: ExecutionContext, count: number) => {
	const clock = createManualClock();
	const left: string[] = [];
	const lines: string[] = [];
	const book = createInstanceBook({
		clock,
		metrics: createServedMetrics(),
		getMaxConnections: () => 4,
		onWork: () => undefined,
		onLeaving({id}) {
			left.push(id);
		},
		log: createLog({
			instance: 'test', isTerminal: false, writeLine(line) {
				lines.push(line);

				return true;
			},
		}),
	});
	t.teardown(() => {
		book.stop();
	});
	const records = new Map(Array.from({length: count}, (_, index) => [`i-${index}`, createRecord(`i-${index}`)]));

	const announce = (...changed: readonly InstanceRecord[]) => {
		for (const record of changed) {
			records.set(record.id, record);
		}

		const held: InstanceRegistry['held'] = new Map([...records].map(([id, record]) => [id, {
			record, heardAtMs: clock.readMonotonicMs(), revision: 1, loadingDeadlineMs: 0,
		}]));
		book.applyRegistry({held, revision: 1});
	};

	announce();

	return {
		book, clock, left, lines, announce, listOpen: () => book.listOpen('app').map(entry => entry.held.record.id),
	};
};

test('half the instances ask for a rest at once while the others are full: those that rest get nothing, and the full ones take what comes', t => {
	const {book, clock, announce, listOpen} = openBook(t, 8);

	for (let index = 0; index < 8; index++) {
		book.noteRefused(book.get(`i-${index}`)!, index < 4 ? 2500 : undefined);
	}

	t.deepEqual(listOpen(), ['i-4', 'i-5', 'i-6', 'i-7']);
	t.deepEqual(book.countStandings('app'), {resting: 4, full: 4});

	for (let passedMs = 0; passedMs < 2500; passedMs += 100) {
		announce();
		t.false(listOpen().some(id => ['i-0', 'i-1', 'i-2', 'i-3'].includes(id)));
		clock.advance(100);
	}

	t.is(listOpen().length, 8);
});

test('while all instances rest, none is fallen back to, and the end of the first rest is known', t => {
	const {book, clock, announce, listOpen} = openBook(t, 3);

	for (const [index, restMs] of [2500, 900, 4000].entries()) {
		book.noteRefused(book.get(`i-${index}`)!, restMs);
	}

	t.deepEqual(listOpen(), []);
	t.is(book.findRestEndMs('app'), clock.readMonotonicMs() + 900);
	clock.advance(900);
	announce();
	t.deepEqual(listOpen(), ['i-1']);
});

test('a rest that cannot be meant is said in the log and rests nobody for long', t => {
	const {book, clock, lines, listOpen} = openBook(t, 1);
	book.noteRefused(book.get('i-0')!, Number.NaN);
	t.true(lines.some(line => line.includes('instance asks for a rest that cannot be meant')));
	clock.advance(200);
	t.deepEqual(listOpen(), ['i-0']);
	t.is(book.findRestEndMs('app'), undefined);
});

test('leaving that was heard outlasts heartbeats, answers and failures, is told once, and ends with the next start', t => {
	const {book, left, announce, listOpen} = openBook(t, 2);
	const entry = book.get('i-0')!;
	book.noteLeaving(entry, createRecord('i-0'));
	book.noteLeaving(entry, createRecord('i-0'));
	t.deepEqual(left, ['i-0']);
	announce(createRecord('i-0', {sequence: 2}));
	book.noteBytes(entry);
	book.judge(entry, HealthEvent.Answered);
	t.deepEqual(listOpen(), ['i-1']);
	announce(createRecord('i-0', {incarnation: 2}));
	t.deepEqual(listOpen(), ['i-0', 'i-1']);

	// A late answer of the start before, to a request that was sent to it.
	book.noteLeaving(book.get('i-0')!, createRecord('i-0'));
	t.deepEqual(listOpen(), ['i-0', 'i-1']);
});
