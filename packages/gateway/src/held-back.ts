import {isRequestTrait, type HeldBack} from '@fescuestair/crashes';
import {WaitDecision} from '@fescuestair/routing';
import {type CallerStream} from './caller-stream.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';

/** Finds out why a request may not be sent now; `undefined` where it may, also as a trial. */
export async function findHeldBackOrTry({crashes}: ForwardOptions, exchange: Exchange, {progress, stream}: {
	readonly progress: ForwardingProgress; readonly stream: CallerStream;
}): Promise<HeldBack | undefined> {
	const heldBack = progress.isTrial ? undefined : crashes.findHeldBack(exchange);

	// A request that may have run already is no trial: what it is held back for may be its own doing.
	if (heldBack !== undefined && progress.sentCount === 0 && !stream.hasStarted()) {
		progress.isTrial = await crashes.requestTrial(exchange, heldBack);
	}

	// The next trial may have been put off by the answer.
	return heldBack === undefined || progress.isTrial ? undefined : crashes.findHeldBack(exchange) ?? heldBack;
}

/** Records that a request is refused because it is held back, and describes the refusal. */
export function describeHeldBack({clock, metrics}: ForwardOptions, {trait, crashCount, trialAtMs}: HeldBack, {service, progress}: {
	readonly service: string; readonly progress: ForwardingProgress;
}): {readonly reason: string; readonly retryAfterMs: number} {
	progress.story.push({decision: WaitDecision.Refuse, heldBackFor: trait, crashes: crashCount});
	metrics.count('quarantine_refusals_total', {service});

	return {
		reason: isRequestTrait(trait) ? 'instances crashed each time that they ran this request' : 'instances crashed each time that they answered a prompt with one of its parts',
		retryAfterMs: trialAtMs - clock.readMonotonicMs(),
	};
}
