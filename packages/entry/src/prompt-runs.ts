import {
	AttemptOutcome, RequestEventKind, ExecutionStatus, RefusalCode, RefusalError,
} from '@fescuestair/protocol';
import {
	decideRun, describeRunEvidence, RunAction, RunEvidence, SuccessionObstacle, type Succession,
} from '@fescuestair/streams';
import {AttemptError} from './attempt-error.js';
import {cancel} from './engine-client.js';
import {type EngineEvent, type EventSink} from './engine-events.js';
import {
	type AttemptPlan, type PromptJob, type PromptRunOptions, type PromptSink,
} from './prompt-job.js';
import {createDeadlineRefusal, createQuarantinedRefusal, overloadRetrySeconds} from './prompt-refusals.js';
import {describeEngineOrigin} from './engine-origin.js';
import {obstaclesByRefusal, planNext} from './plan-next.js';
import {silenceTimeoutMs} from './read-run.js';
import {type RunDecisionReport} from './report-run-decision.js';
import {
	recordExecution, runAttempt, type Progress, type Run,
} from './run-attempt.js';
import {correctExecution} from './upstream-permits.js';

/** A prompt is sent to engines so many times at most. */
export const maxAttempts = 4;

/** The runs of one prompt, one after the other and beside each other. */
export type PromptRuns = {
	readonly progress: Progress;
	/** Ids of the engines that no further attempt is made at. */
	readonly excluded: ReadonlySet<string>;
	readonly getLastError: () => AttemptError | undefined;
	/** Starts a run, and others beside it while all are silent; resolves to whether the answer is whole. Otherwise none is left and another attempt may be made. */
	readonly race: (plan: AttemptPlan) => Promise<boolean>;
	/** Cancels what is left. */
	readonly stop: () => void;
};

/**
Creates the runs of a prompt; none is started yet.

@example
```
const runs = createPromptRuns(options, job, sink);
const isWhole = await runs.race(plan);
```
*/
export function createPromptRuns(options: PromptRunOptions, job: PromptJob, sink: PromptSink): PromptRuns {
	const {clock} = options;
	const progress: Progress = {
		text: '', offset: 0, attempt: 0, hasFirstToken: false, ran: ExecutionStatus.NotRun,
	};
	const excluded = new Set<string>();
	const runs = new Set<Run>();
	/** Runs that can't be read any more and may go on all the same. */
	const lostRuns = new Set<Run>();
	let lastError: AttemptError | undefined;
	let stopEvidence: RunEvidence | undefined;
	let isHeldBack = false;
	/** Whether the prompt may be sent again, asked after the latest crash. */
	let crashReport: Promise<boolean> | undefined;
	let planning: AbortController | undefined;
	/** While no other upstream takes the request, this is not asked all the time. */
	let planAgainAtMs = 0;

	const areAllSilent = () => [...runs].every(run => run.silentMs > 0);

	const isTooLate = () => clock.readMonotonicMs() >= job.deadlineMs && [...runs].every(run => run.silentMs > 0 || run.isStalled);

	const cancelAtEngine = ({plan}: Run) => {
		void cancel({agent: options.agent, address: plan.record.address}, job.requestId, job.organisation);
	};

	const recordEnd = (run: Run, end: AttemptOutcome, detail: string) => {
		runs.delete(run);
		run.endDispatch();

		if (run.isDispatched) {
			options.recordRequestEvent({
				kind: RequestEventKind.AttemptEnded, requestId: job.requestId, attempt: run.attempt, atMs: clock.readWallMs(), end, detail, offset: progress.offset,
			});
		}
	};

	// Ends a run that has not ended by itself.
	const cancelRun = (run: Run, evidence: RunEvidence, successorId?: string) => {
		const {plan: {record}, attempt, silentMs, obstacle, isDispatched} = run;
		const isSilent = silentMs > 0;
		const silence = isSilent ? `, silent for ${Math.round(silentMs)} ms` : '';
		recordEnd(run, isSilent ? AttemptOutcome.Silent : AttemptOutcome.Cancelled, `${describeRunEvidence(evidence)}${silence}`);
		run.reader.abort();
		options.reportRunDecision({
			requestId: job.requestId, attempt, upstreamId: record.id, evidence, action: RunAction.Cancel, silentMs, successorId, obstacle: successorId === undefined ? obstacle : undefined,
		});

		// At the stop of this entry the caller goes on with it at another one.
		const isLeft = evidence === RunEvidence.StopTimeout
			|| (evidence === RunEvidence.CallerGone && progress.offset > run.offsetBefore && options.keepLeftRun(job, record));

		if (isDispatched && !isLeft) {
			cancelAtEngine(run);
		}
	};

	const cancelLostRuns = () => {
		for (const run of lostRuns) {
			cancelAtEngine(run);
		}

		lostRuns.clear();
	};

	const supersedeOthers = (run: Run) => {
		planning?.abort();
		planning = undefined;

		for (const other of runs) {
			if (other !== run) {
				excluded.add(other.plan.record.id);
				cancelRun(other, RunEvidence.Superseded, run.plan.record.id);
			}
		}

		cancelLostRuns();
	};

	const createRunSink = (run: Run): EventSink<EngineEvent> => ({
		write(event) {
			if (!runs.has(run)) {
				return true;
			}

			run.isStalled = false;

			if (event.offset > progress.offset || event.finishReason !== undefined) {
				supersedeOthers(run);
			}

			if (!progress.hasFirstToken) {
				progress.hasFirstToken = true;
				options.recordRequestEvent({
					kind: RequestEventKind.FirstToken, requestId: job.requestId, attempt: run.attempt, atMs: clock.readWallMs(),
				});
			}

			progress.begunBy ??= describeEngineOrigin(run.plan.record, {model: job.model, answeredVersion: run.answeredVersion});
			progress.ran = ExecutionStatus.Ran;
			progress.text += event.text;
			progress.offset = event.offset;

			return sink.write({
				...event, requestId: job.requestId, upstreamId: run.plan.record.id, attempt: run.attempt,
			});
		},
		waitForDrain: sink.waitForDrain,
	});

	const race = async (firstPlan: AttemptPlan) => new Promise<boolean>((resolve, reject) => {
		let isSettled = false;

		const settle = (isWhole: boolean) => {
			isSettled = true;
			planning?.abort();
			job.signal.removeEventListener('abort', leave);
			resolve(isWhole);
		};

		const fail = (error: Error) => {
			isSettled = true;
			planning?.abort();
			job.signal.removeEventListener('abort', leave);
			reject(error);
		};

		const leave = () => {
			if (isSettled) {
				return;
			}

			stopEvidence = options.keepsRuns() ? RunEvidence.StopTimeout : RunEvidence.CallerGone;
			recordExecution(progress, [...runs].some(run => run.isDispatched) ? ExecutionStatus.Unknown : ExecutionStatus.NotRun);
			fail(new AttemptError(AttemptOutcome.Cancelled, describeRunEvidence(stopEvidence), progress.ran));
		};

		const start = (plan: AttemptPlan) => {
			progress.attempt++;
			const run: Run = {
				plan,
				attempt: progress.attempt,
				sentAtMs: clock.readMonotonicMs(),
				offsetBefore: progress.offset,
				reader: new AbortController(),
				endDispatch: options.loadTracker.beginDispatch(plan.record.id, job.priority, plan.prefillTokens),
				isDispatched: false,
				isSent: false,
				answeredVersion: undefined,
				silentMs: 0,
				isStalled: false,
				obstacle: undefined,
			};
			runs.add(run);
			void follow(run);
		};

		const follow = async (run: Run) => {
			try {
				await runAttempt(options, job, {
					run, progress, sink: createRunSink(run), onSilence, onSilenceEnd, onStall,
				});

				if (runs.has(run)) {
					recordEnd(run, AttemptOutcome.Complete, '');
					settle(true);
				}
			} catch (error) {
				// One that was cancelled here says nothing more.
				if (!runs.has(run)) {
					return;
				}

				try {
					await endFailedRun(run, error);
				} catch (error_) {
					fail(error_ as Error);
				}
			}
		};

		const endFailedRun = async (run: Run, error: unknown) => {
			if (!(error instanceof AttemptError)) {
				recordEnd(run, AttemptOutcome.Cancelled, '');
				cancelAtEngine(run);

				throw error;
			}

			recordEnd(run, error.end, error.message);
			recordExecution(progress, error.ran);
			lastError = error;
			excluded.add(run.plan.record.id);

			if (error.end === AttemptOutcome.ConnectionLost) {
				lostRuns.add(run);
			} else if (error.end !== AttemptOutcome.NotSent) {
				cancelAtEngine(run);
			}

			// The limit of tokens ends an answer, whether or not its engine could still say so. Another engine would go on past it.
			if (progress.offset >= job.maxTokens) {
				writeEnd(run);

				return;
			}

			await checkCrash(run, error);

			if (!isSettled && runs.size === 0 && planning === undefined) {
				takeRetry();
				settle(false);
			}
		};

		// `NotSent`: the engine accepted no connection for the resume. `ConnectionLost`: the resumed stream was lost too. An engine that was gone before did not
		// crash under this prompt.
		const checkCrash = async ({plan, sentAtMs, isSent, offsetBefore}: Run, error: AttemptError) => {
			if (!isSent || (error.end !== AttemptOutcome.NotSent && error.end !== AttemptOutcome.ConnectionLost)) {
				return;
			}

			crashReport = options.reportCrash(job, {
				record: plan.record, sentAtMs, isSent, isAnswered: progress.offset > offsetBefore,
			});

			if (await crashReport) {
				return;
			}

			isHeldBack = true;

			// What runs was sent before and may end well.
			if (runs.size === 0) {
				throw createQuarantinedRefusal();
			}
		};

		const takeRetry = () => {
			if (!options.withdrawRetry()) {
				throw new RefusalError({
					code: RefusalCode.Overloaded,
					message: 'an upstream failed and the budget for retries is spent',
					ran: progress.ran,
					retryAfterSeconds: overloadRetrySeconds,
				});
			}
		};

		const writeEnd = ({plan, attempt}: Run) => {
			sink.write({
				requestId: job.requestId, upstreamId: plan.record.id, attempt, offset: progress.offset, text: '', finishReason: 'length',
			});
			settle(true);
		};

		const onSilence = (run: Run, silentMs: number) => {
			if (isSettled || !runs.has(run)) {
				return;
			}

			run.silentMs = silentMs;

			if (progress.offset >= job.maxTokens) {
				recordEnd(run, AttemptOutcome.Silent, 'all tokens that were asked for are there');
				run.reader.abort();
				cancelAtEngine(run);
				writeEnd(run);
			} else if (isTooLate()) {
				endTooLate();
			} else {
				decideSilentRun(run);
			}
		};

		const endTooLate = () => {
			stopEvidence = RunEvidence.DeadlinePassed;
			recordExecution(progress, ExecutionStatus.Unknown);
			fail(createDeadlineRefusal(progress.ran));
		};

		// An engine may send heartbeats for a run that it has cancelled.
		const onStall = (run: Run) => {
			run.isStalled = true;

			if (!isSettled && runs.has(run) && isTooLate()) {
				endTooLate();
			}
		};

		const onSilenceEnd = (run: Run) => {
			run.silentMs = 0;
			run.obstacle = undefined;
		};

		const decideSilentRun = (run: Run) => {
			const {action, obstacle} = decideRun(RunEvidence.Silent, describeSuccession());

			if (action === RunAction.AddRun) {
				void prepareSuccessor(run);
			} else {
				keepRun(run, obstacle!);
			}
		};

		const describeSuccession = (): Succession => ({
			isRepeatable: true,
			hasPosition: true,
			isStarted: planning !== undefined || !areAllSilent(),
			attemptsLeft: maxAttempts - progress.attempt,
			hasTime: clock.readMonotonicMs() < job.deadlineMs,
			isHeldBack,
			hasUpstream: clock.readMonotonicMs() >= planAgainAtMs,
			hasBudget: options.hasRetry(),
		});

		const keepRun = (run: Run, obstacle: SuccessionObstacle) => {
			// A successor that is being prepared is told of once it is known.
			if (run.obstacle === obstacle || (obstacle === SuccessionObstacle.Started && planning !== undefined)) {
				return;
			}

			run.obstacle = obstacle;
			reportSilence(run, {action: RunAction.Keep, obstacle});
		};

		const reportSilence = ({plan, attempt, silentMs}: Run, decision: Pick<RunDecisionReport, 'action' | 'obstacle' | 'successorId'>) => {
			options.reportRunDecision({
				requestId: job.requestId, attempt, upstreamId: plan.record.id, evidence: RunEvidence.Silent, silentMs, ...decision,
			});
		};

		// Nothing is given up for a successor that is not there yet, and no retry is taken.
		const prepareSuccessor = async (run: Run) => {
			const preparation = new AbortController();
			planning = preparation;

			try {
				const plan = await planNext(options, {...job, signal: preparation.signal, begunBy: progress.begunBy}, {
					excluded: new Set([...excluded, ...[...runs].map(other => other.plan.record.id)]), ran: progress.ran,
				});
				await crashReport;

				if (isSettled || preparation.signal.aborted) {
					return;
				}

				planning = undefined;

				if (plan === undefined) {
					planAgainAtMs = clock.readMonotonicMs() + silenceTimeoutMs;
				}

				if (isHeldBack && runs.size === 0) {
					throw createQuarantinedRefusal();
				}

				if (isHeldBack || (runs.size > 0 && (plan === undefined || !areAllSilent()))) {
					return;
				}

				if (runs.size === 0) {
					takeRetry();
				} else if (!options.withdrawRetry()) {
					keepRun(run, SuccessionObstacle.NoBudget);

					return;
				}

				if (plan === undefined) {
					settle(false);

					return;
				}

				reportSilence(run, {action: RunAction.AddRun, successorId: plan.record.id});
				start(plan);
			} catch (error) {
				if (isSettled || preparation.signal.aborted) {
					return;
				}

				planning = undefined;

				if (runs.size === 0 || !(error instanceof RefusalError)) {
					fail(correctExecution(error, progress.ran) as Error);

					return;
				}

				planAgainAtMs = clock.readMonotonicMs() + silenceTimeoutMs;
				keepRun(run, obstaclesByRefusal.get(error.refusal.code) ?? SuccessionObstacle.NoUpstream);
			}
		};

		job.signal.addEventListener('abort', leave);
		start(firstPlan);

		if (job.signal.aborted) {
			leave();
		}
	});

	return {
		progress,
		excluded,
		getLastError: () => lastError,
		race,
		stop() {
			for (const run of runs) {
				if (stopEvidence === undefined) {
					recordEnd(run, AttemptOutcome.Cancelled, 'the request has ended');
					run.reader.abort();
					cancelAtEngine(run);
				} else {
					cancelRun(run, stopEvidence);
				}
			}

			if (stopEvidence !== RunEvidence.StopTimeout) {
				cancelLostRuns();
			}
		},
	};
}
