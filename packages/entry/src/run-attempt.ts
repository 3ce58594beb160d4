import {type IncomingHttpHeaders} from 'node:http';
import {type MemberRecord} from '@fescuestair/membership';
import {
	AttemptOutcome, RequestEventKind, ExecutionStatus, RefusalError, headerNames, type EngineLoad,
} from '@fescuestair/protocol';
import {
	describeRunFault, RunFault, type StreamOrigin, type SuccessionObstacle,
} from '@fescuestair/streams';
import {AttemptError} from './attempt-error.js';
import {generate} from './engine-client.js';
import {canContinueAnswer} from './engine-origin.js';
import {type EngineEvent, type EventSink} from './engine-events.js';
import {type AttemptPlan, type PromptJob, type PromptRunOptions} from './prompt-job.js';
import {readRun} from './read-run.js';

/** What all attempts so far have produced. `offset` counts tokens. */
export type Progress = {
	text: string;
	offset: number;
	attempt: number;
	hasFirstToken: boolean;
	/** What wrote the first event. */
	begunBy?: StreamOrigin;
	/** What is known of all attempts together. */
	ran: ExecutionStatus;
};

/** Records what a run says of the execution. One that was not accepted says nothing of those before it. */
export function recordExecution(progress: Progress, ran: ExecutionStatus): void {
	if (progress.ran === ExecutionStatus.NotRun) {
		progress.ran = ran;
	}
}

/** One attempt that has not ended. */
export type Run = {
	readonly plan: AttemptPlan;
	readonly attempt: number;
	readonly sentAtMs: number;
	readonly offsetBefore: number;
	/** Stops the reading of the run. */
	readonly reader: AbortController;
	readonly endDispatch: () => void;
	isDispatched: boolean;
	/** Whether its upstream has got the prompt. */
	isSent: boolean;
	/** Version of the software that its answer names; `undefined` where it names none, or has not begun. */
	answeredVersion: string | undefined;
	/** How long it has sent nothing; 0 where that is no longer than it should need. */
	silentMs: number;
	/** Whether it has sent heartbeats only for longer than it should need for an event. */
	isStalled: boolean;
	/** Why nothing could take over when that was last decided. */
	obstacle: SuccessionObstacle | undefined;
};

// A stream that is read again counts against the limit of its engine. Without a permit it is not.
async function canReadAgain(options: PromptRunOptions, job: PromptJob, record: MemberRecord): Promise<boolean> {
	try {
		return await options.reserveReading(job, record);
	} catch (error) {
		if (error instanceof RefusalError) {
			return false;
		}

		throw error;
	}
}

type AttemptInput = {
	readonly run: Run;
	readonly progress: Progress;
	readonly sink: EventSink<EngineEvent>;
	readonly onSilence: (run: Run, silentMs: number) => void;
	readonly onSilenceEnd: (run: Run) => void;
	readonly onStall: (run: Run, stalledMs: number) => void;
};

/** Sends a prompt to the engine of a run and reads its answer; reports its silence. */
export async function runAttempt(options: PromptRunOptions, job: PromptJob, input: AttemptInput): Promise<void> {
	const {run, progress, sink} = input;
	const {attempt, plan: {record, fetchPlan}, reader: {signal}} = run;
	const imported = fetchPlan === undefined
		? undefined
		: await options.fetchPieces({
			plan: fetchPlan, engine: record, requestId: job.requestId, attempt, signal,
		});

	if (signal.aborted) {
		throw new AttemptError(AttemptOutcome.Cancelled, 'cancelled', ExecutionStatus.NotRun);
	}

	run.isDispatched = true;
	options.recordRequestEvent({
		kind: RequestEventKind.Dispatched, requestId: job.requestId, attempt, atMs: options.clock.readWallMs(), upstreamId: record.id,
	});
	await readRun({
		agent: options.agent,
		clock: options.clock,
		address: record.address,
		requestId: job.requestId,
		organisation: job.organisation,
		signal,
		sink,
		getOffset: () => progress.offset,
		reserveReading: async () => canReadAgain(options, job, record),
		onSilence(silentMs) {
			input.onSilence(run, silentMs);
		},
		onSilenceEnd() {
			input.onSilenceEnd(run);
		},
		onStall(stalledMs) {
			input.onStall(run, stalledMs);
		},
		onLost(error) {
			recordExecution(progress, error.ran);
			run.isSent = true;
		},
		onLoad(load: EngineLoad) {
			options.loadTracker.recordLoad(record.id, load);
		},
		onResponseHead(status: number, {headers, sentAtMs}: {readonly headers: IncomingHttpHeaders; readonly sentAtMs: number}) {
			options.standings.recordResponse(record, {status, headers, sentAtMs});
		},
		findHeadFault(headers: IncomingHttpHeaders) {
			const answeredVersion = headers[headerNames.softwareVersion];

			// What the engine has announced was compared when it was chosen.
			if (typeof answeredVersion !== 'string') {
				return undefined;
			}

			run.answeredVersion = answeredVersion;

			return canContinueAnswer(record, {model: job.model, begunBy: progress.begunBy, answeredVersion})
				? undefined
				: describeRunFault(RunFault.SoftwareVersion);
		},
		maxResumes: 1,
	}, async (call, ownSink) => generate(call, {
		requestId: job.requestId,
		attempt,
		organisation: job.organisation,
		model: job.model,
		weightVersion: job.weightVersion,
		prompt: job.prompt,
		maxTokens: job.maxTokens,
		priority: job.priority,
		continueText: progress.text,
		fromOffset: progress.offset,
		import: imported,
	}, ownSink));
}
