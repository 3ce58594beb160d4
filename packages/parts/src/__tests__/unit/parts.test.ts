import test from 'ava';
import fc from 'fast-check';
import {
	addParts, answerPoll, computeFetchDeadline, createPartsIndex, createPartsView, deriveKey, locateParts, removeFreedParts, formatSalt, listFreeableParts, parseSalt, retireParts,
	applyPartsReply, chooseStore,
} from '../../index.js';

const salt = formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2});
const storeAddress = '172.20.0.2:8746';
const createPart = (id: string, tokens = 100) => ({salt, id, tokens});

test('salts differ by weight version, isolated organisation and allowed regions, and parse back to their fields', t => {
	const salts = [
		{isolatedOrganisation: undefined, model: 'a/b', weightVersion: 1},
		{isolatedOrganisation: undefined, model: 'a/b', weightVersion: 2},
		{isolatedOrganisation: 'shared', model: 'a/b', weightVersion: 1},
		{isolatedOrganisation: 'x/y', model: 'a', weightVersion: 1},
		{
			isolatedOrganisation: undefined, model: 'a/b', weightVersion: 1, allowedRegions: ['east'],
		},
		{
			isolatedOrganisation: undefined, model: 'a/b', weightVersion: 1, allowedRegions: ['east', 'west'],
		},
		{
			isolatedOrganisation: undefined, model: 'a/b', weightVersion: 1, allowedRegions: ['east+west/x'],
		},
	];
	t.is(new Set(salts.map(one => formatSalt(one))).size, salts.length);

	for (const one of salts) {
		t.deepEqual(parseSalt(formatSalt(one)), one);
	}

	t.is(parseSalt('someone elses'), undefined);
	t.is(parseSalt('shared/guide/2/elsewhere'), undefined);
	t.is(formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 2}), 'shared/guide/2');
});

test('parts of older weight versions are retired at once, and the least recently used parts where a store is full', t => {
	const old = formatSalt({isolatedOrganisation: undefined, model: 'guide', weightVersion: 1});
	let partsIndex = addParts(createPartsIndex('1'), {storeAddress, parts: [{salt: old, id: 'old', tokens: 100}], clockMs: 0});
	partsIndex = addParts(partsIndex, {storeAddress, parts: Array.from({length: 10}, (_, index) => createPart(`p${index}`)), clockMs: 1});
	partsIndex = answerPoll(partsIndex, {epoch: '1', revision: 0, used: [deriveKey(createPart('p0'))]}, 5).index;
	const retired = retireParts(partsIndex, {capacityTokensByStore: new Map([[storeAddress, 1000]]), weights: new Map([['guide', 2]]), clockMs: 10});
	t.deepEqual([...retired.parts.values()].filter(part => part.retiredAtMs !== undefined).map(part => part.id), ['old', 'p1', 'p2']);
});

test('a gateway that is behind gets the changes that it lacks, and one with another epoch the full list', t => {
	let partsIndex = addParts(createPartsIndex('1'), {storeAddress, parts: [createPart('a'), createPart('b')], clockMs: 0});
	let view = applyPartsReply(createPartsView(), answerPoll(partsIndex, {epoch: undefined, revision: 0, used: []}, 0).reply, 0);
	t.is(view.locations.size, 2);
	partsIndex = retireParts(addParts(partsIndex, {storeAddress, parts: [createPart('c')], clockMs: 1}), {
		capacityTokensByStore: new Map([[storeAddress, 125]]), weights: new Map(), clockMs: 2,
	});
	const {reply} = answerPoll(partsIndex, {epoch: '1', revision: view.revision, used: []}, 2);
	t.false(reply.isWhole);
	view = applyPartsReply(view, reply, 0);
	t.deepEqual([...view.locations.values()].map(place => place.id), ['c']);
	t.true(answerPoll(partsIndex, {epoch: '2', revision: 99, used: []}, 2).reply.isWhole);
});

test('a part is freed only after the deadline of every fetch that a view allows, even where the clock of a gateway stalls', t => {
	// All times are on the upstreams' clock. The gateway's clock loses the share `stalledShare` of the time between reply and fetch.
	const computeSlackMs = ({requestedAtMs, repliedAfterMs, retiredAfterMs, fetchedAfterMs, stalledShare}: Readonly<Record<string, number>>) => {
		const repliedAtMs = requestedAtMs! + repliedAfterMs!;
		const retiredAtMs = repliedAtMs + retiredAfterMs!;
		let partsIndex = addParts(createPartsIndex('1'), {storeAddress, parts: [createPart('a')], clockMs: 0});
		const {reply} = answerPoll(partsIndex, {epoch: undefined, revision: 0, used: []}, repliedAtMs);
		const view = applyPartsReply(createPartsView(), reply, requestedAtMs!);
		partsIndex = retireParts(partsIndex, {capacityTokensByStore: new Map([[storeAddress, 1]]), weights: new Map(), clockMs: retiredAtMs});
		const fetchDeadlineMs = computeFetchDeadline(view, repliedAtMs + fetchedAfterMs! - (stalledShare! * fetchedAfterMs!));
		const freedAtMs = Array.from({length: 12_000}, (_, step) => retiredAtMs + step).find(clockMs => listFreeableParts(partsIndex, storeAddress, clockMs).length > 0)!;

		return freedAtMs - (fetchDeadlineMs ?? 0);
	};

	const slack = fc.record({
		requestedAtMs: fc.integer({min: 0, max: 3000}),
		repliedAfterMs: fc.integer({min: 0, max: 5000}),
		retiredAfterMs: fc.integer({min: 0, max: 5000}),
		fetchedAfterMs: fc.integer({min: 0, max: 5000}),
		stalledShare: fc.constantFrom(0, 0.5, 1),
	});
	const {counterexample} = fc.check(fc.property(slack, one => computeSlackMs(one) > 0), {seed: 7, numRuns: 200});
	t.is(counterexample, null);
});

test('a part of which the store holds fewer tokens than the prompt has is not fetched', t => {
	const partsIndex = addParts(createPartsIndex('1'), {storeAddress, parts: [createPart('a', 50)], clockMs: 0});
	const view = applyPartsReply(createPartsView(), answerPoll(partsIndex, {epoch: undefined, revision: 0, used: []}, 0).reply, 0);
	t.deepEqual(locateParts(view, salt, [{id: 'a', tokens: 100}, {id: 'b', tokens: 1}]), [undefined, undefined]);
	t.is(locateParts(view, salt, [{id: 'a', tokens: 50}])[0]?.storeAddress, storeAddress);
});

test('small parts go to the fast store, and parts that are too large for it to the large store', t => {
	const fast = {address: 'q', capacityTokens: 100_000, firstByteMs: 0.5};
	const large = {address: 'l', capacityTokens: 640_000, firstByteMs: 6};
	const isEmpty = () => 0;
	t.is(chooseStore([fast, large], {id: 'a', tokens: 246}, isEmpty), fast);
	t.is(chooseStore([fast, large], {id: 'a', tokens: 12_800}, isEmpty), large);
	t.is(chooseStore([fast, large], {id: 'a', tokens: 34_000}, isEmpty), large);
	t.is(chooseStore([fast, large], {id: 'a', tokens: 700_000}, isEmpty), undefined);
});

test('when more parts recur than the fast stores can hold, these keep their parts and the slower store gets the others', t => {
	const stores = [{address: 'q1', capacityTokens: 100_000, firstByteMs: 0.5}, {address: 'q2', capacityTokens: 100_000, firstByteMs: 0.5}, {address: 'l', capacityTokens: 640_000, firstByteMs: 6}];
	const capacities = new Map(stores.map(store => [store.address, store.capacityTokens]));
	let partsIndex = createPartsIndex('1');
	let foundCount = 0;
	let requestedCount = 0;

	// 400 parts of 1,500 tokens are requested in turn, one every 20 ms; the view is always up to date.
	for (let step = 0; step < 4000; step++) {
		const clockMs = step * 20;
		const part = createPart(`p${(step * 173) % 400}`, 1500);
		const key = deriveKey(part);
		const place = partsIndex.parts.get(key);
		const isFound = place !== undefined && place.retiredAtMs === undefined;
		requestedCount += step >= 400 ? 1 : 0;
		foundCount += isFound && step >= 400 ? 1 : 0;

		if (place === undefined) {
			const {heldTokens} = applyPartsReply(createPartsView(), answerPoll(partsIndex, {epoch: undefined, revision: 0, used: []}, clockMs).reply, clockMs);
			partsIndex = addParts(partsIndex, {storeAddress: chooseStore(stores, part, address => heldTokens.get(address) ?? 0)!.address, parts: [part], clockMs});
		}

		partsIndex = retireParts(answerPoll(partsIndex, {epoch: undefined, revision: 0, used: [key]}, clockMs).index, {capacityTokensByStore: capacities, weights: new Map(), clockMs});
		const before = partsIndex;
		partsIndex = removeFreedParts(before, new Set(stores.flatMap(store => listFreeableParts(before, store.address, clockMs)).map(one => deriveKey(one))));
	}

	// All of them fit into 0.85 of the capacity of all stores together.
	t.true(foundCount >= requestedCount * 0.95, `${foundCount} of ${requestedCount}`);
});

test('idle parts are retired to make room for new ones', t => {
	let partsIndex = addParts(createPartsIndex('1'), {storeAddress, parts: Array.from({length: 16}, (_, index) => createPart(`old${index}`, 50)), clockMs: 0});
	const capacities = new Map([[storeAddress, 1000]]);
	partsIndex = retireParts(partsIndex, {capacityTokensByStore: capacities, weights: new Map(), clockMs: 19_000});
	t.is(partsIndex.retiredKeys.size, 0);
	partsIndex = addParts(partsIndex, {storeAddress, parts: [createPart('new', 50)], clockMs: 19_000});
	partsIndex = retireParts(partsIndex, {capacityTokensByStore: capacities, weights: new Map(), clockMs: 20_000});
	t.is(partsIndex.retiredKeys.size, 2);
	t.false(partsIndex.retiredKeys.has(deriveKey(createPart('new'))));
});
