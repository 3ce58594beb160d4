/** Token bucket that refills at a constant rate. */
export type TokenBucket = {
	readonly perSecond: number;
	readonly capacity: number;
	readonly tokens: number;
	readonly refilledAtMs: number;
};

const msPerSecond = 1000;

/**
Creates a full bucket.

@example
```
const bucket = createTokenBucket({perSecond: 10, capacity: 20, nowMs: 0});
```
*/
export function createTokenBucket({perSecond, capacity, nowMs}: {perSecond: number; capacity: number; nowMs: number}): TokenBucket {
	return {
		perSecond, capacity, tokens: capacity, refilledAtMs: nowMs,
	};
}

/**
Takes tokens if there are enough; otherwise returns the time until there are.

@example
```
const {bucket, waitMs} = takeTokens(before, 1, nowMs);
```
*/
export function takeTokens(bucket: TokenBucket, count: number, nowMs: number): {readonly bucket: TokenBucket; readonly waitMs: number} {
	const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
	const tokens = Math.min(bucket.capacity, bucket.tokens + (elapsedMs * bucket.perSecond / msPerSecond));
	const refilled = {...bucket, tokens, refilledAtMs: nowMs};

	return tokens >= count
		? {bucket: {...refilled, tokens: tokens - count}, waitMs: 0}
		: {bucket: refilled, waitMs: Math.ceil((count - tokens) / bucket.perSecond * msPerSecond)};
}
