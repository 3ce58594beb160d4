import {countEnoughGateways, type GatewayPeers} from '@fescuestair/instances';

export enum StopPhase {
	/** Takes new requests that can still end. */
	Accepting = 'accepting',
	/** Refuses new requests and finishes those that it has. */
	Finishing = 'finishing',
	/** Nothing is left to do. */
	Ended = 'ended',
}

/** Why a gateway that stops goes on or ends. */
export enum StopReason {
	/** Too few others serve. */
	OthersStop = 'too few others serve',
	/** No coordinator told lately what the others do. */
	OthersUnheard = 'others are unheard',
	/** Others serve; callers are given the time to turn to them. */
	CallersTurn = 'callers turn to others',
	/** Others serve, and callers had the time to turn to them. */
	OthersServe = 'others serve',
	/** There is no other gateway, so that callers are served again soonest if this one ends. */
	NoOthers = 'there are no others',
	/** Some others serve, and what this one accepted now might not end in time. */
	TooLate = 'too late for long requests',
	/** The time to stop is over. */
	TimeOver = 'time is over',
}

export type StopState = {
	readonly phase: StopPhase;
	readonly reason: StopReason;
	/** Since when others have been known to serve. */
	readonly enoughSinceMs: number | undefined;
};

export type HeardPeers = GatewayPeers & {readonly heardAtMs: number};

export type StopInput = {
	readonly nowMs: number;
	/** When the gateway was told to stop. */
	readonly signalledAtMs: number;
	/** When it ends, whatever still runs. */
	readonly deadlineMs: number;
	/** What a coordinator told of the others; `undefined` before one did. */
	readonly peers: HeardPeers | undefined;
	/** Most gateways that were known at the signal or since; those that restart drop out of the count for a while. */
	readonly knownGateways: number;
	readonly running: number;
	readonly lastRequestAtMs: number;
	/** Whether requests of any length are still accepted, see `canAcceptWhileStopping`. */
	readonly canAcceptAll: boolean;
};

export type AdmissionInput = Pick<StopInput, 'nowMs' | 'signalledAtMs' | 'deadlineMs'> & {
	/** Longest of the recent requests of the same route; `undefined` where too few are known. */
	readonly longestMs: number | undefined;
	/** The time that the caller and the route leave the request. */
	readonly limitMs: number;
};

/** Knowledge of the others that is older is not used: three rounds of hellos of a gateway that stops, and one between coordinators. */
const maxPeersAgeMs = 1500;
/** Time for callers to turn to gateways that are ready: as long as they use a list of addresses. */
const turnPeriodMs = 2000;
/** The same while those that are ready are too few by themselves, so that a successor is needed sooner. */
const shortTurnPeriodMs = 500;
/** Without a request for this long, callers have turned to others. */
const quietPeriodMs = 1500;
/** Of the gateways that would be enough, this share must be ready where a gateway ends because it is too late for long requests. */
const fewShare = 0.5;
/** So long after the signal all requests are accepted, within a part of the time to stop: the rest is enough for most, and nobody else knows of the stop at once. */
const firstPeriodMs = 2800;
const firstPeriodShare = 0.4;
/** A request may take longer than the longest recent one by this factor and this time. */
const lengthFactor = 1.25;
const lengthMarginMs = 250;

/** The state of a gateway when it is told to stop. */
export function createStopState(): StopState {
	return {phase: StopPhase.Accepting, reason: StopReason.OthersUnheard, enoughSinceMs: undefined};
}

/**
Decides whether a gateway that stops goes on accepting, finishes or ends. Load pattern: restarts of all gateways in steps shorter than a stop. Each
gateway counts those that are ready and those that were told to stop after it and still accept. Where these are enough to serve all callers, it ends as soon
as callers have turned to them; so the first ones told end first, and the last ones go on until successors are ready. All gateways see the same order, so no
leader is needed.

@example
```
decideStop(createStopState(), {nowMs, signalledAtMs, deadlineMs, peers, knownGateways: 5, running: 0, lastRequestAtMs, canAcceptAll: true}); //=> {phase: 'accepting', …}
```
*/
export function decideStop(state: StopState, input: StopInput): StopState {
	const {nowMs, deadlineMs, running} = input;

	if (nowMs >= deadlineMs) {
		return {...state, phase: StopPhase.Ended, reason: StopReason.TimeOver};
	}

	const next = decideAccepting(state, input);

	return next.phase === StopPhase.Finishing && running === 0 ? {...next, phase: StopPhase.Ended} : next;
}

function decideAccepting(state: StopState, input: StopInput): StopState {
	const {peers, knownGateways, canAcceptAll} = input;
	const isHeard = isFresh(input);
	const serving = isHeard ? peers!.ready + peers!.acceptingAfter : 0;

	// Callers were sent to others; only if none of these is left are they better served here.
	if (state.phase === StopPhase.Finishing && (!isHeard || serving > 0 || state.reason === StopReason.NoOthers)) {
		return state;
	}

	if (!isHeard) {
		return {phase: StopPhase.Accepting, reason: StopReason.OthersUnheard, enoughSinceMs: undefined};
	}

	const known = Math.max(knownGateways, peers!.known);
	const enough = countEnoughGateways(known);

	if (known <= 1) {
		return decideTurn(state, input, {turnMs: turnPeriodMs, reasonToAccept: StopReason.NoOthers, reasonToFinish: StopReason.NoOthers});
	}

	if (serving >= enough) {
		return decideTurn(state, input, {
			turnMs: peers!.ready >= enough ? turnPeriodMs : shortTurnPeriodMs, reasonToAccept: StopReason.CallersTurn, reasonToFinish: StopReason.OthersServe,
		});
	}

	return !canAcceptAll && peers!.ready >= enough * fewShare
		? {...state, phase: StopPhase.Finishing, reason: StopReason.TooLate}
		: {phase: StopPhase.Accepting, reason: StopReason.OthersStop, enoughSinceMs: undefined};
}

/** Goes on until callers have turned to others. */
function decideTurn(state: StopState, {nowMs, signalledAtMs, running, lastRequestAtMs}: StopInput, {turnMs, reasonToAccept, reasonToFinish}: {
	readonly turnMs: number; readonly reasonToAccept: StopReason; readonly reasonToFinish: StopReason;
}): StopState {
	const enoughSinceMs = state.enoughSinceMs ?? nowMs;
	const isQuiet = running === 0 && nowMs - Math.max(lastRequestAtMs, signalledAtMs) >= quietPeriodMs;

	return nowMs < enoughSinceMs + turnMs && !isQuiet
		? {phase: StopPhase.Accepting, reason: reasonToAccept, enoughSinceMs}
		: {phase: StopPhase.Finishing, reason: reasonToFinish, enoughSinceMs};
}

function isFresh({nowMs, peers}: Pick<StopInput, 'nowMs' | 'peers'>): boolean {
	return peers !== undefined && nowMs - peers.heardAtMs <= maxPeersAgeMs;
}

/**
Whether a gateway that stops and accepts requests may accept one: it must end before the time to stop is over.

@example
```
canAcceptWhileStopping({nowMs: 5000, signalledAtMs: 0, deadlineMs: 6800, longestMs: 400, limitMs: 800}); //=> true
```
*/
export function canAcceptWhileStopping({nowMs, signalledAtMs, deadlineMs, longestMs, limitMs}: AdmissionInput): boolean {
	const expectedMs = Math.min(limitMs, longestMs === undefined ? limitMs : (longestMs * lengthFactor) + lengthMarginMs);

	return nowMs < signalledAtMs + Math.min(firstPeriodMs, (deadlineMs - signalledAtMs) * firstPeriodShare) || nowMs + expectedMs <= deadlineMs;
}

/** Callers may return almost at once where another gateway accepts them. */
const soonMs = 50;

/**
Computes when a caller that is refused should return: at once where others accept it, and otherwise when the next successor should be ready.

@example
```
computeReturnMs({nowMs: 0, deadlineMs: 500, peers: undefined, startTookMs: 1000}); //=> 1500
```
*/
export function computeReturnMs({nowMs, deadlineMs, peers, startTookMs}: Pick<StopInput, 'nowMs' | 'deadlineMs' | 'peers'> & {
	/** How long this gateway took to start. */
	readonly startTookMs: number;
}): number {
	const heard = isFresh({nowMs, peers}) ? peers : undefined;

	if (heard !== undefined && heard.ready + heard.acceptingAfter > 0) {
		return soonMs;
	}

	return startTookMs + ((heard?.ending ?? 0) > 0 ? 0 : Math.max(0, deadlineMs - nowMs));
}
