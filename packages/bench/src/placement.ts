import {
	addWork, chooseInstance, type ChooseInstance, type InstanceOption,
} from '@fescuestair/routing';
import {rankByRendezvous} from '@fescuestair/core';
import {simulatePlacement, type PlacementSimulation, type PlacementSimulationOptions} from './model/simulate-placement.js';
import {type Benchmark} from './report.js';

type Variant = Pick<PlacementSimulationOptions, 'createChooser' | 'knowsCrowd' | 'keepsPace' | 'sharesPace'>;

const deployments: ReadonlyArray<{
	readonly gateways: number; readonly engines: number; readonly seeds: readonly number[]; readonly durationMs: number; readonly variants?: readonly string[];
}> = [
	{
		gateways: 23, engines: 42, seeds: [1, 2, 3], durationMs: 30_000,
	},
	{
		gateways: 89, engines: 98, seeds: [1, 2, 3], durationMs: 30_000,
	},
	{
		gateways: 400, engines: 400, seeds: [1], durationMs: 6000, variants: ['leastCost', 'twoChoices', 'level', 'levelSharedPace'],
	},
];
const frozenMs = {fromMs: 3000, toMs: 4000};
const afterFreezeMs = 150;
const exchangeMs = 25;
/** Unseen requests that a fixed margin stands for. */
const marginRequests = 10;

// M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE TPDS 12(10), 2001. Where a shared part is cached stays a choice.
const createTwoChoices = (_gateway: number, random: () => number): ChooseInstance => input => {
	const ids = new Set([0, 1].map(() => input.options[Math.floor(random() * input.options.length)]!.id));

	return chooseInstance({...input, options: input.options.filter(({id, cachedTokens}) => ids.has(id) || cachedTokens > 0)});
};

// What this gateway has just sent, the others are taken to have sent too.
const createExpectedSends = (others: number) => (): ChooseInstance => {
	let sends: ReadonlyArray<{readonly id: string; readonly workMs: number; readonly atMs: number}> = [];

	return input => {
		sends = sends.filter(({atMs}) => input.nowMs - atMs < exchangeMs);
		const addExpected = (option: InstanceOption): InstanceOption => {
			const workMs = sends.filter(({id}) => id === option.id).reduce((sum, send) => sum + send.workMs, 0) * others;

			return workMs === 0 ? option : {...option, load: {...option.load, work: addWork(option.load.work, workMs, input.nowMs)}};
		};

		const placement = chooseInstance({...input, options: input.options.map(option => addExpected(option))});
		sends = placement === undefined ? sends : [...sends, {id: placement.id, workMs: placement.workMs, atMs: input.nowMs}];

		return placement;
	};
};

// Each gateway prefers a third of the instances of its own.
const createSubset = (gateway: number): ChooseInstance => {
	let ids: ReadonlySet<string> | undefined;

	return input => {
		ids ??= new Set(rankByRendezvous(`gateway-${gateway}`, input.options.map(({id}) => id)).slice(0, Math.ceil(input.options.length / 3)));

		return chooseInstance({...input, options: input.options.filter(({id, cachedTokens}) => ids!.has(id) || cachedTokens > 0)});
	};
};

const createMargin = (_gateway: number, random: () => number): ChooseInstance => input => chooseInstance({...input, crowd: {draw: random(), unseenRequests: marginRequests}});

const listVariants = (gateways: number): Readonly<Record<string, Variant>> => ({
	leastCost: {},
	twoChoices: {createChooser: createTwoChoices},
	expectedSends: {createChooser: createExpectedSends(gateways - 1)},
	subset: {createChooser: createSubset},
	fixedMargin: {createChooser: createMargin, knowsCrowd: true},
	level: {knowsCrowd: true},
	leastCostPace: {keepsPace: true},
	levelPace: {knowsCrowd: true, keepsPace: true},
	levelSharedPace: {knowsCrowd: true, keepsPace: true, sharesPace: true},
});

const figures = ['busiestToMean', 'busiestToMeanBySecond', 'fullShare', 'longLateShare', 'shortLateShare', 'sharedReadShare'] as const satisfies ReadonlyArray<keyof PlacementSimulation>;

const computeMean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Measures how many of the arrivals shortly after a freeze of a tenth of the gateways the busiest engine gets, as a multiple of the mean. */
export function measureSpreadAfterFreeze({arrivalsMs}: PlacementSimulation): number {
	const counts = arrivalsMs.map(times => times.filter(atMs => atMs >= frozenMs.toMs && atMs < frozenMs.toMs + afterFreezeMs).length);

	return Math.max(...counts) / computeMean(counts);
}

/** Benchmarks how evenly many gateways spread requests that choose at the same moment, by way of choosing. */
export const placementBenchmark: Benchmark = {
	area: 'placement',
	isDefault: false,
	description: 'even load where 23 to 400 gateways choose at the same moment',
	async run(report) {
		for (const {gateways, engines, seeds, durationMs, variants} of deployments) {
			for (const [name, variant] of Object.entries(listVariants(gateways)).filter(([name]) => variants?.includes(name) ?? true)) {
				const options = {gateways, engines, ...variant};
				const runs = seeds.map(seed => simulatePlacement({...options, seed, durationMs}));
				const frozen = seeds.map(seed => simulatePlacement({
					...options, seed, durationMs: frozenMs.toMs + 1000, frozenGateways: Math.ceil(gateways / 10), freeze: frozenMs,
				}));

				for (const figure of figures) {
					report({bench: `placement.gateways_${gateways}.${name}.${figure}`, value: computeMean(runs.map(run => run[figure])), unit: ''});
				}

				report({bench: `placement.gateways_${gateways}.${name}.spread_after_freeze`, value: computeMean(frozen.map(run => measureSpreadAfterFreeze(run))), unit: ''});
			}
		}
	},
};
