import {deadlyPart, simulateQuarantine, type QuarantineSimulation} from './model/simulate-quarantine.js';
import {type Benchmark} from './report.js';

const deployments = [
	{gateways: 4, instances: 6}, {gateways: 28, instances: 40}, {gateways: 85, instances: 62}, {gateways: 400, instances: 680},
];
const seed = 7;
const durationMs = 30_000;
const deadlyShare = 0.03;
const requestsPerInstance = 4;
/** Requests with a deadly part that are sent later than this after the fifth crash count. */
const contactMs = 3000;
const countedCrash = 4;
const maxSentAfter = 3;

function countSentAfter({crashesAtMs, deadlySentAtMs}: QuarantineSimulation): number {
	return deadlySentAtMs.filter(atMs => atMs > (crashesAtMs[countedCrash] ?? Number.POSITIVE_INFINITY) + contactMs).length;
}

/** Benchmarks how many instances one deadly part of prompts costs, by the number of gateways, and what is held back wrongly. */
export const quarantineBenchmark: Benchmark = {
	area: 'quarantine',
	isDefault: true,
	description: 'prompt parts that crash instances, over 4 to 400 gateways',
	async run(report) {
		for (const {gateways, instances} of deployments) {
			const options = {
				seed, gateways, instances, requestsPerSecond: requestsPerInstance * instances, deadlyShare, getDeadlyParts: () => [deadlyPart], durationMs,
			};
			const guarded = simulateQuarantine(options);
			const unguarded = simulateQuarantine({...options, isUnguarded: true});
			const lost = simulateQuarantine({...options, deadlyShare: 0, losses: [5000, 7000, 9000, 20_000].map(atMs => ({atMs, share: 0.4}))});
			const name = `quarantine.gateways_${gateways}`;
			report({
				bench: `${name}.sent_after_fifth_crash`, value: countSentAfter(guarded), unit: 'requests', baseline: countSentAfter(unguarded), bound: maxSentAfter,
			});
			report({
				bench: `${name}.crashes`, value: guarded.crashesAtMs.length, unit: 'instances', baseline: unguarded.crashesAtMs.length,
			});
			report({
				bench: `${name}.sound_held_back`, value: guarded.soundHeldBack / guarded.soundRequests, unit: 'of sound requests', bound: 0,
			});
			report({
				bench: `${name}.false_blame`, value: guarded.falselyBlamed.size, unit: 'sound parts', bound: 0,
			});
			report({
				bench: `${name}.false_blame_after_losses`, value: lost.falselyBlamed.size + lost.soundHeldBack, unit: 'sound parts and requests', bound: 0,
			});
		}
	},
};
