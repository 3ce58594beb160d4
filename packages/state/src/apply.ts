import {createBucketMap, filterBucketMap} from '@fescuestair/core';
import {
	applyAbandon, applyClaim, applyRelease, applySettle, countClaims,
} from './claims.js';
import {
	applyClearSuspicion, applyCrashReport, applyRetryAssignment, expireSuspicions,
} from './suspicions.js';
import {applyConfigChange} from './config.js';
import {createPublicState} from './public-state.js';
import {
	AnswerKind, CommandKind, type Answer, type Claim, type Command, type ReplicatedState,
} from './types.js';

/** The state after a command, and its answer. */
export type Applied = {readonly state: ReplicatedState; readonly answer: Answer};

/**
Creates the state of a new group.

@example
```
const {state, answer} = applyCommand(createReplicatedState(), {kind: CommandKind.TakeFencingNumber, atMs: 0});
```
*/
export function createReplicatedState(): ReplicatedState {
	return {
		timeMs: 0,
		configVersion: 0,
		publicState: createPublicState(),
		recentChanges: [],
		history: [],
		changeAnswers: new Map(),
		claims: createBucketMap<Claim>(),
		claimCounts: createBucketMap<number>(),
		suspicions: new Map(),
		nextNumber: 1,
	};
}

/** Applies one committed command. Every replica computes the same: no clock, no randomness, no I/O. */
export function applyCommand(before: ReplicatedState, command: Command): Applied {
	const state = {...before, timeMs: Math.max(before.timeMs, command.atMs)};

	switch (command.kind) {
		case CommandKind.ChangeConfig: {
			return applyConfigChange(state, command);
		}

		case CommandKind.Claim: {
			return applyClaim(state, command);
		}

		case CommandKind.Settle: {
			return applySettle(state, command);
		}

		case CommandKind.Release: {
			return applyRelease(state, command);
		}

		case CommandKind.Abandon: {
			return applyAbandon(state, command);
		}

		case CommandKind.ReportCrash: {
			return applyCrashReport(state, command);
		}

		case CommandKind.AssignRetry: {
			return applyRetryAssignment(state, command);
		}

		case CommandKind.ClearSuspicion: {
			return applyClearSuspicion(state, command);
		}

		case CommandKind.TakeFencingNumber: {
			return {state: {...state, nextNumber: state.nextNumber + 1}, answer: {kind: AnswerKind.Done, value: state.nextNumber}};
		}

		case CommandKind.Expire: {
			return {state: expire(state), answer: {kind: AnswerKind.Done, value: 0}};
		}
	}
}

function expire(state: ReplicatedState): ReplicatedState {
	const claims = filterBucketMap(state.claims, claim => claim.keepDeadlineMs > state.timeMs);

	return expireSuspicions({...state, claims, claimCounts: countClaims(claims)});
}
