import test from 'ava';
import {
	createChooser, createInstanceLoad, PlacementPolicy, type InstanceOption, type PlacementInput,
} from '../../index.js';

const createOption = (id: string, own: number): InstanceOption => ({
	id, availabilityZone: 'north', slots: 4, load: {...createInstanceLoad(), own}, failureShare: 0, isCold: false, isOutdated: false, cachedTokens: 0,
	fetchableTokens: 0, fetchMs: 0,
});
const options = [createOption('c', 3), createOption('a', 2), createOption('b', 0)];
const ask = (affinityKey?: string): PlacementInput => ({
	options, nowMs: 0, availabilityZone: 'north', prompt: affinityKey === undefined
		? undefined
		: {
			promptTokens: 400, outputTokens: 10, cacheTokens: 77_000, prefillTokensPerMs: 40, affinityKey, sharedTokens: 300,
		},
});

test('round robin takes all instances in turn', t => {
	const choose = createChooser(PlacementPolicy.RoundRobin);
	t.deepEqual(Array.from({length: 4}, () => choose(ask())?.id), ['a', 'b', 'c', 'a']);
});

test('least load takes the emptiest instance', t => {
	t.is(createChooser(PlacementPolicy.LeastLoad)(ask())?.id, 'b');
});

test('prefix affinity keeps a shared part at one instance, and different parts spread', t => {
	const choose = createChooser(PlacementPolicy.PrefixAffinity);
	t.is(choose(ask('work-1'))?.id, choose(ask('work-1'))?.id);
	t.is(new Set(Array.from({length: 40}, (_, index) => choose(ask(`work-${index}`))?.id)).size, 3);
});

test('no policy chooses among none', t => {
	for (const policy of Object.values(PlacementPolicy)) {
		t.is(createChooser(policy)({...ask('work-1'), options: []}), undefined);
	}
});
