import {createSystemClock} from '@fescuestair/core';
import {chooseEngine, Priority, type EngineView} from '@fescuestair/routing';
import {createWorkload, type WorkloadOptions} from './model/workload.js';
import {baselines, projectPolicy} from './model/policies.js';
import {simulate, type Outcome, type Scenario} from './model/simulate.js';
import {type Benchmark, type ReportMeasurement} from './report.js';

const clock = createSystemClock();
const seed = 7;
const distinctLongPrompts = 150;
const meanLongTokens = 40_000;
const shortPromptsPerLongPrompt = 5;
const firstTokenBoundMs = 340;
const crashIntervalMs = 120_000;

const commonScenario = {
	stores: 2, entries: 4, prefillTokensPerSecond: 8000, decodeMs: 30, slots: 12, cachePieces: 150, storePieces: 6000, bytesPerPiece: 32e6,
	linkBytesPerSecond: 1.25e9, reservedShortShare: 0.25, warmupMs: 200_000, durationMs: 600_000,
};

type Deployment = {readonly name: string; readonly scenario: Scenario; readonly longPromptsPerSecond: number};

const deployments: readonly Deployment[] = [
	{
		name: 'wheelworks',
		scenario: {
			...commonScenario, engines: 8, zones: 4, weights: {firstToken: 1, recompute: 0.1, link: 0.0005},
		},
		longPromptsPerSecond: 2,
	},
	{
		name: 'red',
		scenario: {
			...commonScenario, engines: 6, zones: 3, weights: {firstToken: 0.3, recompute: 0.5, link: 0.0005},
		},
		longPromptsPerSecond: 1.5,
	},
];

type Case = {readonly name: string; readonly load: number; readonly change: Partial<Scenario>; readonly workload: Partial<WorkloadOptions>};

/** Load 1.0 is the capacity of the engines when half of the prompt tokens come from caches. */
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
		name: 'store_dead', load: 0.6, change: {failedStores: 1}, workload: {},
	},
	{
		name: 'one_engine_in_four_dead', load: 0.6, change: {failedEngines: 2}, workload: {},
	},
	{
		name: 'slow_link', load: 0.6, change: {linkBytesPerSecond: 0.4e9}, workload: {},
	},
	{
		name: 'crash_request', load: 0.6, change: {}, workload: {crashIntervalMs},
	},
];

const defaultCases = new Set(['healthy', 'load_1_0', 'load_1_5', 'store_dead']);
/** Cases in which the bound on the first token of short prompts applies. */
const shortBoundCases = new Set(['healthy', 'store_dead', 'one_engine_in_four_dead', 'slow_link', 'crash_request']);

type CaseResult = {readonly outcome: Outcome; readonly outcomeByBaseline: ReadonlyMap<string, Outcome>};

function runCase(deployment: Deployment, {load, change, workload}: Case): CaseResult {
	const scenario = {...deployment.scenario, ...change};
	const longPromptsPerSecond = deployment.longPromptsPerSecond * load;
	const requests = createWorkload({
		seed, durationMs: scenario.durationMs, longPromptsPerSecond, shortPromptsPerSecond: longPromptsPerSecond * shortPromptsPerLongPrompt, distinctLongPrompts, meanLongTokens, ...workload,
	});
	const outcomeByBaseline = new Map(baselines.map(policy => [policy.name, simulate(scenario, requests, policy)]));

	return {outcome: simulate(scenario, requests, projectPolicy), outcomeByBaseline};
}

function getRecomputedShare({recomputedTokens, promptTokens}: Outcome): number {
	return promptTokens === 0 ? 1 : recomputedTokens / promptTokens;
}

// Prompts that were refused count with an infinite time to their first token: the percentile is infinite if no long prompt got a first token,
// or if refused requests outnumber the long prompts that did.
function getLongFirstTokenP95({longFirstToken, refused}: Outcome): number {
	return longFirstToken.getCount() === 0 || refused > longFirstToken.getCount() ? Number.POSITIVE_INFINITY : longFirstToken.getPercentile(95);
}

function reportCase(prefix: string, name: string, {outcome, outcomeByBaseline}: CaseResult, report: ReportMeasurement): void {
	const baselineOutcomes = [...outcomeByBaseline.values()];
	const bestRecomputedShare = Math.min(...baselineOutcomes.map(baseline => getRecomputedShare(baseline)));
	const roundRobinRecomputedShare = getRecomputedShare(outcomeByBaseline.get('round_robin')!);
	const bestLongP95 = Math.min(...baselineOutcomes.map(baseline => getLongFirstTokenP95(baseline)));
	const bestShortP95 = Math.min(...baselineOutcomes.map(baseline => baseline.shortFirstToken.getPercentile(95)));
	report({
		bench: `${prefix}.short_first_token_p95`, value: outcome.shortFirstToken.getPercentile(95), unit: 'ms', baseline: bestShortP95,
		bound: shortBoundCases.has(name) ? Math.min(firstTokenBoundMs, Math.max(bestShortP95, firstTokenBoundMs)) : undefined,
	});
	report({bench: `${prefix}.short_first_token_p99`, value: outcome.shortFirstToken.getPercentile(99), unit: 'ms'});
	report({
		bench: `${prefix}.long_first_token_p95`, value: getLongFirstTokenP95(outcome), unit: 'ms', baseline: bestLongP95, bound: bestLongP95,
	});
	report({bench: `${prefix}.long_first_token_p50`, value: outcome.longFirstToken.getPercentile(50), unit: 'ms'});
	report({
		bench: `${prefix}.recomputed_share`, value: getRecomputedShare(outcome), unit: 'share', baseline: bestRecomputedShare,
		bound: Math.min(0.9 * bestRecomputedShare, roundRobinRecomputedShare / 3),
	});
	report({bench: `${prefix}.unseen_share`, value: outcome.unseenTokens / outcome.promptTokens, unit: 'share'});
	report({
		bench: `${prefix}.link_busy_share`, value: outcome.linkShare, unit: 'share', baseline: outcomeByBaseline.get('cache_greedy')!.linkShare, bound: 1,
	});
	report({
		bench: `${prefix}.good_answers`, value: outcome.answeredInTime, unit: 'answers', baseline: Math.max(...baselineOutcomes.map(baseline => baseline.answeredInTime)),
	});
	report({bench: `${prefix}.refused`, value: outcome.refused + outcome.lost, unit: 'requests'});
}

function runCases(names: ReadonlySet<string> | undefined, report: ReportMeasurement): void {
	for (const deployment of deployments) {
		const answeredInTimeByCase = new Map<string, number>();

		for (const benchmarkCase of cases.filter(candidate => names?.has(candidate.name) ?? true)) {
			const result = runCase(deployment, benchmarkCase);
			answeredInTimeByCase.set(benchmarkCase.name, result.outcome.answeredInTime);
			reportCase(`routing.${deployment.name}.${benchmarkCase.name}`, benchmarkCase.name, result, report);
		}

		reportGoodput(deployment.name, answeredInTimeByCase, report);
	}
}

function reportGoodput(name: string, answeredInTimeByCase: ReadonlyMap<string, number>, report: ReportMeasurement): void {
	const atFullLoad = answeredInTimeByCase.get('load_1_0');
	const atOverload = answeredInTimeByCase.get('load_1_5');

	if (atFullLoad !== undefined && atOverload !== undefined) {
		report({
			bench: `limits.${name}.goodput_at_1_5_over_1_0`, value: atOverload / atFullLoad, unit: 'ratio', bound: 0.9, isLowerBound: true,
		});
	}
}

const decisionCount = 2000;

/** Measures the mean time of a routing decision in µs. Called with several numbers of engines and pieces, since it grows with both. */
function measureDecisionTime(engineCount: number, pieces: number): number {
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

	for (let decision = 0; decision < decisionCount; decision++) {
		chooseEngine({
			plan, engines, heldByEngine, stores, weights: {firstToken: 1, recompute: 0.1, link: 0.001}, bytesPerPiece: 32e6,
		});
	}

	return (clock.readMonotonicMs() - startedMs) / decisionCount * 1000;
}

function measureDecisions(report: ReportMeasurement): void {
	measureDecisionTime(680, 64);

	for (const engines of [12, 120, 680]) {
		report({
			bench: `routing.decision.${engines}_engines_64_pieces`, value: measureDecisionTime(engines, 64), unit: 'µs', bound: 100,
		});
	}

	report({bench: 'routing.decision.680_engines_512_pieces', value: measureDecisionTime(680, 512), unit: 'µs'});
}

/** Measures the goodput that the other organisations keep while one sends about ten times its usual load. */
function measureFlood(report: ReportMeasurement): void {
	for (const deployment of deployments) {
		const baseline = runCase(deployment, {
			name: 'calm', load: 0.6, change: {}, workload: {},
		}).outcome;
		const flooded = runCase(deployment, {
			name: 'flood', load: 0.6, change: {}, workload: {floodFactor: 3},
		}).outcome;
		const sumOthers = (outcome: Outcome) => [...outcome.answeredInTimeByOrganisation].filter(([name]) => name !== 'o1').reduce((sum, [, count]) => sum + count, 0);
		report({
			bench: `limits.${deployment.name}.others_goodput_under_flood`, value: sumOthers(flooded) / sumOthers(baseline), unit: 'ratio', bound: 0.9, isLowerBound: true,
		});
	}
}

export const routingBenchmark: Benchmark = {
	area: 'routing',
	isDefault: true,
	description: 'the routing policy compared with its baselines in four cases of each deployment, and the time of a decision',
	async run(report) {
		measureDecisions(report);
		runCases(defaultCases, report);
	},
};

export const routingFullBenchmark: Benchmark = {
	area: 'routing-full',
	isDefault: false,
	description: 'all cases of the routing policy, and a flood of requests from one organisation',
	async run(report) {
		runCases(undefined, report);
		measureFlood(report);
	},
};
