import {
	buildBucketMap, getFromBucketMap, listBucketMap, setInBucketMap, type BucketMap,
} from '@fescuestair/core';
import {
	CommandResponseKind, ClaimPhase, type CommandResponse, type Claim, type Command, type CommandKind, type ReplicatedState,
} from './types.js';

type ApplyResult = {readonly state: ReplicatedState; readonly answer: CommandResponse};
type ClaimCommand = Extract<Command, {kind: CommandKind.Claim}>;
type RecordOutcomeCommand = Extract<Command, {kind: CommandKind.RecordOutcome}>;
type ReleaseCommand = Extract<Command, {kind: CommandKind.Release}>;
type MarkOutcomeUnknownCommand = Extract<Command, {kind: CommandKind.MarkOutcomeUnknown}>;

/** Maximum number of idempotency keys that are kept for one organisation. */
const maxClaimsPerOrganisation = 50_000;

/**
Encodes the key of a claim. It includes the organisation, so that equal idempotency keys of different organisations do not collide.

@example
```
encodeClaimKey({organisation: 'okahandja', service: 'work-orders', key: 'order-17'});
```
*/
export function encodeClaimKey({organisation, service, key}: {organisation: string; service: string; key: string}): string {
	return JSON.stringify([organisation, service, key]);
}

/** Counts the claims per organisation. */
export function countClaims(claims: BucketMap<Claim>): BucketMap<number> {
	const counts = new Map<string, number>();

	for (const [, claim] of listBucketMap(claims)) {
		counts.set(claim.organisation, (counts.get(claim.organisation) ?? 0) + 1);
	}

	return buildBucketMap(counts);
}

/** Grants the claim to the first request with this key. Later requests get the phase of the claim, with the outcome once it is recorded. */
export function applyClaim(state: ReplicatedState, command: ClaimCommand): ApplyResult {
	const existingClaim = getFromBucketMap(state.claims, command.key);

	if (existingClaim !== undefined) {
		return {state, answer: createClaimResponse(state, existingClaim, command.bodyDigest)};
	}

	const count = getFromBucketMap(state.claimCounts, command.organisation) ?? 0;

	if (count >= maxClaimsPerOrganisation) {
		return {state, answer: {kind: CommandResponseKind.TooManyClaims}};
	}

	const claim: Claim = {
		organisation: command.organisation,
		phase: ClaimPhase.Running,
		token: state.nextNumber,
		bodyDigest: command.bodyDigest,
		requestId: command.requestId,
		entryId: command.entryId,
		leaseDeadlineMs: command.leaseDeadlineMs,
		keepDeadlineMs: command.keepDeadlineMs,
	};

	return {
		state: {
			...state,
			claims: setInBucketMap(state.claims, command.key, claim),
			claimCounts: setInBucketMap(state.claimCounts, command.organisation, count + 1),
			nextNumber: state.nextNumber + 1,
		},
		answer: {kind: CommandResponseKind.Granted, token: claim.token},
	};
}

function createClaimResponse(state: ReplicatedState, claim: Claim, bodyDigest: string): CommandResponse {
	if (claim.bodyDigest !== bodyDigest) {
		return {kind: CommandResponseKind.KeyReused};
	}

	switch (claim.phase) {
		case ClaimPhase.Running: {
			return {
				kind: CommandResponseKind.Running,
				token: claim.token,
				requestId: claim.requestId,
				entryId: claim.entryId,
				isOverdue: state.timeMs >= claim.leaseDeadlineMs,
			};
		}

		case ClaimPhase.OutcomeRecorded: {
			return {kind: CommandResponseKind.OutcomeRecorded, requestId: claim.requestId, outcome: claim.outcome!};
		}

		case ClaimPhase.OutcomeUnknown: {
			return {kind: CommandResponseKind.OutcomeUnknown, requestId: claim.requestId};
		}
	}
}

/** Records the outcome of a call, or that it is unknown. A late outcome replaces `unknown`; a recorded outcome is final. */
export function applyRecordOutcome(state: ReplicatedState, command: RecordOutcomeCommand): ApplyResult {
	const claim = getFromBucketMap(state.claims, command.key);

	if (claim?.token !== command.token || claim.phase === ClaimPhase.OutcomeRecorded) {
		return {state, answer: {kind: CommandResponseKind.StaleToken}};
	}

	const updatedClaim: Claim = command.outcome === undefined
		? {...claim, phase: ClaimPhase.OutcomeUnknown}
		: {...claim, phase: ClaimPhase.OutcomeRecorded, outcome: command.outcome};

	return {
		state: {...state, claims: setInBucketMap(state.claims, command.key, updatedClaim)},
		answer: {kind: CommandResponseKind.Done, value: command.token},
	};
}

/** Removes a claim whose call was provably not sent, so that a later request with the same key can be granted. */
export function applyRelease(state: ReplicatedState, command: ReleaseCommand): ApplyResult {
	const claim = getFromBucketMap(state.claims, command.key);

	if (claim?.token !== command.token || claim.phase !== ClaimPhase.Running) {
		return {state, answer: {kind: CommandResponseKind.StaleToken}};
	}

	const count = getFromBucketMap(state.claimCounts, claim.organisation) ?? 1;

	return {
		state: {
			...state,
			claims: setInBucketMap(state.claims, command.key, undefined),
			claimCounts: setInBucketMap(state.claimCounts, claim.organisation, count - 1),
		},
		answer: {kind: CommandResponseKind.Done, value: command.token},
	};
}

/** Marks the outcome of a claim as unknown once its lease has expired or its holder is lost. The call is not granted again. */
export function applyMarkOutcomeUnknown(state: ReplicatedState, command: MarkOutcomeUnknownCommand): ApplyResult {
	const claim = getFromBucketMap(state.claims, command.key);
	const canMarkUnknown = claim !== undefined && (command.isHolderLost || state.timeMs >= claim.leaseDeadlineMs);

	if (claim?.token !== command.token || claim.phase !== ClaimPhase.Running || !canMarkUnknown) {
		return {state, answer: {kind: CommandResponseKind.StaleToken}};
	}

	return {
		state: {...state, claims: setInBucketMap(state.claims, command.key, {...claim, phase: ClaimPhase.OutcomeUnknown})},
		answer: {kind: CommandResponseKind.OutcomeUnknown, requestId: claim.requestId},
	};
}
