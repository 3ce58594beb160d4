const msPerSecond = 1000;

/** A span of the simulated time. */
export type Span = {readonly fromMs: number; readonly toMs: number};

export type LimitCheck = {
	readonly arrivalsMs: readonly number[];
	readonly getLimit: (nowMs: number) => number | undefined;
	/** Windows that begin in this span are checked. */
	readonly span: Span;
};

const windowMs = 4000;
const windowStepMs = 50;
const limitTolerance = 1.5;
const limitSlack = 5;

/**
Measures how much of what an instance allows it gets in the worst window of four seconds; more than 1 breaks its limit. It allows one and a half
times what it names, and five requests.
*/
export function measureWorstWindow({arrivalsMs, getLimit, span}: LimitCheck): number {
	let worst = 0;

	for (let {fromMs} = span; fromMs + windowMs <= span.toMs; fromMs += windowStepMs) {
		const arrived = arrivalsMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
		const named = sumLimit(getLimit, {fromMs, toMs: fromMs + windowMs});
		worst = named === undefined ? worst : Math.max(worst, arrived / ((limitTolerance * named) + limitSlack));
	}

	return worst;
}

/** Requests that an instance takes in a span; `undefined` where it names no limit for a part of it. */
export function sumLimit(getLimit: LimitCheck['getLimit'], {fromMs, toMs}: Span): number | undefined {
	let sum = 0;

	for (let atMs = fromMs; atMs < toMs; atMs += windowStepMs) {
		const perSecond = getLimit(atMs);

		if (perSecond === undefined) {
			return undefined;
		}

		sum += perSecond * windowStepMs / msPerSecond;
	}

	return sum;
}
