import {createWorkBacklog, type WorkBacklog} from './work-backlog.js';

/** Load that an instance reported with a response. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	readonly atMs: number;
	/** This daemon's own requests at the instance when the report was made. */
	readonly ownAtReport: number;
};

/** Factor of the time that work takes on an instance's machine, as a response told. */
export type Pace = {readonly slowdown: number; readonly atMs: number};

/** Requests of other daemons at an instance. */
export type PeerLoad = {readonly requests: number; readonly heldTokens: number};

export const noPeerLoad: PeerLoad = {requests: 0, heldTokens: 0};

/** Load of one instance as one daemon knows it: its own requests exactly, those of other daemons from reports. Immutable. */
export type InstanceLoad = {
	/** Own requests in progress. */
	readonly own: number;
	/** Prefill backlog of the instance, from the prompts of all daemons. */
	readonly work: WorkBacklog;
	/** Prompt and output tokens of own requests in progress. */
	readonly ownHeldTokens: number;
	readonly report: LoadReport | undefined;
	/** Load that the other gateways reported. */
	readonly peers: PeerLoad;
	/** The newest that a response told, to this gateway or to another. */
	readonly pace?: Pace | undefined;
	/** Mean time from sending a request to the first streamed piece, or to the whole answer if it is not streamed. */
	readonly meanMs: number | undefined;
	/** When the latest sample of that mean was taken; absent where that is not known. */
	readonly meanAtMs?: number | undefined;
	/** When this daemon last sent a call there; absent where it has sent none. */
	readonly lastCallAtMs?: number | undefined;
};

/** Age at which a report no longer counts: a few times the duration of a request. */
const reportValidityMs = 1500;
/** Mean time for which a machine goes on at a pace that it reported. */
const paceHoldMs = 600;
/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.2;
/** Time in which a sample loses half of its weight. */
const sampleHalfLifeMs = 5000;
/** Mean service time that is assumed for a plain service until one has been measured. */
export const defaultServiceTimeMs = 60;

/** Creates the load of an instance to which this daemon has sent no request. */
export function createInstanceLoad(): InstanceLoad {
	return {
		own: 0, work: createWorkBacklog(), ownHeldTokens: 0, report: undefined, peers: noPeerLoad, meanMs: undefined,
	};
}

/**
Estimates the requests of other daemons at an instance: the number that they report, or that of the instance's own report if it is larger.
The weight of the instance's report decreases linearly with its age.

@example
```
estimateOtherRequests(load, nowMs); //=> 3.5
```
*/
export function estimateOtherRequests({report, peers}: InstanceLoad, nowMs: number): number {
	if (report === undefined || nowMs - report.atMs >= reportValidityMs) {
		return peers.requests;
	}

	const others = Math.max(0, report.running + report.waiting - report.ownAtReport);

	return Math.max(peers.requests, others * (1 - ((nowMs - report.atMs) / reportValidityMs)));
}

/**
Adds the time of a request to the mean of its instance. An older mean counts less.

@example
```
recordRequestTime({meanMs: 200, meanAtMs: 0}, {tookMs: 40, nowMs: 5000}); //=> {meanMs: 104, meanAtMs: 5000}
```
*/
export function recordRequestTime({meanMs, meanAtMs}: Pick<InstanceLoad, 'meanMs' | 'meanAtMs'>, {tookMs, nowMs}: {
	readonly tookMs: number; readonly nowMs: number;
}): Pick<InstanceLoad, 'meanMs' | 'meanAtMs'> {
	const weight = (1 - smoothingFactor) * computeSampleWeight(meanAtMs, nowMs);

	return {meanMs: meanMs === undefined ? tookMs : tookMs + (weight * (meanMs - tookMs)), meanAtMs: nowMs};
}

/** Computes how much a sample still counts, from 0 to 1; one whose time is not known counts in full. */
export function computeSampleWeight(atMs: number | undefined, nowMs: number): number {
	return atMs === undefined ? 1 : 1 / (2 ** (Math.max(0, nowMs - atMs) / sampleHalfLifeMs));
}

/**
Estimates by how much the instance's pace delays work that keeps it busy for some time at its usual pace. A report loses its weight with its
age, and slowness ends in the middle of long work.

@example
```
estimateSlownessMs({...load, pace: {slowdown: 2.5, atMs: nowMs}}, {busyMs: 100, nowMs}); //=> 150
```
*/
export function estimateSlownessMs({pace}: InstanceLoad, {busyMs, nowMs}: {readonly busyMs: number; readonly nowMs: number}): number {
	if (pace === undefined || pace.slowdown <= 1) {
		return 0;
	}

	const {slowdown, atMs} = pace;
	const extraMs = Math.min(busyMs * (slowdown - 1), paceHoldMs * (1 - (1 / slowdown)));

	return extraMs * Math.exp((atMs - nowMs) / paceHoldMs);
}

/**
Computes the requests in flight at the busiest of some instances, as a multiple of the mean; 1 where none has any.

@example
```
computeLoadSpread([busy, idle]); //=> 2
```
*/
export function computeLoadSpread(loads: readonly InstanceLoad[]): number {
	const counts = loads.map(({own, peers}) => own + peers.requests);
	const sum = counts.reduce((total, count) => total + count, 0);

	return sum === 0 ? 1 : Math.max(...counts) * counts.length / sum;
}
