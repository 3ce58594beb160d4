import {type Benchmark} from './report.js';
import {membershipBenchmark, membershipLargeBenchmark} from './membership.js';

/** All benchmarks. */
export const benchmarks: readonly Benchmark[] = [membershipBenchmark, membershipLargeBenchmark];
