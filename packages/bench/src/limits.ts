import {type Benchmark} from './report.js';
import {measureWorstWindow, sumLimit} from './model/limit-window.js';
import {simulateLimits} from './model/simulate-limits.js';

const gatewayCounts = [4, 28, 85, 400];
const seed = 7;
const perSecond = 3.3;
const namedAtMs = 3000;
const durationMs = 60_000;
const span = {fromMs: 6000, toMs: durationMs};
const overloadRequestsPerSecond = 50;
const tailShare = 0.95;
const msPerSecond = 1000;
/** Share of a limit that has to be used while there are more requests than it allows. */
const minUsedShare = 0.9;
/** A refused request is answered within this time. */
const maxRefusalMs = 100;

const getLimit = (nowMs: number) => nowMs >= namedAtMs ? perSecond : undefined;

function getPercentile(values: readonly number[], share: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(share * (values.length - 1))] ?? 0;
}

/** Benchmarks how the limit of one instance holds and is used, by the number of gateways. */
export const limitsBenchmark: Benchmark = {
	area: 'limits',
	isDefault: true,
	description: 'request limits of instances over 4 to 400 gateways',
	async run(report) {
		for (const gateways of gatewayCounts) {
			const options = {
				seed, gateways, requestsPerSecond: overloadRequestsPerSecond, instances: 1, getLimit: (_instance: number, nowMs: number) => getLimit(nowMs), durationMs,
			};
			const {arrivalsMs, refusedAfterMs, waitedMs, questions} = simulateLimits(options);
			const unlimited = simulateLimits({...options, isUnlimited: true});
			const [times = []] = arrivalsMs;
			const arrived = times.filter(atMs => atMs >= span.fromMs && atMs < span.toMs).length;
			const name = `limits.gateways_${gateways}`;
			report({
				bench: `${name}.worst_window_share`, value: measureWorstWindow({arrivalsMs: times, getLimit, span}), unit: 'of what the instance allows',
				baseline: measureWorstWindow({arrivalsMs: unlimited.arrivalsMs[0]!, getLimit, span}), bound: 1,
			});
			report({
				bench: `${name}.used_share`, value: arrived / sumLimit(getLimit, span)!, unit: 'of the limit', bound: minUsedShare, isLowerBound: true,
			});
			report({
				bench: `${name}.refused_after_p95`, value: getPercentile(refusedAfterMs, tailShare), unit: 'ms', bound: maxRefusalMs,
			});
			report({bench: `${name}.waited_p95`, value: getPercentile(waitedMs, tailShare), unit: 'ms'});
			report({bench: `${name}.questions`, value: questions * msPerSecond / durationMs, unit: 'per second'});
		}
	},
};
