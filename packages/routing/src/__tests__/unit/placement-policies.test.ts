import test from 'ava';
import {
	createChooser, createInstanceLoad, PlacementPolicy, type InstanceOption, type PlacementInput,
} from '../../index.js';

const createOption = (id: string, own: number): InstanceOption => ({
	id, availabilityZone: 'north', slots: 4, load: {...createInstanceLoad(), own}, failureShare: 0, isOutdated: false, cachedTokens: 0,
	fetchableTokens: 0, fetchMs: 0,
});
const options = [createOption('c', 3), createOption('a', 2), createOption('b', 0)];
const createInput = (affinityKey?: string): PlacementInput => ({
	options, nowMs: 0, availabilityZone: 'north', prompt: affinityKey === undefined
		? undefined
		: {
			promptTokens: 400, outputTokens: 10, cacheTokens: 77_000, prefillTokensPerMs: 40, affinityKey, sharedTokens: 300,
		},
});

test('round robin chooses all instances in turn', t => {
	const choose = createChooser(PlacementPolicy.RoundRobin);
	t.deepEqual(Array.from({length: 4}, () => choose(createInput())?.id), ['a', 'b', 'c', 'a']);
});

test('least load chooses the instance with the fewest requests per slot', t => {
	t.is(createChooser(PlacementPolicy.LeastLoad)(createInput())?.id, 'b');
});

test('prefix affinity sends a shared part to one instance and spreads different parts', t => {
	const choose = createChooser(PlacementPolicy.PrefixAffinity);
	t.is(choose(createInput('work-1'))?.id, choose(createInput('work-1'))?.id);
	t.is(new Set(Array.from({length: 40}, (_, index) => choose(createInput(`work-${index}`))?.id)).size, 3);
});

test('every policy returns undefined if there are no options', t => {
	for (const policy of Object.values(PlacementPolicy)) {
		t.is(createChooser(policy)({...createInput('work-1'), options: []}), undefined);
	}
});
