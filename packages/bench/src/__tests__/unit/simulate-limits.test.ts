import test from 'ava';
import {measureWorstWindow, sumLimit} from '../../model/limit-window.js';
import {simulateLimits, type LimitSimulation, type LimitSimulationOptions} from '../../model/simulate-limits.js';

const gatewayCounts = [4, 28, 85, 400];
const seeds = [1, 2, 3];
const namedAtMs = 3000;
/** Limits are judged from this long after they were first named. */
const contactMs = 3000;
const durationMs = 40_000;
const perSecond = 3.3;
const span = {fromMs: namedAtMs + contactMs, toMs: durationMs};
/** In a queue of callers that exceeds the limit by far, this share of it has to be used. */
const minUse = 0.9;

const simulateAll = (options: Omit<LimitSimulationOptions, 'seed' | 'gateways' | 'durationMs'>, check: (simulation: LimitSimulation, label: string) => void) => {
	for (const gateways of gatewayCounts) {
		for (const seed of seeds) {
			check(simulateLimits({
				...options, seed, gateways, durationMs,
			}), `${gateways} gateways, seed ${seed}`);
		}
	}
};

const nameLimit = (_instance: number, nowMs: number) => nowMs >= namedAtMs ? perSecond : undefined;

const getWorst = ({arrivalsMs}: LimitSimulation, getLimit: LimitSimulationOptions['getLimit']) => Math.max(...arrivalsMs.map((times, instance) => measureWorstWindow({
	arrivalsMs: times, getLimit: nowMs => getLimit(instance, nowMs), span,
})));

const computeUse = ({arrivalsMs}: LimitSimulation, instance: number) => arrivalsMs[instance]!.filter(atMs => atMs >= span.fromMs && atMs < span.toMs).length
	/ sumLimit(nowMs => nameLimit(instance, nowMs), span)!;

const getPercentile = (values: readonly number[], share: number) => values.toSorted((a, b) => a - b)[Math.floor(share * (values.length - 1))] ?? 0;

test('an instance gets no more than it names from any number of gateways, its limit is used, and the rest is refused at once', t => {
	simulateAll({instances: 1, requestsPerSecond: 50, getLimit: nameLimit}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
		t.true(computeUse(simulation, 0) >= minUse, label);
		t.true(getPercentile(simulation.refusedAfterMs, 0.95) <= 100, label);
		t.true(simulation.returnDelaysMs.every(delayMs => delayMs > 0), label);
	});
});

test('a limit is used by the one gateway that has requests', t => {
	simulateAll({
		instances: 1, requestsPerSecond: 20, activeGateways: 1, getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
		t.true(computeUse(simulation, 0) >= minUse, label);
	});
});

test('requests beyond the limits of some instances go to the others', t => {
	const getLimit = (instance: number, nowMs: number) => instance < 2 ? nameLimit(instance, nowMs) : undefined;
	simulateAll({instances: 6, requestsPerSecond: 80, getLimit}, (simulation, label) => {
		t.true(getWorst(simulation, getLimit) <= 1, label);
		t.is(simulation.refusedAfterMs.length, 0, label);
	});
});

test('limits rise, fall, end and come again', t => {
	const getLimit = (_instance: number, nowMs: number) => [
		[34_000, 30], [26_000, 5], [20_000, undefined], [12_000, 2], [namedAtMs, 20],
	].find(([fromMs]) => nowMs >= fromMs!)?.[1];
	simulateAll({instances: 2, requestsPerSecond: 100, getLimit}, (simulation, label) => {
		t.true(getWorst(simulation, getLimit) <= 1, label);
	});
});

test('repeats and resumed streams count', t => {
	simulateAll({
		instances: 2, requestsPerSecond: 50, repeatShare: 0.5, getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
	});
});

test('the granting daemon is lost and replaced, three times in a row', t => {
	const leaderLosses = [12_000, 16_000, 20_000].map(fromMs => ({fromMs, toMs: fromMs + 1000}));
	simulateAll({
		instances: 1, requestsPerSecond: 50, leaderLosses, getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
	});
});

test('gateways that are cut off send nothing to limited instances, and the others use the limit', t => {
	simulateAll({
		instances: 1, requestsPerSecond: 50, cutGateways: 2, cuts: [{fromMs: 12_000, toMs: 20_000}, {fromMs: 22_000, toMs: 23_000}], getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
		t.true(computeUse(simulation, 0) >= minUse, label);
	});
});

test('gateways that freeze and wake again do not send what they were granted before', t => {
	simulateAll({
		instances: 1, requestsPerSecond: 50, frozenGateways: 3, freezes: [{fromMs: 12_000, toMs: 15_000}], getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) <= 1, label);
	});
});

test('gateways that heed no limit exceed it', t => {
	simulateAll({
		instances: 1, requestsPerSecond: 50, isUnlimited: true, getLimit: nameLimit,
	}, (simulation, label) => {
		t.true(getWorst(simulation, nameLimit) > 5, label);
	});
});
