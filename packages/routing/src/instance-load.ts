import {createWorkBacklog, type WorkBacklog} from './work-backlog.js';

/** What an instance told of its load with a response. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	readonly atMs: number;
	/** Requests that this daemon itself had there when the report was made. */
	readonly ownAtReport: number;
};

/** Requests that other daemons have at an instance. */
export type PeerLoad = {readonly requests: number; readonly heldTokens: number};

export const noPeerLoad: PeerLoad = {requests: 0, heldTokens: 0};

/** What one daemon knows of the load of one instance: its own requests exactly, those of others from reports. Immutable. */
export type InstanceLoad = {
	/** Own requests in progress. */
	readonly own: number;
	/** When it will have read all prompts sent to it, by any daemon. */
	readonly work: WorkBacklog;
	/** Tokens of own requests in progress, read and to be made. */
	readonly ownHeldTokens: number;
	readonly report: LoadReport | undefined;
	/** What the other gateways say that they have there. */
	readonly peers: PeerLoad;
	/** Mean time from sending to the first piece, or to the whole answer where there are no pieces. */
	readonly meanMs: number | undefined;
};

/** A report says nothing after this: a few times as long as a request lasts. */
const reportValidityMs = 1500;
/** Weight of the newest sample in means. */
const smoothingFactor = 0.2;

/** Creates the load of an instance that got nothing from here yet. */
export function createInstanceLoad(): InstanceLoad {
	return {
		own: 0, work: createWorkBacklog(), ownHeldTokens: 0, report: undefined, peers: noPeerLoad, meanMs: undefined,
	};
}

/**
Estimates the requests that others have at an instance: what they say, or more where a report told of more; a report fades as it ages.

@example
```
estimateOthers(load, nowMs); //=> 3.5
```
*/
export function estimateOtherRequests({report, peers}: InstanceLoad, nowMs: number): number {
	if (report === undefined || nowMs - report.atMs >= reportValidityMs) {
		return peers.requests;
	}

	const others = Math.max(0, report.running + report.waiting - report.ownAtReport);

	return Math.max(peers.requests, others * (1 - ((nowMs - report.atMs) / reportValidityMs)));
}

/** Takes a sample into a mean. */
export function mergeSample(mean: number | undefined, sample: number): number {
	return mean === undefined ? sample : mean + (smoothingFactor * (sample - mean));
}
