import test from 'ava';
import {pickHomes, pickRecordKeepers, type HomeCandidate} from '../../index.js';

const createCandidate = (address: string, availabilityZone: string | undefined, isHealthy = true): HomeCandidate => ({
	address, availabilityZone, isHealthy, isLeader: false,
});
const candidates = [createCandidate('a1', 'a'), createCandidate('a2', 'a'), createCandidate('b1', 'b'), createCandidate('c1', 'c', false)];

test('records are kept at the primary home and at a healthy coordinator of another availability zone', t => {
	for (let index = 0; index < 20; index++) {
		const name = `front-${index}`;
		const [home] = pickHomes(name, 'a', candidates);
		t.regex(home!, /^a/v);
		t.deepEqual(pickRecordKeepers(name, home, candidates), [home!, 'b1']);
	}
});

test('without a healthy coordinator in another zone, records are kept in the same one, and without another at the home alone', t => {
	t.deepEqual(pickRecordKeepers('front', 'a1', candidates.filter(({address}) => address !== 'b1')), ['a1', 'a2']);
	t.deepEqual(pickRecordKeepers('front', 'a1', candidates.slice(0, 1)), ['a1']);
	t.deepEqual(pickRecordKeepers('front', undefined, candidates), []);
});
