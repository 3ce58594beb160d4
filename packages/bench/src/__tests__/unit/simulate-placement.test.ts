import test from 'ava';
import {measureSpreadAfterFreeze} from '../../placement.js';
import {simulatePlacement, type PlacementSimulation, type PlacementSimulationOptions} from '../../model/simulate-placement.js';

const seeds = [1, 2, 3];
const deployments = [{gateways: 23, engines: 42}, {gateways: 89, engines: 98}];

type Deployment = {readonly gateways: number; readonly engines: number};

const simulateAll = (deployment: Deployment, options: Partial<PlacementSimulationOptions>): readonly PlacementSimulation[] => seeds.map(seed => simulatePlacement({
	seed, ...deployment, durationMs: 10_000, knowsCrowd: true, keepsPace: true, sharesPace: true, ...options,
}));

const computeMean = (runs: readonly PlacementSimulation[], read: (run: PlacementSimulation) => number) => runs.reduce((sum, run) => sum + read(run), 0) / runs.length;

test('many gateways that choose at the same moment load engines evenly, and callers lose nothing by it', t => {
	for (const deployment of deployments) {
		const runs = simulateAll(deployment, {durationMs: 20_000});
		const label = `${deployment.gateways} gateways`;
		t.true(computeMean(runs, run => run.busiestToMean) <= 1.4, `${label}: ${computeMean(runs, run => run.busiestToMean)}`);
		t.true(computeMean(runs, run => run.shortLateShare) <= 0.015, `${label}: ${computeMean(runs, run => run.shortLateShare)}`);
	}
});

test('shared parts are read no more often than by the least cost alone, under little load and under the usual one', t => {
	for (const rate of [0.2, 1]) {
		const [even, least] = [true, false].map(knowsCrowd => computeMean(simulateAll(deployments[0]!, {rate, knowsCrowd, durationMs: 20_000}), run => run.sharedReadShare));
		t.true(even! <= least! + 0.005, `${rate}: ${even} and ${least}`);
	}
});

test('gateways that were frozen for a second do not all send to the engines that their old view shows idle', t => {
	for (const deployment of deployments) {
		const runs = simulateAll(deployment, {durationMs: 5000, frozenGateways: Math.ceil(deployment.gateways / 10), freeze: {fromMs: 3000, toMs: 4000}});
		t.true(computeMean(runs, run => measureSpreadAfterFreeze(run)) <= 4.5, `${computeMean(runs, run => measureSpreadAfterFreeze(run))}`);
	}
});

test('gateways that all start at once, and know nothing, spread what had waited for them', t => {
	for (const deployment of deployments) {
		const runs = simulateAll(deployment, {durationMs: 1000, frozenGateways: deployment.gateways, freeze: {fromMs: 0, toMs: 500}});

		for (const {arrivalsMs} of runs) {
			const counts = arrivalsMs.map(times => times.filter(atMs => atMs < 530).length);
			const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
			t.true(Math.max(...counts) <= mean + (4 * Math.sqrt(mean)), `${Math.max(...counts)} where the mean is ${mean}`);
		}
	}
});

test('engines that are slow for a while get less meanwhile, and their share again after it', t => {
	const deployment = deployments[0]!;
	const slowCount = Math.ceil(deployment.engines / 4);
	const runs = simulateAll(deployment, {durationMs: 12_000, slowSpan: {fromMs: 4000, toMs: 7000}});
	const computeShare = (fromMs: number, toMs: number) => computeMean(runs, ({arrivalsMs}) => {
		const counts = arrivalsMs.map(times => times.filter(atMs => atMs >= fromMs && atMs < toMs).length);
		const sum = (list: readonly number[]) => list.reduce((total, count) => total + count, 0);

		return sum(counts.slice(0, slowCount)) / slowCount / (sum(counts) / counts.length);
	});
	t.true(computeShare(4300, 7000) < 0.65, `${computeShare(4300, 7000)}`);
	t.true(computeShare(8500, 12_000) > 0.85, `${computeShare(8500, 12_000)}`);
});
