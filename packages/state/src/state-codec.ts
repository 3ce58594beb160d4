import {buildBucketMap, listBucketMap} from '@fescuestair/core';
import {
	listCrashEvidence, mergeCrashReport, noCrashEvidence, type CrashReport,
} from '@fescuestair/crashes';
import {countClaims} from './claims.js';
import {
	type CommandResponse, type Claim, type ReplicatedState, type Suspicion,
} from './types.js';

/** The replicated state as plain data, for a snapshot. Claim counts are left out, since they can be derived from the claims. */
export type EncodedState = Omit<ReplicatedState, 'publicState' | 'changeAnswers' | 'claims' | 'claimCounts' | 'suspicions' | 'crashEvidence'> & {
	readonly publicVersion: number;
	readonly publicItems: ReadonlyArray<readonly [string, unknown]>;
	readonly changeAnswers: ReadonlyArray<readonly [string, CommandResponse]>;
	readonly claims: ReadonlyArray<readonly [string, Claim]>;
	readonly suspicions: ReadonlyArray<readonly [string, Suspicion]>;
	/** Absent in snapshots of earlier versions. */
	readonly crashReport?: CrashReport;
};

/**
Encodes the replicated state for a snapshot.

@example
```
await store.saveSnapshot({index, term, data: encodeState(state)}, hardState, remainingEntries);
```
*/
export function encodeState(state: ReplicatedState): EncodedState {
	const {publicState, changeAnswers, claims, claimCounts: _counts, suspicions, crashEvidence, ...plain} = state;

	return {
		...plain,
		publicVersion: publicState.version,
		publicItems: [...publicState.items],
		changeAnswers: [...changeAnswers],
		claims: [...listBucketMap(claims)],
		suspicions: [...suspicions],
		crashReport: listCrashEvidence(crashEvidence),
	};
}

/** Restores the replicated state from the result of `encodeState`. */
export function decodeState(encoded: EncodedState): ReplicatedState {
	const {publicVersion, publicItems, changeAnswers, claims, suspicions, crashReport = {}, ...plain} = encoded;
	const claimMap = buildBucketMap(claims);

	return {
		...plain,
		publicState: {version: publicVersion, items: new Map(publicItems)},
		changeAnswers: new Map(changeAnswers),
		claims: claimMap,
		claimCounts: countClaims(claimMap),
		suspicions: new Map(suspicions),
		crashEvidence: mergeCrashReport(noCrashEvidence, crashReport, plain.timeMs),
	};
}
