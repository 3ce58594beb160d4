import {buildBucketMap, listBucketMap} from '@fescuestair/core';
import {countClaims} from './claims.js';
import {
	type Answer, type Claim, type ReplicatedState, type Suspicion,
} from './types.js';

/** The state as plain data, for a snapshot. */
export type EncodedState = Omit<ReplicatedState, 'publicState' | 'changeAnswers' | 'claims' | 'claimCounts' | 'suspicions'> & {
	readonly publicVersion: number;
	readonly publicItems: ReadonlyArray<readonly [string, unknown]>;
	readonly changeAnswers: ReadonlyArray<readonly [string, Answer]>;
	readonly claims: ReadonlyArray<readonly [string, Claim]>;
	readonly suspicions: ReadonlyArray<readonly [string, Suspicion]>;
};

/**
Encodes the state for a snapshot.

@example
```
await store.saveSnapshot({index, term, data: encodeState(state)}, hardState, rest);
```
*/
export function encodeState(state: ReplicatedState): EncodedState {
	const {publicState, changeAnswers, claims, claimCounts: _counts, suspicions, ...plain} = state;

	return {
		...plain,
		publicVersion: publicState.version,
		publicItems: [...publicState.items],
		changeAnswers: [...changeAnswers],
		claims: [...listBucketMap(claims)],
		suspicions: [...suspicions],
	};
}

/** Decodes what `encodeState` made. */
export function decodeState(encoded: EncodedState): ReplicatedState {
	const {publicVersion, publicItems, changeAnswers, claims, suspicions, ...plain} = encoded;
	const map = buildBucketMap(claims);

	return {
		...plain,
		publicState: {version: publicVersion, items: new Map(publicItems)},
		changeAnswers: new Map(changeAnswers),
		claims: map,
		claimCounts: countClaims(map),
		suspicions: new Map(suspicions),
	};
}
