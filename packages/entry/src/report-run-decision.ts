import {type Clock} from '@fescuestair/core';
import {RequestEventKind, type RequestEvent} from '@fescuestair/protocol';
import {type Logger, type StatsdMetrics} from '@fescuestair/runtime';
import {RunAction, type RunEvidence, type SuccessionObstacle} from '@fescuestair/streams';

/** What was decided about a run that has not ended by itself. */
export type RunDecisionReport = {
	readonly requestId: string;
	readonly attempt: number;
	readonly upstreamId: string;
	readonly evidence: RunEvidence;
	readonly action: RunAction;
	/** How long the upstream has sent nothing; 0 where that is no longer than it should need. */
	readonly silentMs: number;
	/** The upstream that takes over, or may; `undefined` if there is none. */
	readonly successorId?: string | undefined;
	/** Why nothing takes over. */
	readonly obstacle?: SuccessionObstacle | undefined;
};

export type RunReportServices = {
	readonly clock: Clock;
	readonly log: Pick<Logger, 'info'>;
	readonly metrics: Pick<StatsdMetrics, 'count'>;
	readonly recordRequestEvent: (event: RequestEvent) => void;
};

/**
Logs, counts and records what was decided about a run that has not ended by itself.

@example
```
const run = {requestId: 'r-1', attempt: 1, upstreamId: 'engine-1', silentMs: 2600};
reportRunDecision(services, {...run, evidence: RunEvidence.Silent, action: RunAction.Keep, obstacle: SuccessionObstacle.NoBudget});
```
*/
export function reportRunDecision({clock, log, metrics, recordRequestEvent}: RunReportServices, report: RunDecisionReport): void {
	const {requestId, attempt, upstreamId, evidence, action, successorId, obstacle} = report;
	const silentMs = Math.round(report.silentMs);
	log.info(action === RunAction.Cancel ? 'run cancelled' : 'upstream is silent', {
		requestId, upstream: upstreamId, attempt, evidence, action, silentMs, ...(successorId !== undefined && {successor: successorId}), ...(obstacle !== undefined && {obstacle}),
	});
	metrics.count('run_decisions', {evidence, action, obstacle: obstacle ?? 'none'});
	recordRequestEvent({
		kind: RequestEventKind.RunDecided, requestId, attempt, atMs: clock.readWallMs(), upstreamId, evidence, action, silentMs,
		...(successorId !== undefined && {successorId}),
		...(obstacle !== undefined && {obstacle}),
	});
}
