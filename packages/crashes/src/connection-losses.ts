import {type CrashedRequest} from './crash-evidence.js';
import {getTraitsKey} from './traits.js';

/** Requests that lost their connection to an instance that may have crashed, by run of the instance. Immutable. */
export type ConnectionLosses = ReadonlyMap<string, RunLosses>;

type RunLosses = {
	/** By the key of their traits. */
	readonly requests: ReadonlyMap<string, CrashedRequest>;
	readonly firstLossAtMs: number;
	readonly lastLossAtMs: number;
};

/** Time within which a crashed instance is found unreachable or announces a new incarnation: restarts take some seconds. */
const confirmationWindowMs = 10_000;
/** Bounds the memory used when very many requests lose their connections. */
const maxRequestsPerRun = 1000;

/** State of a daemon that has lost no connection. */
export const noConnectionLosses: ConnectionLosses = new Map();

/** Records that a request lost its connection to an instance: the instance may have crashed, or only the connection was lost. */
export function recordConnectionLoss(losses: ConnectionLosses, {run, request, nowMs}: ConnectionLossInput): ConnectionLosses {
	const next = new Map([...losses].filter(([, one]) => nowMs - one.lastLossAtMs < confirmationWindowMs));
	const known = next.get(run);

	if ((known?.requests.size ?? 0) < maxRequestsPerRun) {
		next.set(run, {requests: new Map(known?.requests).set(getTraitsKey(request.traits), request), firstLossAtMs: known?.firstLossAtMs ?? nowMs, lastLossAtMs: nowMs});
	}

	return next;
}

export type ConnectionLossInput = {readonly run: string; readonly request: CrashedRequest; readonly nowMs: number};

/** Drops connection losses at an instance that has answered a request sent after the last of them: it did not crash. */
export function forgetConnectionLosses(losses: ConnectionLosses, {run, sentAtMs}: {readonly run: string; readonly sentAtMs: number}): ConnectionLosses {
	const known = losses.get(run);

	if (known === undefined || sentAtMs <= known.lastLossAtMs) {
		return losses;
	}

	const next = new Map(losses);
	next.delete(run);

	return next;
}

/** Removes and returns the requests that were running on an instance whose crash is confirmed, and when the first lost its connection. */
export function takeCrashedRequests(losses: ConnectionLosses, {run, nowMs}: {readonly run: string; readonly nowMs: number}): {
	readonly losses: ConnectionLosses;
	readonly atMs: number;
	readonly requests: readonly CrashedRequest[];
} {
	const known = losses.get(run);

	if (known === undefined || nowMs - known.lastLossAtMs >= confirmationWindowMs) {
		return {losses, atMs: nowMs, requests: []};
	}

	const next = new Map(losses);
	next.delete(run);

	return {losses: next, atMs: known.firstLossAtMs, requests: [...known.requests.values()]};
}
