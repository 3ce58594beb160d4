import test from 'ava';
import {
	createGatewayDirectory, DaemonRole, getHomeListVersion, listGateways, listHomeGatewayAddresses, createHomeList, pickRandomDaemons, pickHomes, recordHomeHello, recordHomeList, expireGateways,
	type DaemonRecord, type HomeCandidate,
} from '../../index.js';

const times = {gatewayAgeMs: 2000, coordinatorAgeMs: 10_000};

const createDaemonRecord = (name: string, overrides: Partial<DaemonRecord> = {}): DaemonRecord => ({
	name, role: DaemonRole.Gateway, incarnation: 1, linkAddress: `${name}:7700`, serviceAddress: `${name}:80`, availabilityZone: 'north', isReady: true, sequence: 1,
	...overrides,
});

test('every coordinator knows the gateways of every other, and sends its list only after a change', t => {
	let first = createGatewayDirectory();
	let second = createGatewayDirectory();
	first = recordHomeHello(first, {card: createDaemonRecord('a'), isPrimary: true, nowMs: 0});
	second = recordHomeHello(second, {card: createDaemonRecord('b'), isPrimary: true, nowMs: 0});
	second = recordHomeList(second, {from: 'first', list: createHomeList(first, 7), nowMs: 0});
	t.deepEqual(listGateways(second, {...times, nowMs: 100}).map(card => card.name), ['a', 'b']);
	t.like(getHomeListVersion(second, 'first'), {incarnation: 7, revision: 1});

	// A repeated hello without changes creates no new list.
	first = recordHomeHello(first, {card: createDaemonRecord('a'), isPrimary: true, nowMs: 500});
	t.is(createHomeList(first, 7).revision, 1);
	second = recordHomeList(second, {from: 'first', list: undefined, nowMs: 500});
	t.is(listGateways(second, {...times, nowMs: 9000}).length, 1, 'its own gateway expired; that of the other coordinator is kept by its list');
	t.is(listGateways(second, {...times, nowMs: 10_600}).length, 0);
});

test('the newest record of a gateway that leaves wins, whichever coordinator received it', t => {
	let home = recordHomeHello(createGatewayDirectory(), {card: createDaemonRecord('a'), isPrimary: false, nowMs: 0});
	const before = createHomeList(home, 1);
	home = recordHomeHello(home, {card: createDaemonRecord('a', {isReady: false, sequence: 2}), isPrimary: false, nowMs: 100});
	t.is(createHomeList(home, 1).revision, before.revision + 1);

	// Another home still sends the older record.
	home = recordHomeList(home, {from: 'other', list: before, nowMs: 100});
	t.false(listGateways(home, {...times, nowMs: 100})[0]!.isReady);

	// A list of an earlier incarnation of that coordinator is ignored.
	const newer = recordHomeList(home, {from: 'other', list: {incarnation: 2, revision: 0, cards: []}, nowMs: 200});
	t.is(recordHomeList(newer, {from: 'other', list: before, nowMs: 300}).listsByCoordinator.get('other')?.list.cards.length, 0);
});

test('a gateway that sent its home no hello for too long is removed, and the revision of the list advances', t => {
	const directory = recordHomeHello(createGatewayDirectory(), {card: createDaemonRecord('a'), isPrimary: true, nowMs: 0});
	t.is(expireGateways(directory, {...times, nowMs: 2000}), directory);
	const expired = expireGateways(directory, {...times, nowMs: 2001});
	t.is(expired.revision, directory.revision + 1);
	t.deepEqual(listHomeGatewayAddresses(expired), []);
});

test('a hello of an earlier incarnation is ignored', t => {
	const directory = recordHomeHello(createGatewayDirectory(), {card: createDaemonRecord('a', {incarnation: 5}), isPrimary: true, nowMs: 0});
	t.is(recordHomeHello(directory, {card: createDaemonRecord('a', {incarnation: 4, isReady: false}), isPrimary: true, nowMs: 1}), directory);
});

const candidates: readonly HomeCandidate[] = Array.from({length: 6}, (_, index) => ({
	address: `c${index}`, availabilityZone: index % 2 === 0 ? 'north' : 'south', isHealthy: true, isLeader: false,
}));

test('gateways have two homes, the first in their availability zone, and spread over the coordinators', t => {
	const counts = new Map<string, number>();

	for (let number = 0; number < 300; number++) {
		const homes = pickHomes(`front-${number}`, 'north', candidates);
		t.is(homes.length, 2);
		t.true(['c0', 'c2', 'c4'].includes(homes[0]!));
		counts.set(homes[0]!, (counts.get(homes[0]!) ?? 0) + 1);
	}

	t.is(counts.size, 3);
	t.true([...counts.values()].every(count => count > 60 && count < 140), 'a third each, within five standard deviations');
});

test('an unhealthy coordinator is not picked, and the other gateways keep their homes', t => {
	const [primary] = pickHomes('front-1', 'north', candidates);
	const withUnhealthy = candidates.map(one => one.address === primary ? {...one, isHealthy: false} : one);
	t.not(pickHomes('front-1', 'north', withUnhealthy)[0], primary);

	for (let number = 0; number < 100; number++) {
		const before = pickHomes(`front-${number}`, 'north', candidates);
		const after = pickHomes(`front-${number}`, 'north', withUnhealthy);
		t.true(before[0] === primary || before[0] === after[0]);
	}

	// The leader is picked only if no other coordinator is healthy.
	const withLeader = candidates.map(one => one.address === primary ? {...one, isLeader: true} : one);
	t.false(pickHomes('front-1', 'north', withLeader).includes(primary!));
	t.is(pickHomes('front-1', 'north', withLeader.map(one => ({...one, isHealthy: one.address === primary})))[0], primary);

	// If no coordinator is healthy, unhealthy ones are picked.
	t.is(pickHomes('front-1', 'north', candidates.map(one => ({...one, isHealthy: false}))).length, 2);
	t.deepEqual(pickHomes('front-1', 'north', []), []);
});

test('with more gateways than a response can name, all get their share of callers', t => {
	const cards = Array.from({length: 265}, (_, index) => createDaemonRecord(`front-${index}`));
	const counts = new Map<string, number>();
	let state = 5;
	const random = () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;

		return state / 2_147_483_648;
	};

	for (let response = 0; response < 500; response++) {
		const picked = pickRandomDaemons(cards, 64, random);
		t.is(new Set(picked.map(card => card.name)).size, 64);

		for (const {name} of picked) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}
	}

	// Each is expected in 121 responses (500 * 64 / 265), with a standard deviation of 10.
	t.is(counts.size, 265);
	t.true([...counts.values()].every(count => count > 70 && count < 172));
	t.is(pickRandomDaemons(cards.slice(0, 3), 64, random).length, 3);
});
