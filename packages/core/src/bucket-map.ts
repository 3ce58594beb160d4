import {computeHash} from './hash.js';

/** An immutable map whose updates copy one bucket and not the whole map. */
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

/** Builds a map in one go. */
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

/** Gets a value. */
export function getFromBucketMap<Value>(map: BucketMap<Value>, key: string): Value | undefined {
	return map.buckets[findBucket(key)]!.get(key);
}

/** Sets a value, or removes it where `value` is undefined. */
export function setInBucketMap<Value>(map: BucketMap<Value>, key: string, value: Value | undefined): BucketMap<Value> {
	const position = findBucket(key);
	const bucket = new Map(map.buckets[position]);

	if (value === undefined) {
		bucket.delete(key);
	} else {
		bucket.set(key, value);
	}

	return {buckets: map.buckets.with(position, bucket)};
}

/** Keeps the values that pass; buckets in which all do are not copied. */
export function filterBucketMap<Value>(map: BucketMap<Value>, isKept: (value: Value) => boolean): BucketMap<Value> {
	const buckets = map.buckets.map(bucket => {
		const kept = [...bucket].filter(([, value]) => isKept(value));

		return kept.length === bucket.size ? bucket : new Map(kept);
	});

	return {buckets};
}

/** Lists keys and values. */
export function * listBucketMap<Value>(map: BucketMap<Value>): Generator<[string, Value]> {
	for (const bucket of map.buckets) {
		yield * bucket;
	}
}

/** Counts the values. */
export function countBucketMap(map: BucketMap<unknown>): number {
	let count = 0;

	for (const bucket of map.buckets) {
		count += bucket.size;
	}

	return count;
}
