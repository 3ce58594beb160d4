import {maxReservationMs, permitValidityMs} from './reserve-permit.js';

/** The right to send one request to an instance within a span of time, on the monotonic clock of this daemon. */
export type Permit = {
	/** Limit of the instance when the permit was granted. */
	readonly perSecond: number;
	readonly startAtMs: number;
	readonly endAtMs: number;
};

/** What a daemon that sends requests keeps for one instance that names a limit. Immutable. */
export type PermitWallet = {
	/** Until then no permit that begins at once is to be had. */
	readonly closedUntilMs: number;
	/** Permits of requests that ended before they were sent; other requests may use them. */
	readonly spare: readonly Permit[];
};

export enum PermitDecision {
	/** The instance names no limit, so no permit is needed. */
	Unlimited = 'unlimited',
	/** A spare permit can be used at once. */
	UseSpare = 'use_spare',
	/** The granting daemon has to be asked. */
	Ask = 'ask',
	/** No permit is to be had within the time that the request can wait. */
	Closed = 'closed',
}

/** Answer of the granting daemon; times are relative to its receipt of the question. */
export type PermitAnswer = {
	/** When the request may be sent; `undefined` where it gets no permit. */
	readonly startInMs: number | undefined;
	readonly retryInMs: number;
};

export const emptyPermitWallet: PermitWallet = {closedUntilMs: Number.NEGATIVE_INFINITY, spare: []};

/** A refused daemon asks again no earlier than this, so that one request does not ask in a loop. */
const minClosedMs = 20;
/** Permits are void once the limit has fallen below this share of what it was when they were granted; less is the jitter of a named limit. */
const minLimitShare = 0.8;

export type PermitNeed = {
	readonly perSecond: number | undefined;
	/** Longest time for which the request can wait for its permit. */
	readonly maxWaitMs: number;
	readonly nowMs: number;
};

/** Decides how a request to an instance gets its permit. A closed instance is asked for only by requests that can wait until it opens. */
export function decidePermit({closedUntilMs, spare}: PermitWallet, {perSecond, maxWaitMs, nowMs}: PermitNeed): PermitDecision {
	if (perSecond === undefined) {
		return PermitDecision.Unlimited;
	}

	if (spare.some(permit => isPermitUsable(permit, {perSecond, nowMs}))) {
		return PermitDecision.UseSpare;
	}

	return closedUntilMs > nowMs + Math.min(maxWaitMs, maxReservationMs) ? PermitDecision.Closed : PermitDecision.Ask;
}

/** Returns whether a request may be sent now with a permit. A permit from before the limit fell is void. */
export function isPermitUsable({startAtMs, endAtMs, perSecond: grantedPerSecond}: Permit, {perSecond, nowMs}: {readonly perSecond: number; readonly nowMs: number}): boolean {
	return nowMs >= startAtMs && nowMs <= endAtMs && perSecond >= grantedPerSecond * minLimitShare;
}

/** Adds the permit of a request that ended without using it. */
export function depositPermit(wallet: PermitWallet, permit: Permit, nowMs: number): PermitWallet {
	return {...wallet, spare: [...wallet.spare.filter(({endAtMs}) => endAtMs >= nowMs), permit]};
}

/** Takes a usable spare permit; the others are kept. */
export function takeSparePermit(wallet: PermitWallet, query: {readonly perSecond: number; readonly nowMs: number}): PermitWallet {
	const position = wallet.spare.findIndex(permit => isPermitUsable(permit, query));

	return {...wallet, spare: wallet.spare.filter((_permit, index) => index !== position)};
}

/**
Applies an answer of the granting daemon. Times count from when the question was sent, so that an answer that comes late, as from a process
that was frozen, grants a permit that is already void.

@example
```
const {wallet, permit} = applyPermitAnswer(emptyPermitWallet, {startInMs: 0, retryInMs: 300}, {perSecond: 3, askedAtMs: 0, nowMs: 4});
```
*/
export function applyPermitAnswer(
	wallet: PermitWallet,
	{startInMs, retryInMs}: PermitAnswer,
	{perSecond, askedAtMs, nowMs}: {readonly perSecond: number; readonly askedAtMs: number; readonly nowMs: number},
): {readonly wallet: PermitWallet; readonly permit: Permit | undefined} {
	if (startInMs === undefined) {
		return {wallet: {...wallet, closedUntilMs: Math.max(nowMs + minClosedMs, askedAtMs + retryInMs)}, permit: undefined};
	}

	const startAtMs = askedAtMs + startInMs;
	const permit = {perSecond, startAtMs, endAtMs: startAtMs + permitValidityMs};

	return {wallet, permit: permit.endAtMs >= nowMs ? permit : undefined};
}

/** Closes an instance after the granting daemon did not answer. */
export function setClosedUntil(wallet: PermitWallet, untilMs: number): PermitWallet {
	return {...wallet, closedUntilMs: Math.max(wallet.closedUntilMs, untilMs)};
}

/** Opens an instance whose limit has risen or ended, so that requests ask again at once. */
export function clearClosedUntil(wallet: PermitWallet): PermitWallet {
	return {...wallet, closedUntilMs: Number.NEGATIVE_INFINITY};
}
