import {computeHash} from './hash.js';

/** An immutable hash map whose updates copy one bucket instead of the whole map. */
export type BucketMap<Value> = {
	readonly buckets: ReadonlyArray<ReadonlyMap<string, Value>>;
};

const bucketCount = 1024;

/**
Creates an empty map.

@example
```
const claims = setInBucketMap(createBucketMap<Claim>(), key, claim);
```
*/
export function createBucketMap<Value>(): BucketMap<Value> {
	return {buckets: Array.from({length: bucketCount}, () => new Map<string, Value>())};
}

/** Builds a map from entries, without a copy for each of them. */
export function buildBucketMap<Value>(entries: Iterable<readonly [string, Value]>): BucketMap<Value> {
	const buckets = Array.from({length: bucketCount}, () => new Map<string, Value>());

	for (const [key, value] of entries) {
		buckets[findBucket(key)]!.set(key, value);
	}

	return {buckets};
}

function findBucket(key: string): number {
	return Number(computeHash(key) % BigInt(bucketCount));
}

export function getFromBucketMap<Value>(map: BucketMap<Value>, key: string): Value | undefined {
	return map.buckets[findBucket(key)]!.get(key);
}

/** Returns a map with the value set, or with the key removed if `value` is undefined. */
export function setInBucketMap<Value>(map: BucketMap<Value>, key: string, value: Value | undefined): BucketMap<Value> {
	const bucketIndex = findBucket(key);
	const bucket = new Map(map.buckets[bucketIndex]);

	if (value === undefined) {
		bucket.delete(key);
	} else {
		bucket.set(key, value);
	}

	return {buckets: map.buckets.with(bucketIndex, bucket)};
}

/** Returns a map with the values for which `isKept` is true; buckets that lose none are shared with the old map. */
export function filterBucketMap<Value>(map: BucketMap<Value>, isKept: (value: Value) => boolean): BucketMap<Value> {
	const buckets = map.buckets.map(bucket => {
		const kept = [...bucket].filter(([, value]) => isKept(value));

		return kept.length === bucket.size ? bucket : new Map(kept);
	});

	return {buckets};
}

/** Lists the entries, in no defined order. */
export function * listBucketMap<Value>(map: BucketMap<Value>): Generator<[string, Value]> {
	for (const bucket of map.buckets) {
		yield * bucket;
	}
}

export function countBucketMap(map: BucketMap<unknown>): number {
	let count = 0;

	for (const bucket of map.buckets) {
		count += bucket.size;
	}

	return count;
}
