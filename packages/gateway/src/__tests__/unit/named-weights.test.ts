import test from 'ava';
import {
	createNamedWeights, judgeWeights, nameWeights, WeightsUse,
} from '../../index.js';

const judge = (named: ReadonlyArray<readonly [number, number]>, version: number | undefined, nowMs: number) => {
	let weights = createNamedWeights();

	for (const [newVersion, atMs] of named) {
		weights = nameWeights(weights, [['guide', newVersion, 0]], atMs);
	}

	return judgeWeights(weights, {
		model: 'guide', version, nowMs, oldWeightsMs: 8000,
	});
};

test('older weights are used for a bounded time, counted from the first newer ones', t => {
	t.is(judge([], 1, 0), WeightsUse.Current);
	t.is(judge([[2, 0]], 1, 1000), WeightsUse.Current);
	t.is(judge([[2, 0]], 1, 2000), WeightsUse.Late);
	t.is(judge([[2, 0]], 1, 7000), WeightsUse.Barred);
	t.is(judge([[2, 0], [3, 6000]], 1, 7000), WeightsUse.Barred);
	t.is(judge([[2, 0], [3, 6000]], 2, 7000), WeightsUse.Current);
	t.is(judge([[2, 0], [3, 6000]], 3, 99_000), WeightsUse.Current);
});

test('a gateway that started since goes by the age it is told', t => {
	const weights = nameWeights(createNamedWeights(), [['guide', 2, 7500]], 100);
	t.is(judgeWeights(weights, {
		model: 'guide', version: 1, nowMs: 200, oldWeightsMs: 8000,
	}), WeightsUse.Barred);
});

test('what would begin after the bound is not sent to older weights, however early it is sent', t => {
	const weights = nameWeights(createNamedWeights(), [['guide', 2, 0]], 0);
	const question = {
		model: 'guide', version: 1, nowMs: 5000, oldWeightsMs: 8000,
	};
	t.is(judgeWeights(weights, {...question, startMs: 1200}), WeightsUse.Late);
	t.is(judgeWeights(weights, {...question, startMs: 2400}), WeightsUse.Barred);
	t.is(judgeWeights(weights, {...question, version: 2, startMs: 2400}), WeightsUse.Current);
});
