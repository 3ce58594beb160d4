import {type Benchmark} from './report.js';
import {capacityBenchmark} from './capacity.js';
import {membershipBenchmark, membershipLargeBenchmark, membershipLoadsBenchmark} from './membership.js';
import {pathBenchmark} from './path.js';
import {routingBenchmark, routingFullBenchmark} from './routing.js';
import {stateBenchmark} from './state.js';

/** All benchmarks. */
export const benchmarks: readonly Benchmark[] = [
	routingBenchmark, membershipBenchmark, stateBenchmark, pathBenchmark, membershipLargeBenchmark, membershipLoadsBenchmark, routingFullBenchmark, capacityBenchmark,
];
