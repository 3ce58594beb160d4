/** What the granting daemon keeps for one instance that names a request limit. Immutable. */
export type PermitAccount = {
	/** The limit at which the account was last adjusted. */
	readonly perSecond: number;
	/** Time at which all permits handed out so far are paid for at the rate of the limit. */
	readonly paidAtMs: number;
	/** Time to which the next refused daemon is referred. */
	readonly referralMs: number;
};

export type PermitQuery = {
	/** The limit that the instance names now. */
	readonly perSecond: number;
	/** Longest time for which the request can wait for its permit. */
	readonly maxWaitMs: number;
	/** No permit begins before this time. */
	readonly openAtMs: number;
	/** Requests that may be sent at once after a pause; by default those of a quarter of a second. */
	readonly burstRequests?: number;
};

export type Reservation = {
	readonly account: PermitAccount;
	/** When the request may be sent; `undefined` where it gets no permit. */
	readonly startAtMs: number | undefined;
	/** When the daemon should ask for this instance again. */
	readonly retryAtMs: number;
};

/** Permits are reserved at most this far ahead, so that few are outstanding when a limit falls or the granting daemon is lost. */
export const maxReservationMs = 500;
/** A permit that is not used for this long is void. */
export const permitValidityMs = 250;
/** Requests of this span may be sent at once after a pause. */
const burstMs = 250;
/**
Rate at which an instance that names a lower limit, or none at all, still gets requests: only an answer can tell that the limit has risen.
*/
export const minPermitsPerSecond = 0.1;
/** Daemons referred to each permit that becomes free, since some of them no longer need it. */
const referralsPerPermit = 2;
const maxReferralMs = 2000;
const msPerSecond = 1000;

function computeIntervalMs(perSecond: number): number {
	return msPerSecond / Math.max(minPermitsPerSecond, perSecond);
}

function computeBurstRequests(perSecond: number): number {
	return Math.max(1, perSecond * burstMs / msPerSecond);
}

/**
Reserves a permit to send one request to an instance. All daemons together get permits at the rate that the instance names, at most a quarter
of a second's worth at once. A daemon that gets none is told when to ask again, each at another time. Load pattern: many daemons have
more requests than an instance takes, or few of them have any.

@example
```
const {account, startAtMs} = reservePermit(undefined, {perSecond: 2, maxWaitMs: 500, openAtMs: 0}, 1000); //=> startAtMs: 1500
```
*/
export function reservePermit(
	previous: PermitAccount | undefined,
	{perSecond, maxWaitMs, openAtMs, burstRequests = computeBurstRequests(perSecond)}: PermitQuery,
	nowMs: number,
): Reservation {
	const account = adjustAccount(previous, {perSecond, burstRequests}, nowMs);
	const intervalMs = computeIntervalMs(perSecond);
	const advanceMs = (burstRequests - 1) * intervalMs;
	const startAtMs = Math.max(nowMs, openAtMs, account.paidAtMs - advanceMs);

	if (startAtMs - nowMs <= Math.min(maxWaitMs, maxReservationMs)) {
		const paidAtMs = Math.max(startAtMs, account.paidAtMs) + intervalMs;

		return {account: {...account, paidAtMs}, startAtMs, retryAtMs: Math.max(nowMs, paidAtMs - advanceMs)};
	}

	const retryAtMs = Math.max(startAtMs, Math.min(account.referralMs, nowMs + maxReferralMs));

	return {account: {...account, referralMs: retryAtMs + (intervalMs / referralsPerPermit)}, startAtMs: undefined, retryAtMs};
}

// A new account, and one whose limit has fallen, starts without a burst: the instance has just been sent more than it takes.
function adjustAccount(previous: PermitAccount | undefined, {perSecond, burstRequests}: Required<Pick<PermitQuery, 'perSecond' | 'burstRequests'>>, nowMs: number): PermitAccount {
	if (previous?.perSecond === perSecond) {
		return previous;
	}

	const intervalMs = computeIntervalMs(perSecond);

	if (previous === undefined) {
		return {perSecond, paidAtMs: nowMs + (burstRequests * intervalMs), referralMs: nowMs};
	}

	const unpaidRequests = Math.max(0, previous.paidAtMs - nowMs) / computeIntervalMs(previous.perSecond);
	// Permits from before a fall are void, so that only the burst is taken back.
	const owedRequests = perSecond < previous.perSecond ? burstRequests : unpaidRequests;

	return {perSecond, paidAtMs: nowMs + (owedRequests * intervalMs), referralMs: nowMs};
}
