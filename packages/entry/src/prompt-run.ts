import {type ExecutionStatus} from '@fescuestair/protocol';
import {type PromptJob, type PromptRunOptions, type PromptSink} from './prompt-job.js';
import {createDeadlineRefusal, createUpstreamFailedRefusal} from './prompt-refusals.js';
import {planNext} from './plan-next.js';
import {createPromptRuns, maxAttempts} from './prompt-runs.js';

export {
	type AttemptPlan, type LostAttempt, type PromptEvent, type PromptJob, type PromptRunOptions, type PromptSink,
} from './prompt-job.js';

/**
Runs a prompt to completion. After a lost connection the stream is first resumed on the same engine. If the engine itself
was lost, another one continues after the text generated so far, so that no token is repeated or lost. While an engine is silent its run is kept, and another one
may be started beside it: the first of them that continues the answer goes on alone, and only then are the others cancelled.

@example
```
await runPrompt(options, job, {write: event => writer.write(event), waitForDrain: writer.waitForDrain});
```
*/
export async function runPrompt(options: PromptRunOptions, job: PromptJob, sink: PromptSink): Promise<void> {
	const prompt = createPromptRuns(options, job, sink);

	try {
		while (prompt.progress.attempt < maxAttempts) {
			checkDeadline(options, job, prompt.progress.ran);
			const plan = await planNext(options, {...job, begunBy: prompt.progress.begunBy}, {excluded: prompt.excluded, ran: prompt.progress.ran});

			if (plan !== undefined && await prompt.race(plan)) {
				return;
			}
		}
	} finally {
		prompt.stop();
	}

	throw createUpstreamFailedRefusal(prompt.getLastError(), prompt.progress.ran);
}

function checkDeadline(options: PromptRunOptions, job: PromptJob, ran: ExecutionStatus): void {
	if (options.clock.readMonotonicMs() >= job.deadlineMs) {
		throw createDeadlineRefusal(ran);
	}
}
