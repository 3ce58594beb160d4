import test from 'ava';
import {
	createTargetVersionHistory, classifyWeights, recordTargetVersions, WeightsUse,
} from '../../index.js';

const classify = (announced: ReadonlyArray<readonly [number, number]>, version: number | undefined, nowMs: number) => {
	let weights = createTargetVersionHistory();

	for (const [newVersion, atMs] of announced) {
		weights = recordTargetVersions(weights, [['guide', newVersion, 0]], {nowMs: atMs});
	}

	return classifyWeights(weights, {
		model: 'guide', version, nowMs, oldWeightsMs: 8000,
	});
};

test('older weights may be used for a bounded time after the first newer version became the target', t => {
	t.is(classify([], 1, 0), WeightsUse.Current);
	t.is(classify([[2, 0]], 1, 1000), WeightsUse.Current);
	t.is(classify([[2, 0]], 1, 2000), WeightsUse.Late);
	t.is(classify([[2, 0]], 1, 7000), WeightsUse.Barred);
	t.is(classify([[2, 0], [3, 6000]], 1, 7000), WeightsUse.Barred);
	t.is(classify([[2, 0], [3, 6000]], 2, 7000), WeightsUse.Current);
	t.is(classify([[2, 0], [3, 6000]], 3, 99_000), WeightsUse.Current);
});

test('a gateway that started after the change of the target version uses the reported age', t => {
	const weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 7500]], {nowMs: 100});
	t.is(classifyWeights(weights, {
		model: 'guide', version: 1, nowMs: 200, oldWeightsMs: 8000,
	}), WeightsUse.Barred);
});

test('a request that would begin after the bound is not sent to older weights, however early it is sent', t => {
	const weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 0]], {nowMs: 0});
	const query = {
		model: 'guide', version: 1, nowMs: 5000, oldWeightsMs: 8000,
	};
	t.is(classifyWeights(weights, {...query, startDelayMs: 1200}), WeightsUse.Late);
	t.is(classifyWeights(weights, {...query, startDelayMs: 2400}), WeightsUse.Barred);
	t.is(classifyWeights(weights, {...query, version: 2, startDelayMs: 2400}), WeightsUse.Current);
});

// Issue 57: the first age that a gateway heard was kept, however much older the target was by all others.
test('of the ages that coordinators tell, the oldest counts', t => {
	const query = {model: 'guide', version: 1, oldWeightsMs: 8000};
	let weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 1]], {nowMs: 1000, toldBy: 'a'});
	t.is(classifyWeights(weights, {...query, nowMs: 1000}), WeightsUse.Current);
	weights = recordTargetVersions(weights, [['guide', 2, 14_000]], {nowMs: 1200, toldBy: 'b'});
	t.is(classifyWeights(weights, {...query, nowMs: 1200}), WeightsUse.Barred);
	weights = recordTargetVersions(weights, [['guide', 2, 10]], {nowMs: 1300, toldBy: 'c'});
	t.is(classifyWeights(weights, {...query, nowMs: 1300}), WeightsUse.Barred);
});

test('an age that its coordinator cannot know bars older weights until another one tells it', t => {
	const query = {model: 'guide', version: 1, oldWeightsMs: 120_000};
	let weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 2, 60_000]], {nowMs: 1000, isCurrent: false});
	t.is(classifyWeights(weights, {...query, nowMs: 1000}), WeightsUse.Barred);
	t.is(classifyWeights(weights, {...query, version: 2, nowMs: 1000}), WeightsUse.Current);
	weights = recordTargetVersions(weights, [['guide', 2, 500]], {nowMs: 1500});
	t.is(classifyWeights(weights, {...query, nowMs: 1500}), WeightsUse.Current);
	weights = recordTargetVersions(weights, [['guide', 2, 60_000]], {nowMs: 1600, isCurrent: false});
	t.is(classifyWeights(weights, {...query, nowMs: 1600}), WeightsUse.Current);
});

// Issue 57: a gateway that started between two namings knew only of the second.
test('a target that is heard later than a newer one counts as well', t => {
	let weights = recordTargetVersions(createTargetVersionHistory(), [['guide', 3, 0]], {nowMs: 0});
	weights = recordTargetVersions(weights, [['guide', 2, 20_000], ['guide', 3, 0]], {nowMs: 0});
	const query = {model: 'guide', nowMs: 100, oldWeightsMs: 8000};
	t.is(classifyWeights(weights, {...query, version: 1}), WeightsUse.Barred);
	t.is(classifyWeights(weights, {...query, version: 2}), WeightsUse.Current);
});

// Issue 57: an unknown version counted as current once the first version had been named.
test('an unknown version counts as the first one', t => {
	t.is(classify([], undefined, 99_000), WeightsUse.Current);
	t.is(classify([[1, 0]], undefined, 99_000), WeightsUse.Current);
	t.is(classify([[1, 0], [2, 10]], undefined, 9000), WeightsUse.Barred);
	t.is(classify([[1, 0], [2, 8000]], undefined, 9000), WeightsUse.Current);
	t.is(classify([[2, 10]], undefined, 9000), WeightsUse.Barred);
});
