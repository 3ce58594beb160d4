import test from 'ava';
import {
	applyEvacuationStep, createEvacuationView, decodeEvacuatedZones, diffEvacuations, EvacuationStep, getEvacuationEndedAtMs, isEvacuationZone, recordEvacuatedZones, type EvacuatedZones,
} from '../../index.js';

const begin = (zones: EvacuatedZones, zone: string) => applyEvacuationStep(zones, {step: EvacuationStep.Begin, zone});
const finish = (zones: EvacuatedZones, zone: string) => applyEvacuationStep(zones, {step: EvacuationStep.Finish, zone});

test('a zone is evacuated from its begin to its finish, and resent changes return the same set', t => {
	const one = begin([], 'south');
	t.deepEqual(one, ['south']);
	t.is(begin(one, 'south'), one);
	t.is(finish(one, 'north'), one);
	const two = begin(one, 'north');
	t.deepEqual(two, ['north', 'south']);
	t.deepEqual(finish(two, 'south'), ['north']);
	t.deepEqual(finish(begin(begin([], 'north'), 'north'), 'north'), []);
});

test('snapshots of older software hold no evacuations, and an oversized name is refused', t => {
	t.deepEqual(decodeEvacuatedZones(undefined), []);
	t.deepEqual(decodeEvacuatedZones(['north']), ['north']);
	t.true(isEvacuationZone('north'));
	t.false(isEvacuationZone('n'.repeat(501)));
});

test('a process knows for a minute when an evacuation ended, unless it begins again', t => {
	const begun = recordEvacuatedZones(createEvacuationView(), ['north', 'south'], 1000);
	t.deepEqual(diffEvacuations(begun, ['south', 'west']), {begun: ['west'], ended: ['north']});
	t.is(recordEvacuatedZones(begun, undefined, 2000), begun);
	const ended = recordEvacuatedZones(begun, ['south'], 5000);
	t.is(getEvacuationEndedAtMs(ended, 'north', 64_999), 5000);
	t.is(getEvacuationEndedAtMs(ended, 'north', 65_000), undefined);
	t.is(getEvacuationEndedAtMs(ended, 'south', 5000), undefined);
	t.is(getEvacuationEndedAtMs(recordEvacuatedZones(ended, ['south'], 9000), 'north', 9000), 5000);
	t.is(getEvacuationEndedAtMs(recordEvacuatedZones(ended, ['north'], 9000), 'north', 9000), undefined);
});
