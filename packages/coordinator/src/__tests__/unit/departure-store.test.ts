import {setImmediate as waitForTurn} from 'node:timers/promises';
import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord} from '@fescuestair/instances';
import {createLogger} from '@fescuestair/runtime';
import {createDepartureStore} from '../../departure-store.js';

const createRecord = (id: string, stage = InstanceStage.Gone, incarnation = 1): InstanceRecord => ({
	id, service: 'app', address: '10.0.0.9:8080', availabilityZone: 'north', slots: 6, stage, coldLeftMs: 0, models: [], incarnation, sequence: 1,
});

/** A disk whose writes end when the test says so. */
const openStore = (values: readonly unknown[] = []) => {
	const clock = createManualClock(1000);
	const appended: unknown[] = [];
	const ends: Array<(error?: Error) => void> = [];
	const departures = createDepartureStore({
		clock,
		log: createLogger({instance: 'core-1', isTerminal: false, writeLine: () => true}),
		store: {
			load: async () => values,
			append: async value => new Promise((resolve, reject) => {
				appended.push(value);
				ends.push(error => {
					if (error === undefined) {
						resolve();
					} else {
						reject(error);
					}
				});
			}),
			countBytes: () => 0,
			close: async () => undefined,
		},
	});

	return {
		departures, clock, appended, ends,
	};
};

test('a departure is saved once, and those that come while the disk is busy share the next write', async t => {
	const {departures, appended, ends} = openStore();
	const saves = [departures.save(createRecord('a'))];
	await waitForTurn();
	saves.push(departures.save(createRecord('b')), departures.save(createRecord('c', InstanceStage.Draining)));
	await waitForTurn();
	t.is(appended.length, 1);
	ends[0]!();
	await saves[0];
	await waitForTurn();
	t.is(appended.length, 2);
	t.is((appended[1] as unknown[]).length, 2);
	ends[1]!();
	await Promise.all(saves);
	await departures.save(createRecord('b'));
	t.is(appended.length, 2);
	// Another start under the same id is another departure.
	const again = departures.save(createRecord('b', InstanceStage.Gone, 2));
	ends[2]!();
	await again;
	t.is(appended.length, 3);
});

test('a departure that is reported again while the disk stalls waits for the same write', async t => {
	const {departures, appended, ends} = openStore();
	const saves = Array.from({length: 5}, async () => departures.save(createRecord('a')));
	await waitForTurn();
	ends[0]!();
	await Promise.all(saves);
	await waitForTurn();
	t.is(appended.length, 1);
	t.is((appended[0] as unknown[]).length, 1);
});

test('a departure that the disk does not take is not saved, and is tried again', async t => {
	const {departures, ends} = openStore();
	const failing = departures.save(createRecord('a'));
	ends[0]!(new Error('the disk is full'));
	await t.throwsAsync(failing, {message: 'the disk is full'});
	const second = departures.save(createRecord('a'));
	await waitForTurn();
	ends[1]!();
	await t.notThrowsAsync(second);
});

test('the departure of an instance that drains for long is saved again before it expires', async t => {
	const {departures, clock, appended, ends} = openStore();
	const first = departures.save(createRecord('a', InstanceStage.Draining));
	ends[0]!();
	await first;
	clock.advance(29_000);
	await departures.save(createRecord('a', InstanceStage.Draining));
	t.is(appended.length, 1);
	clock.advance(2000);
	const again = departures.save(createRecord('a', InstanceStage.Draining));
	await waitForTurn();
	ends[1]!();
	await again;
	t.is(appended.length, 2);
});

test('departures of the process before are loaded, and what else is on the disk is left out', async t => {
	const gone = {record: createRecord('a'), ageMs: 0, loadingLeftMs: 0};
	const ready = {record: createRecord('b', InstanceStage.Ready), ageMs: 0, loadingLeftMs: 0};
	const {departures, appended} = openStore([[gone, ready], 'no departures', [{record: {id: 7}}]]);
	t.deepEqual(await departures.load(), [gone]);
	await departures.save(gone.record);
	t.deepEqual(appended, []);
});

test('a disk that cannot be read leaves no departures, and the process starts', async t => {
	const departures = createDepartureStore({
		clock: createManualClock(0),
		log: createLogger({instance: 'core-1', isTerminal: false, writeLine: () => true}),
		store: {
			async load() {
				throw new Error('cannot be read');
			},
			append: async () => undefined, countBytes: () => 0, close: async () => undefined,
		},
	});
	t.deepEqual(await departures.load(), []);
	await t.notThrowsAsync(async () => departures.save(createRecord('a')));
});
