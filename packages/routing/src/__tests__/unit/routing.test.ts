import test from 'ava';
import fc from 'fast-check';
import {
	chooseEngine, hashPieces, createPieceDirectory, estimateCandidate, estimateReuseProbability, Priority, shouldExport, type EngineView,
} from '../../index.js';

const scope = {
	organisation: 'okahandja', model: 'assistant', adapter: '', weightVersion: '1',
};
const idle: EngineView = {
	id: 'a', availabilityZone: 'north', running: 0, waitingShort: 0, waitingLong: 0, longInProgress: 0, slots: 8, queuedShortTokens: 0, queuedLongTokens: 0,
	prefillTokensPerSecond: 8000,
};
const plan = {
	tokens: 40_000, pieces: 40, availabilityZone: 'north', priority: Priority.Long, reservedShortShare: 0.25,
};
const options = {
	plan, engines: [idle], heldByEngine: new Map<string, number>(), stores: [], weights: {firstToken: 1, recompute: 0.1, link: 0.0005}, bytesPerPiece: 32e6,
};

test('pieces of different organisations, models, adapters, weights or prefixes have different hashes', t => {
	const prompt = 'x'.repeat(12_000);
	const base = hashPieces(scope, prompt);
	t.is(base.length, 3);
	const others = [
		hashPieces({...scope, organisation: 'antioquia'}, prompt),
		hashPieces({...scope, model: 'other'}, prompt),
		hashPieces({...scope, adapter: 'a'}, prompt),
		hashPieces({...scope, weightVersion: '2'}, prompt),
		hashPieces(scope, `y${prompt.slice(1)}`),
	];
	t.true(others.every(pieces => pieces.every(piece => !base.includes(piece))));
	t.deepEqual(hashPieces(scope, `${prompt}more`), base);
});

test('a directory counts only contiguous prefixes, and evicts pieces beyond its limit', t => {
	const directory = createPieceDirectory({maxPieces: 4});
	directory.note('a', ['p1', 'p2', 'p4'], true);
	t.deepEqual([...directory.countHeldPieces(['p1', 'p2', 'p3', 'p4'])], [['a', 2]]);
	directory.note('b', ['q1', 'q2', 'q3', 'q4'], true);
	t.is(directory.getSize(), 4);
	directory.dropUpstream('b');
	t.is(directory.getSize(), 0);
});

test('the engine that holds a prompt is chosen until its queue costs more than computing elsewhere', t => {
	const busy = {...idle, id: 'b', queuedLongTokens: 8000};
	const engines = [idle, busy];
	t.is(chooseEngine({...options, engines, heldByEngine: new Map([['b', 40]])}).chosen?.upstreamId, 'b');
	t.is(chooseEngine({...options, engines}).chosen?.upstreamId, 'a');
});

test('a store is used if its link is idle, and not if its link has a long queue', t => {
	const store = {
		id: 's', heldPieces: 40, freeBytesPerSecond: 1.25e9, queuedBytes: 0,
	};
	t.is(estimateCandidate(idle, {...options, stores: [store]}).storeId, 's');
	t.is(estimateCandidate(idle, {...options, stores: [{...store, queuedBytes: 20e9}]}).storeId, undefined);
});

test('a long prompt is not sent while all slots for long prompts are occupied; a short one always is', t => {
	const full = {...idle, longInProgress: 6};
	t.is(chooseEngine({...options, engines: [full]}).chosen, undefined);
	t.is(chooseEngine({
		...options, engines: [full], plan: {
			...plan, tokens: 100, pieces: 0, priority: Priority.Short,
		},
	}).chosen?.upstreamId, 'a');
	t.is(chooseEngine({...options, engines: [{...idle, queuedLongTokens: 20_000}]}).chosen, undefined);
});

test('for any set of engines, the cheapest is chosen and the candidates are sorted by cost', t => {
	const engines = fc.array(fc.record({queued: fc.nat(10_000), held: fc.nat(40), running: fc.nat(12)}), {minLength: 1, maxLength: 40});
	t.notThrows(() => {
		fc.assert(fc.property(engines, drawn => {
			const views = drawn.map(({queued, running}, index) => ({
				...idle, id: `e${index}`, queuedLongTokens: queued, running,
			}));
			const heldByEngine = new Map(drawn.map(({held}, index) => [`e${index}`, held]));
			const {candidates, chosen} = chooseEngine({...options, engines: views, heldByEngine});
			const least = Math.min(...views.map(view => estimateCandidate(view, {...options, heldByEngine}).cost));

			return chosen?.cost === least && candidates.every((one, index) => index === 0 || candidates[index - 1]!.cost <= one.cost);
		}), {seed: 5});
	});
});

test('a prompt is exported over an idle link if its expected reuse saves more time than the transfer takes', t => {
	const question = {
		reuseProbability: 0.9, missingPieces: 40, pieceTokens: 1000, prefillTokensPerSecond: 8000, bytesPerPiece: 32e6, linkBytesPerSecond: 1.25e9, queuedBytes: 0,
	};
	t.true(shouldExport(question));
	t.false(shouldExport({...question, reuseProbability: 0.1}), 'a scan');
	t.false(shouldExport({...question, queuedBytes: 10e9}), 'a busy link');
	t.false(shouldExport({...question, missingPieces: 0}));
	t.true(estimateReuseProbability({seenOnce: 0, returned: 0}, 0) > 0.5, 'without data, reuse is assumed');
	t.true(estimateReuseProbability({seenOnce: 10_000, returned: 100}, 0) < 0.1, 'many scans lower the estimate');
});

test('the lower bound never excludes an engine that is among the cheapest', t => {
	const engineArbitrary = fc.record({
		zone: fc.nat(2), running: fc.nat(10), longInProgress: fc.nat(5), queuedShortTokens: fc.nat(3000), queuedLongTokens: fc.nat(12_000), held: fc.nat(12), rate: fc.constantFrom(4000, 8000),
	});
	const storeArbitrary = fc.record({heldPieces: fc.nat(12), freeBytesPerSecond: fc.constantFrom(1e7, 1e9), queuedBytes: fc.nat(1_000_000_000)});

	t.notThrows(() => {
		fc.assert(fc.property(fc.array(engineArbitrary, {maxLength: 40}), fc.array(storeArbitrary, {maxLength: 2}), fc.boolean(), (drawn, drawnStores, isLong) => {
			const engines = drawn.map(({zone, held: _held, rate, ...rest}, index) => ({
				id: `e${index}`, availabilityZone: `z${zone}`, waitingShort: 0, waitingLong: 0, slots: 8, prefillTokensPerSecond: rate, ...rest,
			}));
			const options = {
				plan: {
					tokens: 12_500, pieces: 12, availabilityZone: 'z0', priority: isLong ? Priority.Long : Priority.Short, reservedShortShare: 0.25,
				},
				engines,
				heldByEngine: new Map(drawn.flatMap(({held}, index) => held > 6 ? [[`e${index}`, held] as const] : [])),
				stores: drawnStores.map((store, index) => ({id: `s${index}`, ...store})),
				weights: {firstToken: 1, recompute: 0.1, link: 0.001},
				bytesPerPiece: 32e6,
			};
			// With one engine the lower bound excludes none.
			const allCandidates = engines.flatMap(engine => chooseEngine({...options, engines: [engine]}).candidates);
			const cheapest = allCandidates.map(candidate => candidate.cost).toSorted((a, b) => a - b).slice(0, 8);
			const chosen = chooseEngine(options).candidates.map(candidate => candidate.cost);

			return chosen.length === cheapest.length && chosen.every((cost, index) => Math.abs(cost - cheapest[index]!) < 1e-9);
		}), {seed: 21, numRuns: 500});
	});
});
