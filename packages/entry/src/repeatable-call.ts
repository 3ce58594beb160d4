import {setTimeout as sleep} from 'node:timers/promises';
import {type MemberRecord} from '@fescuestair/membership';
import {
	AttemptOutcome, ExecutionStatus, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {
	decideRun, describeRunEvidence, RunAction, RunEvidence, type SuccessionObstacle,
} from '@fescuestair/streams';
import {AttemptError} from './attempt-error.js';
import {reportRunDecision, type RunDecisionReport} from './report-run-decision.js';
import {type EntryServices} from './request-context.js';
import {
	attemptCall, chooseInstance, isInstanceOf, type ServiceResult, type ServiceTarget,
} from './service-attempt.js';
import {type ServiceResponse} from './service-call.js';
import {checkLimits, correctExecution, reserveUpstream} from './upstream-permits.js';

const pollIntervalMs = 100;
const deadlineRetryAfterSeconds = 1;
/** An instance that sends nothing for this share of the time for a call counts as silent. */
const silenceShare = 1 / 3;

/** One attempt that has not ended. */
type OpenCall = {
	readonly record: MemberRecord;
	readonly attempt: number;
	readonly abort: AbortController;
	/** Resolves once the attempt has ended, in whichever way. */
	ended: Promise<void>;
	heardAtMs: number;
	isSent: boolean;
	obstacle: SuccessionObstacle | undefined;
};

/**
Makes a call that may be repeated, at one instance after the other until one answers or the deadline passes. While an instance is silent its call is kept, and another
one is made beside it; the first whole response counts.

@example
```
const result = await callRepeatably(services, caller.requestId, {service, call, deadlineMs});
```
*/
export async function callRepeatably(services: EntryServices, requestId: string, {service, call, deadlineMs}: ServiceTarget): Promise<ServiceResult> {
	const {clock} = services;
	const silenceTimeoutMs = service.timeoutMs * silenceShare;
	const openCalls = new Set<OpenCall>();
	const attempts = {refusals: 0};
	let excludedIds = new Set<string>();
	let attempt = 0;
	let ran = ExecutionStatus.NotRun;
	const outcome: {response?: ServiceResponse; failure?: Error} = {};

	const measureSilence = ({heardAtMs}: OpenCall) => {
		const silentMs = clock.readMonotonicMs() - heardAtMs;

		return silentMs >= silenceTimeoutMs ? silentMs : 0;
	};

	const follow = async (open: OpenCall) => {
		try {
			if (!await reserveUpstream(services, open.record, {deadlineMs, priority: Priority.Short, attempts}) || open.abort.signal.aborted) {
				return;
			}

			open.isSent = true;
			open.heardAtMs = clock.readMonotonicMs();
			const result = await attemptCall(services, requestId, {
				record: open.record,
				attempt: open.attempt,
				call,
				timeoutMs: Math.max(1, deadlineMs - clock.readMonotonicMs()),
				isAtMostOnce: false,
				signal: open.abort.signal,
				onHeard() {
					open.heardAtMs = clock.readMonotonicMs();
				},
			});
			outcome.response ??= result;
		} catch (error) {
			if (!(error instanceof AttemptError)) {
				outcome.failure ??= error as Error;
			} else if (openCalls.has(open)) {
				ran = error.ran === ExecutionStatus.NotRun ? ran : ExecutionStatus.Unknown;
				excludedIds.add(open.record.id);
			}
		} finally {
			openCalls.delete(open);
		}
	};

	const start = (record: MemberRecord) => {
		attempt++;
		const open: OpenCall = {
			record, attempt, abort: new AbortController(), ended: Promise.resolve(), heardAtMs: clock.readMonotonicMs(), isSent: false, obstacle: undefined,
		};
		openCalls.add(open);
		open.ended = follow(open);
	};

	// An instance that has failed is asked again only once all have.
	const chooseNext = (): MemberRecord | undefined => {
		const query = {serviceName: service.name, deadlineMs};
		const openIds = [...openCalls].map(open => open.record.id);

		return chooseInstance(services, {...query, excludedIds: new Set([...excludedIds, ...openIds])}) ?? chooseInstance(services, {...query, excludedIds});
	};

	const report = ({record, attempt: openAttempt}: OpenCall, decision: Omit<RunDecisionReport, 'requestId' | 'attempt' | 'upstreamId'>) => {
		reportRunDecision(services, {
			requestId, attempt: openAttempt, upstreamId: record.id, ...decision,
		});
	};

	const decideSilentCalls = () => {
		const [first] = openCalls;
		const silentMs = Math.min(...[...openCalls].map(open => open.isSent ? measureSilence(open) : 0));

		if (first === undefined || silentMs === 0) {
			return;
		}

		const next = chooseNext();
		const {action, obstacle} = decideRun(RunEvidence.Silent, {
			isRepeatable: true, hasPosition: true, isStarted: false, attemptsLeft: 1, hasTime: true, isHeldBack: false, hasUpstream: next !== undefined, hasBudget: true,
		});

		if (action === RunAction.AddRun) {
			report(first, {
				evidence: RunEvidence.Silent, action, silentMs, successorId: next!.id,
			});
			start(next!);
		} else if (first.obstacle !== obstacle) {
			first.obstacle = obstacle;
			report(first, {
				evidence: RunEvidence.Silent, action, silentMs, obstacle,
			});
		}
	};

	const startFirst = () => {
		const record = chooseNext();

		if (record !== undefined) {
			start(record);

			return;
		}

		checkLimits(services, isInstanceOf(service.name));
		// Every instance has failed once, or none is available yet: all of them are tried again.
		excludedIds = new Set();
	};

	const cancelCall = (open: OpenCall, evidence: RunEvidence) => {
		const silentMs = measureSilence(open);
		openCalls.delete(open);
		open.abort.abort(new AttemptError(silentMs > 0 ? AttemptOutcome.Silent : AttemptOutcome.Cancelled, describeRunEvidence(evidence)));

		if (open.isSent) {
			report(open, {
				evidence, action: RunAction.Cancel, silentMs, obstacle: open.obstacle,
			});
		}
	};

	try {
		while (outcome.response === undefined && clock.readMonotonicMs() < deadlineMs) {
			if (outcome.failure !== undefined) {
				throw outcome.failure;
			}

			if (openCalls.size === 0) {
				startFirst();
			} else {
				decideSilentCalls();
			}

			await Promise.race([sleep(pollIntervalMs), ...[...openCalls].map(async open => open.ended)]);
		}
	} catch (error) {
		throw correctExecution(error, ran);
	} finally {
		for (const open of openCalls) {
			cancelCall(open, outcome.response === undefined ? RunEvidence.DeadlinePassed : RunEvidence.Superseded);
		}
	}

	if (outcome.response !== undefined) {
		return {...outcome.response, isReplay: false};
	}

	throw new RefusalError({
		code: RefusalCode.DeadlinePassed, message: `no instance of ${service.name} answered in time`, ran: ExecutionStatus.Unknown, retryAfterSeconds: deadlineRetryAfterSeconds,
	});
}
