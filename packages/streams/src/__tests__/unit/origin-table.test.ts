import test from 'ava';
import {
	createOriginTable, decodeOriginNote, encodeOriginNote, isOriginNotes, type RecordedOrigin,
} from '../../index.js';

const createRecord = (softwareVersion: string | undefined, deadlineMs = 10_000): RecordedOrigin => ({origin: {service: 'app', softwareVersion}, begunAtMs: 0, deadlineMs});

test('a record is found until its deadline, and makes room afterwards', t => {
	const table = createOriginTable();
	table.record('a', createRecord('v1'), 0);
	t.is(table.get('a', 9999)?.origin.softwareVersion, 'v1');
	t.is(table.get('a', 10_000), undefined);
	t.is(table.get('b', 0), undefined);
	table.record('b', createRecord('v2', 30_000), 12_000);
	t.is(table.count(), 1);
	t.deepEqual([...table.list(12_000)].map(([streamId]) => streamId), ['b']);
});

test('a record that is reported again stays, and one that differs makes the origin unknown for good', t => {
	const table = createOriginTable();
	table.record('a', createRecord('v1'), 0);
	table.record('a', createRecord('v1', 12_000), 0);
	t.like(table.get('a', 11_000), {origin: {softwareVersion: 'v1'}});

	for (const version of ['v2', 'v1']) {
		table.record('a', createRecord(version, 12_000), 0);
		t.is(table.get('a', 0)?.origin.softwareVersion, undefined);
	}

	t.not(table.get('a', 0), undefined);
});

test('the oldest records give way where there is no room, and are counted', t => {
	const table = createOriginTable({maxRecords: 2});

	for (const streamId of ['a', 'b', 'c']) {
		table.record(streamId, createRecord('v1'), 0);
	}

	t.deepEqual([...table.list(0)].map(([streamId]) => streamId), ['b', 'c']);
	t.is(table.countDropped(), 1);
});

test('a note carries spans, since clocks differ, and an unknown version stays unknown', t => {
	for (const version of ['v1', undefined]) {
		const note = encodeOriginNote('a', createRecord(version), 4000);
		t.true(isOriginNotes([note]));
		t.deepEqual(decodeOriginNote(note, 104_000), {origin: {service: 'app', softwareVersion: version}, begunAtMs: 100_000, deadlineMs: 110_000});
	}
});

test('malformed notes are recognised', t => {
	for (const notes of [undefined, [['a', 'app', 'v1', 1]], [['a', 'app', 7, 1, 1]], [['a', 'app', 'v1', -1, 1]], [['a', 'app', 'v1', Number.NaN, 1]], [['x'.repeat(2000), 'app', 'v1', 1, 1]]]) {
		t.false(isOriginNotes(notes));
	}

	t.true(isOriginNotes([]));
});

test('a record whose caller waits for longer than any is taken with the others of its message', t => {
	const notes = [createRecord('v1'), createRecord('v1', 1e12)].map((recorded, index) => encodeOriginNote(`r-${index}`, recorded, 0));
	t.true(isOriginNotes(notes));
	t.true(isOriginNotes([encodeOriginNote('r', createRecord('v1', 1e12), 9e11)]));
});

test('a record tells whether it made anything known', t => {
	const table = createOriginTable();
	t.true(table.record('a', createRecord('v1'), 0));
	t.false(table.record('a', createRecord('v1'), 0));
	t.false(table.record('a', createRecord('v1', 10_200), 0));
	t.true(table.record('a', createRecord('v1', 15_000), 0));
	t.true(table.record('a', createRecord('v2'), 0));
	t.false(table.record('a', createRecord('v1'), 0));
	t.true(table.record('a', createRecord('v1', 25_000), 20_000));
});
