import {setTimeout as sleep} from 'node:timers/promises';
import {maxReservationMs, minPermitsPerSecond, planReturn} from '@fescuestair/limits';
import {PermitOutcome} from '@fescuestair/runtime';
import {type Service} from '@fescuestair/traffic';
import {type InstanceChoice} from './choose-place.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions, type ForwardingProgress} from './forward-options.js';
import {isOpenTo} from './forwarding-context.js';
import {type InstanceFilter} from './instance-pool.js';

const msPerSecond = 1000;
/** More urgent than any request that has not been sent. */
const underWayPriority = -1;

export type PermitInput = {
	readonly service: Service;
	readonly progress: ForwardingProgress;
	readonly choice: InstanceChoice;
	/** Time left in which the request can still be served. */
	readonly timeLeftMs: number;
	/** Whether the request may have run or its response has begun, so that it would be lost. */
	readonly isUnderWay: boolean;
};

/**
Gets the permit that a request needs where the chosen instance names a limit. Returns whether the request may be sent now. If not, the
instance has to be chosen again: the request now holds a permit, or the instance is closed for a while.
*/
export async function requestPermit(options: ForwardOptions, exchange: Exchange, {service, progress, choice, timeLeftMs, isUnderWay}: PermitInput): Promise<boolean> {
	const {permits, requestLimits, instancePool, clock} = options;
	const {record} = choice.entry.held;
	const {permit: held} = progress;

	if (held?.record.id === record.id && held.record.incarnation === record.incarnation && permits.isUsable(record, held.permit)) {
		progress.permit = undefined;

		return true;
	}

	releasePermit(options, progress);

	if (requestLimits.getPerSecond(record) === undefined) {
		return true;
	}

	const hasAlternative = instancePool.listAvailable(service.name).some(other => other.held.record.id !== record.id && isOpenTo(progress, other)
		&& requestLimits.getPerSecond(other.held.record) === undefined);
	const result = await permits.reserve(record, {
		maxWaitMs: hasAlternative ? 0 : Math.min(maxReservationMs, Math.max(0, timeLeftMs - choice.placement.expectedMs)),
		priority: isUnderWay ? underWayPriority : exchange.organisation?.priority ?? exchange.route.priority,
	});

	if (result.outcome === PermitOutcome.Granted) {
		progress.permit = {record, permit: result.permit};
		const waitMs = result.permit.startAtMs - clock.readMonotonicMs();

		if (waitMs > 0) {
			progress.waits++;
			await sleep(waitMs);
		}
	} else if (result.outcome !== PermitOutcome.Unlimited) {
		progress.permitRefusals++;
	}

	// During a change of the leader, a request that can go nowhere else waits for the next one.
	if (result.outcome === PermitOutcome.Unanswered && permits.isAnswerExpected() && !hasOpenInstance(options, {service, progress})) {
		await sleep(Math.max(0, Math.min(timeLeftMs, permits.getClosedUntilMs(record) - clock.readMonotonicMs())));
	}

	return false;
}

function hasOpenInstance({instancePool}: ForwardOptions, {service, progress}: Pick<PermitInput, 'service' | 'progress'>): boolean {
	return instancePool.listAvailable(service.name, entry => isOpenTo(progress, entry)).length > 0;
}

/** Returns the permit that a request holds and no longer needs. */
export function releasePermit({permits}: ForwardOptions, progress: ForwardingProgress): void {
	if (progress.permit !== undefined) {
		permits.release(progress.permit.record, progress.permit.permit);
		progress.permit = undefined;
	}
}

/** When the first limit that closes an instance of a service, of those that pass the filter, leaves room again; `undefined` where none closes one. */
export function findLimitEndMs({instancePool, permits}: ForwardOptions, service: string, filter: InstanceFilter): number | undefined {
	const ends = instancePool.listLimited(service).filter(instance => filter(instance)).map(({held: {record}}) => permits.getClosedUntilMs(record));

	return ends.length === 0 ? undefined : Math.min(...ends);
}

/**
Computes when a caller that is refused because of limits should return. Callers take turns at the rate at which this gateway can send requests to
the closed instances, if all gateways have as many.
*/
export function computeReturnDelayMs({instancePool, requestLimits, countGateways, returns, clock}: ForwardOptions, service: string, leftMs: number): number {
	const nowMs = clock.readMonotonicMs();
	let perSecond = 0;

	for (const {held: {record}} of instancePool.listLimited(service)) {
		perSecond += Math.max(minPermitsPerSecond, requestLimits.getPerSecond(record) ?? 0);
	}

	const {returnAtMs, nextReturnMs} = planReturn(returns.get(service), {
		reopeningMs: nowMs + leftMs, spacingMs: msPerSecond * countGateways() / Math.max(minPermitsPerSecond, perSecond), nowMs,
	});
	returns.set(service, nextReturnMs);

	return returnAtMs - nowMs;
}
