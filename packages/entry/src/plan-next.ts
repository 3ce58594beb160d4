import {
	type ExecutionStatus, RefusalCode,
} from '@fescuestair/protocol';
import {SuccessionObstacle} from '@fescuestair/streams';
import {type AttemptPlan, type PromptJob, type PromptRunOptions} from './prompt-job.js';
import {correctExecution} from './upstream-permits.js';

/** What a refusal to plan another attempt says. */
export const obstaclesByRefusal: ReadonlyMap<RefusalCode, SuccessionObstacle> = new Map([
	[RefusalCode.Quarantined, SuccessionObstacle.HeldBack],
	[RefusalCode.DeadlineTooShort, SuccessionObstacle.NoTime],
]);

type NextPlanInput = {readonly excluded: ReadonlySet<string>; readonly ran: ExecutionStatus};

/** Plans an attempt and waits for its permit; `undefined` where another engine has to be chosen. */
export async function planNext(options: PromptRunOptions, job: PromptJob, {excluded, ran}: NextPlanInput): Promise<AttemptPlan | undefined> {
	try {
		const plan = await options.planAttempt(job, excluded);

		return await options.reserveEngine(job, plan.record) ? plan : undefined;
	} catch (error) {
		throw correctExecution(error, ran);
	}
}
