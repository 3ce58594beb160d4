import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@fescuestair/core';
import {type GatewayLeaving, type GatewayPeers} from '@fescuestair/instances';
import {type Logger, type PrometheusMetrics} from '@fescuestair/runtime';
import {
	canAcceptWhileStopping, computeReturnMs, createStopState, decideStop, StopPhase, type HeardPeers, type StopState,
} from './decide-stop.js';
import {createRequestLengths} from './request-lengths.js';
import {type StopRefusal} from './request-handler.js';

export type PlannedStopOptions = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly metrics: Pick<PrometheusMetrics, 'count'>;
	readonly countGateways: () => number;
	readonly countRunning: () => number;
	/** How long this gateway took to start. */
	readonly getStartMs: () => number;
	/** Called when what the other gateways should know has changed. */
	readonly onChange: () => void;
};

/** The planned stop of a gateway: what it knows of the others, and what it decides from that. */
export type PlannedStop = {
	readonly recordRequest: () => void;
	readonly recordLength: (route: string, tookMs: number) => void;
	readonly recordPeers: (peers: GatewayPeers) => void;
	/** What the daemon record says of the stop; `undefined` before it. */
	readonly describeLeaving: () => GatewayLeaving | undefined;
	/** Counts the changes of what the daemon record says. */
	readonly countChanges: () => number;
	readonly findRefusal: (request: {readonly route: string; readonly limitMs: number}) => StopRefusal | undefined;
	/** When callers that are refused should return, in ms from now. */
	readonly computeReturnMs: () => number;
	/** Resolves once nothing is left to do, at the deadline at the latest. */
	readonly run: (deadlineMs: number) => Promise<void>;
};

type Progress = {
	readonly signalledAtMs: number;
	readonly deadlineMs: number;
	readonly sinceWallMs: number;
	readonly state: StopState;
	readonly isAccepting: boolean;
	readonly knownGateways: number;
};

const pollMs = 50;

/**
Creates the planned stop of a gateway, which begins when it is run.

@example
```
const planned = createPlannedStop({clock, log, metrics, countGateways, countRunning, getStartMs, onChange});
await planned.run(clock.readMonotonicMs() + 6800);
```
*/
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
	const {
		clock, log, metrics, countGateways, countRunning, getStartMs, onChange,
	} = options;
	const lengths = createRequestLengths();
	let peers: HeardPeers | undefined;
	let lastRequestAtMs = Number.NEGATIVE_INFINITY;
	let progress: Progress | undefined;
	let changes = 0;

	const describe = () => ({
		...(peers !== undefined && {
			ready: peers.ready, acceptingAfter: peers.acceptingAfter, ending: peers.ending, heardAgoMs: Math.round(clock.readMonotonicMs() - peers.heardAtMs),
		}),
		known: Math.max(progress?.knownGateways ?? 0, peers?.known ?? 0), running: countRunning(),
	});

	const step = (before: Progress): Progress => {
		const nowMs = clock.readMonotonicMs();
		const {signalledAtMs, deadlineMs} = before;
		const knownGateways = Math.max(before.knownGateways, peers?.known ?? 0);
		const longestMs = lengths.findLongestOfAllMs(nowMs);
		const canAcceptAll = canAcceptWhileStopping({
			nowMs, signalledAtMs, deadlineMs, longestMs, limitMs: Number.POSITIVE_INFINITY,
		});
		const state = decideStop(before.state, {
			nowMs, signalledAtMs, deadlineMs, peers, knownGateways, running: countRunning(), lastRequestAtMs, canAcceptAll,
		});

		if (state.phase !== before.state.phase || state.reason !== before.state.reason) {
			metrics.count('stop_decisions_total', {phase: state.phase, reason: state.reason});
			log.info('stop decision', {
				phase: state.phase, reason: state.reason, sinceMs: Math.round(nowMs - signalledAtMs), longestMs: Math.round(longestMs), ...describe(),
			});
		}

		return {
			...before, state, isAccepting: canAcceptAll && state.phase === StopPhase.Accepting, knownGateways,
		};
	};

	const getReturnMs = () => computeReturnMs({
		nowMs: clock.readMonotonicMs(), deadlineMs: progress?.deadlineMs ?? 0, peers, startTookMs: getStartMs(),
	});

	return {
		recordRequest() {
			lastRequestAtMs = clock.readMonotonicMs();
		},
		recordLength(route, tookMs) {
			lengths.record(route, tookMs, clock.readMonotonicMs());
		},
		recordPeers(heard) {
			peers = {...heard, heardAtMs: clock.readMonotonicMs()};
		},
		describeLeaving: () => progress && {sinceWallMs: progress.sinceWallMs, isAccepting: progress.isAccepting},
		countChanges: () => changes,
		findRefusal({route, limitMs}) {
			if (progress === undefined) {
				return undefined;
			}

			const nowMs = clock.readMonotonicMs();
			const {signalledAtMs, deadlineMs, state} = progress;
			const longestMs = lengths.findLongestMs(route, nowMs);

			if (state.phase === StopPhase.Accepting && canAcceptWhileStopping({
				nowMs, signalledAtMs, deadlineMs, longestMs, limitMs,
			})) {
				return undefined;
			}

			return {
				retryAfterMs: getReturnMs(),
				fields: {
					stop: {
						phase: state.phase, why: state.phase === StopPhase.Accepting ? 'it might not end in time' : state.reason,
						longestMs: longestMs === undefined ? 'unknown' : Math.round(longestMs), leftMs: Math.round(deadlineMs - nowMs), ...describe(),
					},
				},
			};
		},
		computeReturnMs: getReturnMs,
		async run(deadlineMs) {
			progress = {
				signalledAtMs: clock.readMonotonicMs(), deadlineMs, sinceWallMs: clock.readWallMs(), state: createStopState(), isAccepting: true, knownGateways: countGateways(),
			};
			changes++;
			log.info('gateway leaves', describe());
			onChange();

			while (progress.state.phase !== StopPhase.Ended) {
				await sleep(pollMs);
				const {isAccepting} = progress;
				progress = step(progress);

				if (progress.isAccepting !== isAccepting) {
					changes++;
					onChange();
				}
			}
		},
	};
}
