import {createSystemClock} from '@fescuestair/core';
import {chooseEngine, Priority, type EngineView} from '@fescuestair/routing';
import {createWorkload, type WorkloadOptions} from './model/workload.js';
import {baselines, ownPolicy} from './model/policies.js';
import {simulate, type Outcome, type Scenario} from './model/simulate.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const seed = 7;
const longPrompts = 150;
const meanLongTokens = 40_000;
const shortsPerLong = 5;
const firstTokenBoundMs = 340;
const crashEveryMs = 120_000;

const common = {
	stores: 2, entries: 4, prefillTokensPerSecond: 8000, decodeMs: 30, slots: 12, cachePieces: 150, storePieces: 6000, bytesPerPiece: 32e6,
	linkBytesPerSecond: 1.25e9, reservedShortShare: 0.25, warmupMs: 200_000, forMs: 600_000,
};

type Deployment = {readonly name: string; readonly scenario: Scenario; readonly longsPerSecond: number};

const deployments: readonly Deployment[] = [
	{
		name: 'wheelworks',
		scenario: {
			...common, engines: 8, zones: 4, weights: {firstToken: 1, recompute: 0.1, link: 0.0005},
		},
		longsPerSecond: 2,
	},
	{
		name: 'red',
		scenario: {
			...common, engines: 6, zones: 3, weights: {firstToken: 0.3, recompute: 0.5, link: 0.0005},
		},
		longsPerSecond: 1.5,
	},
];

type Case = {readonly name: string; readonly load: number; readonly change: Partial<Scenario>; readonly workload: Partial<WorkloadOptions>};

/** Load 1.0 is what the engines can bear when half of the prompt tokens come from caches. */
const cases: readonly Case[] = [
	{
		name: 'healthy', load: 0.6, change: {}, workload: {},
	},
	{
		name: 'load_1_0', load: 1, change: {}, workload: {},
	},
	{
		name: 'load_1_5', load: 1.5, change: {}, workload: {},
	},
	{
		name: 'store_dead', load: 0.6, change: {lostStores: 1}, workload: {},
	},
	{
		name: 'one_engine_in_four_dead', load: 0.6, change: {lostEngines: 2}, workload: {},
	},
	{
		name: 'slow_link', load: 0.6, change: {linkBytesPerSecond: 0.4e9}, workload: {},
	},
	{
		name: 'crash_request', load: 0.6, change: {}, workload: {crashEveryMs},
	},
];

const defaultCases = new Set(['healthy', 'load_1_0', 'load_1_5', 'store_dead']);
/** Cases in which a short question must still be quick. */
const quickCases = new Set(['healthy', 'store_dead', 'one_engine_in_four_dead', 'slow_link', 'crash_request']);

type Run = {readonly outcome: Outcome; readonly byBaseline: ReadonlyMap<string, Outcome>};

function runCase(deployment: Deployment, {load, change, workload}: Case): Run {
	const scenario = {...deployment.scenario, ...change};
	const longsPerSecond = deployment.longsPerSecond * load;
	const items = createWorkload({
		seed, forMs: scenario.forMs, longsPerSecond, shortsPerSecond: longsPerSecond * shortsPerLong, longPrompts, meanLongTokens, ...workload,
	});
	const byBaseline = new Map(baselines.map(policy => [policy.name, simulate(scenario, items, policy)]));

	return {outcome: simulate(scenario, items, ownPolicy), byBaseline};
}

function getRecomputedShare({recomputedTokens, promptTokens}: Outcome): number {
	return promptTokens === 0 ? 1 : recomputedTokens / promptTokens;
}

// A long prompt that got no token in time counts as one that waited for ever.
function getLongP95({longFirstToken, refused}: Outcome): number {
	return longFirstToken.getCount() === 0 || refused > longFirstToken.getCount() ? Number.POSITIVE_INFINITY : longFirstToken.getPercentile(95);
}

function reportCase(prefix: string, name: string, {outcome, byBaseline}: Run, report: ReportMeasurement): void {
	const all = [...byBaseline.values()];
	const bestShare = Math.min(...all.map(one => getRecomputedShare(one)));
	const roundRobinShare = getRecomputedShare(byBaseline.get('round_robin')!);
	const bestLong = Math.min(...all.map(one => getLongP95(one)));
	const bestShort = Math.min(...all.map(one => one.shortFirstToken.getPercentile(95)));
	report({
		bench: `${prefix}.short_first_token_p95`, value: outcome.shortFirstToken.getPercentile(95), unit: 'ms', baseline: bestShort,
		bound: quickCases.has(name) ? Math.min(firstTokenBoundMs, Math.max(bestShort, firstTokenBoundMs)) : undefined,
	});
	report({bench: `${prefix}.short_first_token_p99`, value: outcome.shortFirstToken.getPercentile(99), unit: 'ms'});
	report({
		bench: `${prefix}.long_first_token_p95`, value: getLongP95(outcome), unit: 'ms', baseline: bestLong, bound: bestLong,
	});
	report({bench: `${prefix}.long_first_token_p50`, value: outcome.longFirstToken.getPercentile(50), unit: 'ms'});
	report({
		bench: `${prefix}.recomputed_share`, value: getRecomputedShare(outcome), unit: 'share', baseline: bestShare, bound: Math.min(0.9 * bestShare, roundRobinShare / 3),
	});
	report({bench: `${prefix}.unseen_share`, value: outcome.unseenTokens / outcome.promptTokens, unit: 'share'});
	report({
		bench: `${prefix}.link_busy_share`, value: outcome.linkShare, unit: 'share', baseline: byBaseline.get('cache_greedy')!.linkShare, bound: 1,
	});
	report({
		bench: `${prefix}.good_answers`, value: outcome.good, unit: 'answers', baseline: Math.max(...all.map(one => one.good)),
	});
	report({bench: `${prefix}.refused`, value: outcome.refused + outcome.lost, unit: 'requests'});
}

function runCases(names: ReadonlySet<string> | undefined, report: ReportMeasurement): void {
	for (const deployment of deployments) {
		const goodPerSecond = new Map<string, number>();

		for (const one of cases.filter(item => names?.has(item.name) ?? true)) {
			const run = runCase(deployment, one);
			goodPerSecond.set(one.name, run.outcome.good);
			reportCase(`routing.${deployment.name}.${one.name}`, one.name, run, report);
		}

		reportGoodput(deployment.name, goodPerSecond, report);
	}
}

function reportGoodput(name: string, good: ReadonlyMap<string, number>, report: ReportMeasurement): void {
	const atOne = good.get('load_1_0');
	const atMore = good.get('load_1_5');

	if (atOne !== undefined && atMore !== undefined) {
		report({
			bench: `limits.${name}.goodput_at_1_5_over_1_0`, value: atMore / atOne, unit: 'ratio', bound: 0.9, isLowerBound: true,
		});
	}
}

const decisionTurns = 2000;

/** Time of one decision, and how it grows with engines and pieces. */
function measureDecision(engineCount: number, pieces: number): number {
	const engines: EngineView[] = Array.from({length: engineCount}, (_, index) => ({
		id: `engine-${index}`, availabilityZone: `z${index % 7}`, running: index % 8, waitingShort: 0, waitingLong: 0, longInProgress: 1, slots: 8, queuedShortTokens: 0,
		queuedLongTokens: index * 10, prefillTokensPerSecond: 8000,
	}));
	const heldByEngine = new Map([['engine-3', Math.floor(pieces / 2)], ['engine-9', Math.floor(pieces / 3)]]);
	const stores = [0, 1].map(index => ({
		id: `store-${index}`, heldPieces: pieces - index, freeBytesPerSecond: 1e9, queuedBytes: 0,
	}));
	const plan = {
		tokens: pieces * 1000, pieces, availabilityZone: 'z1', priority: Priority.Long, reservedShortShare: 0.25,
	};
	const startedMs = clock.readMonotonicMs();

	for (let turn = 0; turn < decisionTurns; turn++) {
		chooseEngine({
			plan, engines, heldByEngine, stores, weights: {firstToken: 1, recompute: 0.1, link: 0.001}, bytesPerPiece: 32e6,
		});
	}

	return (clock.readMonotonicMs() - startedMs) / decisionTurns * 1000;
}

function runDecisions(report: ReportMeasurement): void {
	measureDecision(680, 64);

	for (const engines of [12, 120, 680]) {
		report({
			bench: `routing.decision.${engines}_engines_64_pieces`, value: measureDecision(engines, 64), unit: 'µs', bound: 100,
		});
	}

	report({bench: 'routing.decision.680_engines_512_pieces', value: measureDecision(680, 512), unit: 'µs'});
}

/** What the others lose when one organisation sends ten times as much. */
function runFlood(report: ReportMeasurement): void {
	for (const deployment of deployments) {
		const calm = runCase(deployment, {
			name: 'calm', load: 0.6, change: {}, workload: {},
		}).outcome;
		const flooded = runCase(deployment, {
			name: 'flood', load: 0.6, change: {}, workload: {floodFactor: 3},
		}).outcome;
		const sumOthers = (outcome: Outcome) => [...outcome.goodByOrganisation].filter(([name]) => name !== 'o1').reduce((sum, [, count]) => sum + count, 0);
		report({
			bench: `limits.${deployment.name}.others_goodput_under_flood`, value: sumOthers(flooded) / sumOthers(calm), unit: 'ratio', bound: 0.9, isLowerBound: true,
		});
	}
}

export const routingBenchmark: Benchmark = {
	area: 'routing',
	isDefault: true,
	description: 'the policy against its baselines in four cases of each deployment, and the time of a decision',
	async run(report) {
		runDecisions(report);
		runCases(defaultCases, report);
	},
};

export const routingFullBenchmark: Benchmark = {
	area: 'routing-full',
	isDefault: false,
	description: 'all cases, and one organisation flooding',
	async run(report) {
		runCases(undefined, report);
		runFlood(report);
	},
};
