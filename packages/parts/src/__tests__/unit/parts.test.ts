import test from 'ava';
import fc from 'fast-check';
import {
	addParts, answerPoll, computeFetchUntil, createKeeper, createPartsView, deriveKey, findPlaces, forgetParts, formatSalt, listFreeable, parseSalt, retireParts,
	takePartsReply, chooseStore,
} from '../../index.js';

const salt = formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2});
const storeAddress = '172.20.0.2:8746';
const createPart = (id: string, tokens = 100) => ({salt, id, tokens});

test('a salt keeps versions and isolated organisations apart, and can be read back', t => {
	const salts = [
		{isolatedOrganisation: undefined, model: 'a/b', weightVersion: 1},
		{isolatedOrganisation: undefined, model: 'a/b', weightVersion: 2},
		{isolatedOrganisation: 'shared', model: 'a/b', weightVersion: 1},
		{isolatedOrganisation: 'x/y', model: 'a', weightVersion: 1},
	];
	t.is(new Set(salts.map(one => formatSalt(one))).size, salts.length);

	for (const one of salts) {
		t.deepEqual(parseSalt(formatSalt(one)), one);
	}

	t.is(parseSalt('someone elses'), undefined);
});

test('parts of older weights are retired at once, and the least recently used where a store is full', t => {
	const old = formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 1});
	let keeper = addParts(createKeeper('1'), {storeAddress, parts: [{salt: old, id: 'old', tokens: 100}], clockMs: 0});
	keeper = addParts(keeper, {storeAddress, parts: Array.from({length: 10}, (_, index) => createPart(`p${index}`)), clockMs: 1});
	keeper = answerPoll(keeper, {epoch: '1', revision: 0, used: [deriveKey(createPart('p0'))]}, 5).keeper;
	const retired = retireParts(keeper, {capacities: new Map([[storeAddress, 1000]]), weights: new Map([['guide', 2]]), clockMs: 10});
	t.deepEqual([...retired.parts.values()].filter(part => part.retiredAtMs !== undefined).map(part => part.id), ['old', 'p1', 'p2']);
});

test('a gateway that lags is told what it lacks, and one of another term everything', t => {
	let keeper = addParts(createKeeper('1'), {storeAddress, parts: [createPart('a'), createPart('b')], clockMs: 0});
	let view = takePartsReply(createPartsView(), answerPoll(keeper, {epoch: undefined, revision: 0, used: []}, 0).reply, 0);
	t.is(view.places.size, 2);
	keeper = retireParts(addParts(keeper, {storeAddress, parts: [createPart('c')], clockMs: 1}), {
		capacities: new Map([[storeAddress, 125]]), weights: new Map(), clockMs: 2,
	});
	const {reply} = answerPoll(keeper, {epoch: '1', revision: view.revision, used: []}, 2);
	t.false(reply.isWhole);
	view = takePartsReply(view, reply, 0);
	t.deepEqual([...view.places.values()].map(place => place.id), ['c']);
	t.true(answerPoll(keeper, {epoch: '2', revision: 99, used: []}, 2).reply.isWhole);
});

test('a part is freed only after the last fetch that any view of it allows, whatever stands still', t => {
	// All times on the upstreams' clock; the gateway's own clock misses `stood` ms of it.
	const computeSlackMs = ({askedAtMs, answeredAfterMs, retiredAfterMs, usedAfterMs, stood}: Readonly<Record<string, number>>) => {
		const answeredAtMs = askedAtMs! + answeredAfterMs!;
		const retiredAtMs = answeredAtMs + retiredAfterMs!;
		let keeper = addParts(createKeeper('1'), {storeAddress, parts: [createPart('a')], clockMs: 0});
		const {reply} = answerPoll(keeper, {epoch: undefined, revision: 0, used: []}, answeredAtMs);
		const view = takePartsReply(createPartsView(), reply, askedAtMs!);
		keeper = retireParts(keeper, {capacities: new Map([[storeAddress, 1]]), weights: new Map(), clockMs: retiredAtMs});
		const until = computeFetchUntil(view, answeredAtMs + usedAfterMs! - (stood! * usedAfterMs!));
		const freedAtMs = Array.from({length: 12_000}, (_, step) => retiredAtMs + step).find(clockMs => listFreeable(keeper, storeAddress, clockMs).length > 0)!;

		return freedAtMs - (until ?? 0);
	};

	const slack = fc.record({
		askedAtMs: fc.integer({min: 0, max: 3000}),
		answeredAfterMs: fc.integer({min: 0, max: 5000}),
		retiredAfterMs: fc.integer({min: 0, max: 5000}),
		usedAfterMs: fc.integer({min: 0, max: 5000}),
		stood: fc.constantFrom(0, 0.5, 1),
	});
	const {counterexample} = fc.check(fc.property(slack, one => computeSlackMs(one) > 0), {seed: 7, numRuns: 200});
	t.is(counterexample, null);
});

test('a part that is kept shorter than the prompt names it is not fetched', t => {
	const keeper = addParts(createKeeper('1'), {storeAddress, parts: [createPart('a', 50)], clockMs: 0});
	const view = takePartsReply(createPartsView(), answerPoll(keeper, {epoch: undefined, revision: 0, used: []}, 0).reply, 0);
	t.deepEqual(findPlaces(view, salt, [{id: 'a', tokens: 100}, {id: 'b', tokens: 1}]), [undefined, undefined]);
	t.is(findPlaces(view, salt, [{id: 'a', tokens: 50}])[0]?.storeAddress, storeAddress);
});

test('short parts go to the quick store, and those that would fill it to the large one', t => {
	const quick = {address: 'q', capacityTokens: 100_000, firstByteMs: 0.5};
	const large = {address: 'l', capacityTokens: 640_000, firstByteMs: 6};
	const isEmpty = () => 0;
	t.is(chooseStore([quick, large], {id: 'a', tokens: 246}, isEmpty), quick);
	t.is(chooseStore([quick, large], {id: 'a', tokens: 12_800}, isEmpty), large);
	t.is(chooseStore([quick, large], {id: 'a', tokens: 34_000}, isEmpty), large);
	t.is(chooseStore([quick, large], {id: 'a', tokens: 700_000}, isEmpty), undefined);
});

test('more short parts than the quick stores hold: these keep what they have, and the rest is kept by the slower one', t => {
	const stores = [{address: 'q1', capacityTokens: 100_000, firstByteMs: 0.5}, {address: 'q2', capacityTokens: 100_000, firstByteMs: 0.5}, {address: 'l', capacityTokens: 640_000, firstByteMs: 6}];
	const capacities = new Map(stores.map(store => [store.address, store.capacityTokens]));
	let keeper = createKeeper('1');
	let found = 0;
	let asked = 0;

	// 400 parts of 1,500 tokens return in turns, one each 20 ms; the view follows at once.
	for (let step = 0; step < 4000; step++) {
		const clockMs = step * 20;
		const part = createPart(`p${(step * 173) % 400}`, 1500);
		const key = deriveKey(part);
		const place = keeper.parts.get(key);
		const isFound = place !== undefined && place.retiredAtMs === undefined;
		asked += step >= 400 ? 1 : 0;
		found += isFound && step >= 400 ? 1 : 0;

		if (place === undefined) {
			const {heldTokens} = takePartsReply(createPartsView(), answerPoll(keeper, {epoch: undefined, revision: 0, used: []}, clockMs).reply, clockMs);
			keeper = addParts(keeper, {storeAddress: chooseStore(stores, part, address => heldTokens.get(address) ?? 0)!.address, parts: [part], clockMs});
		}

		keeper = retireParts(answerPoll(keeper, {epoch: undefined, revision: 0, used: [key]}, clockMs).keeper, {capacities, weights: new Map(), clockMs});
		const before = keeper;
		keeper = forgetParts(before, new Set(stores.flatMap(store => listFreeable(before, store.address, clockMs)).map(one => deriveKey(one))));
	}

	// All fit into 0.85 of the room of all stores together.
	t.true(found >= asked * 0.95, `${found} of ${asked}`);
});

test('parts that nobody asks for any more make room for those that do', t => {
	let keeper = addParts(createKeeper('1'), {storeAddress, parts: Array.from({length: 16}, (_, index) => createPart(`old${index}`, 50)), clockMs: 0});
	const capacities = new Map([[storeAddress, 1000]]);
	keeper = retireParts(keeper, {capacities, weights: new Map(), clockMs: 19_000});
	t.is(keeper.retired.size, 0);
	keeper = addParts(keeper, {storeAddress, parts: [createPart('new', 50)], clockMs: 19_000});
	keeper = retireParts(keeper, {capacities, weights: new Map(), clockMs: 20_000});
	t.is(keeper.retired.size, 2);
	t.false(keeper.retired.has(deriveKey(createPart('new'))));
});
