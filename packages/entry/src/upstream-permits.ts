import {setTimeout as sleep} from 'node:timers/promises';
import {maxReservationMs} from '@fescuestair/limits';
import {type MemberRecord} from '@fescuestair/membership';
import {
	ExecutionStatus, RefusalCode, RefusalError, type UpstreamDetails,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {PermitOutcome} from '@fescuestair/runtime';
import {createRefusal, type EntryServices} from './request-context.js';
import {listUsableUpstreams} from './upstream-load-tracker.js';

type PermitServices = Pick<EntryServices, 'clock' | 'follower' | 'gossip' | 'permits' | 'standings'>;

const msPerSecond = 1000;
/** A request that got no permit from this many upstreams that name limits, one after the other, is refused. */
const maxPermitRefusals = 6;

/**
Lists the upstreams that may get a new request. If limits close all of them, lists those that open soon enough for the request to reserve a
permit.
*/
export function listOpenUpstreams({clock, follower, gossip, standings}: PermitServices, isWanted: (details: UpstreamDetails) => boolean, deadlineMs: number): readonly MemberRecord[] {
	const query = {membership: gossip.getMembership(), state: follower.getState()};
	const open = listUsableUpstreams({...query, isOpen: record => standings.isAvailable(record)}, isWanted);
	const withinMs = Math.min(maxReservationMs, Math.max(0, deadlineMs - clock.readMonotonicMs()));

	return open.length > 0 ? open : listUsableUpstreams({...query, isOpen: record => standings.isAvailable(record, {withinMs})}, isWanted);
}

/** Throws a refusal, with a time to return, if upstreams would take the request but for the limits that they name, and none takes it now. */
export function checkLimits({clock, follower, gossip, permits, standings}: PermitServices, isWanted: (details: UpstreamDetails) => boolean): void {
	const usable = listUsableUpstreams({
		membership: gossip.getMembership(), state: follower.getState(), isOpen: record => standings.isAvailable(record, {withinMs: Number.POSITIVE_INFINITY}),
	}, isWanted);
	const reopeningMs = Math.min(...usable.map(record => permits.getClosedUntilMs(record)));

	if (usable.length > 0 && reopeningMs > clock.readMonotonicMs()) {
		throw createLimitedRefusal(reopeningMs - clock.readMonotonicMs(), permits.isUnanswered());
	}
}

/** Creates the refusal of a request that the limits of upstreams leave no room for. */
export function createLimitedRefusal(retryAfterMs: number, isUnanswered: boolean) {
	const reason = isUnanswered ? 'no control replica grants permits for upstreams that name a limit' : 'the limits that the upstreams name are used up';

	return createRefusal(RefusalCode.UpstreamLimited, reason, Math.max(1, Math.ceil(retryAfterMs / msPerSecond)));
}

/** Makes a refusal true that says a request did not run, where an earlier attempt may have run it. */
export function correctExecution(error: unknown, earlier: ExecutionStatus | undefined): unknown {
	return error instanceof RefusalError && earlier !== undefined && earlier !== ExecutionStatus.NotRun ? new RefusalError({...error.refusal, ran: earlier}) : error;
}

/** Counts the upstreams whose limits left no permit for one request. */
export type PermitAttempts = {refusals: number};

/**
Waits for a permit where the upstream names a limit. Returns whether the request may be sent now; if not, another upstream has to be chosen.
Throws a refusal after several upstreams left no permit.
*/
export async function reserveUpstream({clock, permits}: Pick<EntryServices, 'clock' | 'permits'>, record: MemberRecord, {deadlineMs, priority, attempts}: {
	/** Monotonic. */
	readonly deadlineMs: number;
	readonly priority: Priority;
	readonly attempts: PermitAttempts;
}): Promise<boolean> {
	const timeLeftMs = Math.max(0, deadlineMs - clock.readMonotonicMs());
	const result = await permits.reserve(record, {maxWaitMs: Math.min(maxReservationMs, timeLeftMs), priority: priority === Priority.Short ? 0 : 1});

	if (result.outcome === PermitOutcome.Unlimited) {
		return true;
	}

	if (result.outcome === PermitOutcome.Granted) {
		await sleep(Math.max(0, result.permit.startAtMs - clock.readMonotonicMs()));

		return permits.isUsable(record, result.permit);
	}

	attempts.refusals++;
	const closedMs = permits.getClosedUntilMs(record) - clock.readMonotonicMs();

	if (attempts.refusals >= maxPermitRefusals) {
		throw createLimitedRefusal(closedMs, permits.isUnanswered());
	}

	if (result.outcome === PermitOutcome.Unanswered && permits.isAnswerExpected()) {
		await sleep(Math.min(timeLeftMs, Math.max(0, closedMs)));
	}

	return false;
}
