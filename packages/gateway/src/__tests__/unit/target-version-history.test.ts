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
