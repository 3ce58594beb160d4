import {type Benchmark} from './report.js';
import {capacityBenchmark} from './capacity.js';
import {limitsBenchmark} from './limits.js';
import {quarantineBenchmark} from './quarantine.js';
import {membershipBenchmark, membershipLargeBenchmark, membershipLoadsBenchmark} from './membership.js';
import {originsBenchmark} from './origins.js';
import {pathBenchmark} from './path.js';
import {placementBenchmark} from './placement.js';
import {routingBenchmark, routingFullBenchmark} from './routing.js';
import {stateBenchmark} from './state.js';
import {storesBenchmark} from './stores.js';

/** All benchmarks, in the order in which they run. */
export const benchmarks: readonly Benchmark[] = [
	routingBenchmark,
	membershipBenchmark,
	stateBenchmark,
	pathBenchmark,
	storesBenchmark,
	limitsBenchmark,
	quarantineBenchmark,
	membershipLargeBenchmark,
	membershipLoadsBenchmark,
	routingFullBenchmark,
	capacityBenchmark,
	originsBenchmark,
	placementBenchmark,
];
