import {setTimeout as sleep} from 'node:timers/promises';
import {maxReservationMs} from '@fescuestair/limits';
import {type MemberRecord} from '@fescuestair/membership';
import {RefusalCode, type UpstreamDetails} from '@fescuestair/protocol';
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

/** Throws a refusal, with a time to return, if upstreams would take the request but for the limits that they name. */
export function checkLimits({clock, follower, gossip, permits, standings}: PermitServices, isWanted: (details: UpstreamDetails) => boolean): void {
	const limited = listUsableUpstreams({
		membership: gossip.getMembership(), state: follower.getState(), isOpen: record => standings.isAvailable(record, {withinMs: Number.POSITIVE_INFINITY}),
	}, isWanted);

	if (limited.length > 0) {
		throw createLimitedRefusal(Math.min(...limited.map(record => permits.getClosedUntilMs(record))) - clock.readMonotonicMs(), permits.isUnanswered());
	}
}

/** Creates the refusal of a request that the limits of upstreams leave no room for. */
export function createLimitedRefusal(retryAfterMs: number, isUnanswered: boolean) {
	const reason = isUnanswered ? 'no control replica grants permits for upstreams that name a limit' : 'the limits that the upstreams name are used up';

	return createRefusal(RefusalCode.UpstreamLimited, reason, Math.max(1, Math.ceil(retryAfterMs / msPerSecond)));
}

/** Counts the upstreams whose limits left no permit for one request. */
export type PermitAttempts = {refusals: number};

/**
Waits for a permit where the upstream names a limit. Returns whether the request may be sent now; if not, another upstream has to be chosen.
Throws a refusal after several upstreams left no permit.
*/
export async function reserveUpstream({clock, permits}: PermitServices, record: MemberRecord, {deadlineMs, priority, attempts}: {
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
