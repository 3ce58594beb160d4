import {createBucketMap, filterBucketMap} from '@fescuestair/core';
import {noCrashEvidence} from '@fescuestair/crashes';
import {
	applyMarkOutcomeUnknown, applyClaim, applyRelease, applyRecordOutcome, countClaims,
} from './claims.js';
import {
	applyClearSuspicion, applyCrashReport, applyRetryAssignment, expireSuspicions,
} from './suspicions.js';
import {applyConfigChange} from './config-change.js';
import {applyTrialReservation, adjustHeldBack} from './held-back.js';
import {createPublicState} from './public-state.js';
import {
	CommandResponseKind, CommandKind, type CommandResponse, type Claim, type Command, type ReplicatedState,
} from './types.js';

/** State after a command, and the response to whoever proposed it. */
export type ApplyResult = {readonly state: ReplicatedState; readonly answer: CommandResponse};

/**
Creates the initial state of a new group.

@example
```
const {state, answer} = applyCommand(createReplicatedState(), {kind: CommandKind.IssueFencingToken, atMs: 0});
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
		crashEvidence: noCrashEvidence,
		heldBackSettlesAtMs: undefined,
		nextNumber: 1,
	};
}

/** Applies one committed command. It is deterministic, so that all replicas reach the same state: no clock, no randomness, no I/O. */
export function applyCommand(before: ReplicatedState, command: Command): ApplyResult {
	const state = {...before, timeMs: Math.max(before.timeMs, command.atMs)};

	switch (command.kind) {
		case CommandKind.ChangeConfig: {
			return applyConfigChange(state, command);
		}

		case CommandKind.Claim: {
			return applyClaim(state, command);
		}

		case CommandKind.RecordOutcome: {
			return applyRecordOutcome(state, command);
		}

		case CommandKind.Release: {
			return applyRelease(state, command);
		}

		case CommandKind.MarkOutcomeUnknown: {
			return applyMarkOutcomeUnknown(state, command);
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

		case CommandKind.ReserveTrial: {
			return applyTrialReservation(adjustHeldBack(state), command);
		}

		case CommandKind.IssueFencingToken: {
			return {state: {...state, nextNumber: state.nextNumber + 1}, answer: {kind: CommandResponseKind.Done, value: state.nextNumber}};
		}

		case CommandKind.Expire: {
			return {state: removeExpired(state), answer: {kind: CommandResponseKind.Done, value: 0}};
		}
	}
}

function removeExpired(state: ReplicatedState): ReplicatedState {
	const claims = filterBucketMap(state.claims, claim => claim.keepDeadlineMs > state.timeMs);

	return adjustHeldBack(expireSuspicions({...state, claims, claimCounts: countClaims(claims)}));
}
