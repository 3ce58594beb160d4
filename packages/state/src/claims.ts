import {
	buildBucketMap, getFromBucketMap, listBucketMap, setInBucketMap, type BucketMap,
} from '@fescuestair/core';
import {
	AnswerKind, ClaimPhase, type Answer, type Claim, type Command, type CommandKind, type ReplicatedState,
} from './types.js';

type Applied = {readonly state: ReplicatedState; readonly answer: Answer};
type ClaimCommand = Extract<Command, {kind: CommandKind.Claim}>;
type SettleCommand = Extract<Command, {kind: CommandKind.Settle}>;
type ReleaseCommand = Extract<Command, {kind: CommandKind.Release}>;
type AbandonCommand = Extract<Command, {kind: CommandKind.Abandon}>;

/** Keys one organisation may have remembered at once. */
const maxClaimsPerOrganisation = 50_000;

/**
Encodes the name of a claim, so that one organisation's keys never meet another's.

@example
```
encodeClaimKey({organisation: 'okahandja', service: 'work-orders', key: 'order-17'});
```
*/
export function encodeClaimKey({organisation, service, key}: {organisation: string; service: string; key: string}): string {
	return JSON.stringify([organisation, service, key]);
}

/** Counts the claims of each organisation. */
export function countClaims(claims: BucketMap<Claim>): BucketMap<number> {
	const counts = new Map<string, number>();

	for (const [, claim] of listBucketMap(claims)) {
		counts.set(claim.organisation, (counts.get(claim.organisation) ?? 0) + 1);
	}

	return buildBucketMap(counts);
}

/** Grants a claim to the first who asks; everyone later learns how the call stands. */
export function applyClaim(state: ReplicatedState, command: ClaimCommand): Applied {
	const existing = getFromBucketMap(state.claims, command.key);

	if (existing !== undefined) {
		return {state, answer: describeClaim(state, existing, command.bodyDigest)};
	}

	const count = getFromBucketMap(state.claimCounts, command.organisation) ?? 0;

	if (count >= maxClaimsPerOrganisation) {
		return {state, answer: {kind: AnswerKind.TooManyClaims}};
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
		answer: {kind: AnswerKind.Granted, token: claim.token},
	};
}

function describeClaim(state: ReplicatedState, claim: Claim, bodyDigest: string): Answer {
	if (claim.bodyDigest !== bodyDigest) {
		return {kind: AnswerKind.KeyReused};
	}

	switch (claim.phase) {
		case ClaimPhase.Running: {
			return {
				kind: AnswerKind.Running,
				token: claim.token,
				requestId: claim.requestId,
				entryId: claim.entryId,
				isOverdue: state.timeMs >= claim.leaseDeadlineMs,
			};
		}

		case ClaimPhase.Recorded: {
			return {kind: AnswerKind.Recorded, requestId: claim.requestId, outcome: claim.outcome!};
		}

		case ClaimPhase.Unknown: {
			return {kind: AnswerKind.Unknown, requestId: claim.requestId};
		}
	}
}

/** Records the outcome. An outcome that turns up late replaces `unknown`; a recorded one stays. */
export function applySettle(state: ReplicatedState, command: SettleCommand): Applied {
	const claim = getFromBucketMap(state.claims, command.key);

	if (claim?.token !== command.token || claim.phase === ClaimPhase.Recorded) {
		return {state, answer: {kind: AnswerKind.StaleToken}};
	}

	const settled: Claim = command.outcome === undefined
		? {...claim, phase: ClaimPhase.Unknown}
		: {...claim, phase: ClaimPhase.Recorded, outcome: command.outcome};

	return {
		state: {...state, claims: setInBucketMap(state.claims, command.key, settled)},
		answer: {kind: AnswerKind.Done, value: command.token},
	};
}

/** Forgets a claim whose call provably never left; the next one with its key runs. */
export function applyRelease(state: ReplicatedState, command: ReleaseCommand): Applied {
	const claim = getFromBucketMap(state.claims, command.key);

	if (claim?.token !== command.token || claim.phase !== ClaimPhase.Running) {
		return {state, answer: {kind: AnswerKind.StaleToken}};
	}

	const count = getFromBucketMap(state.claimCounts, claim.organisation) ?? 1;

	return {
		state: {
			...state,
			claims: setInBucketMap(state.claims, command.key, undefined),
			claimCounts: setInBucketMap(state.claimCounts, claim.organisation, count - 1),
		},
		answer: {kind: AnswerKind.Done, value: command.token},
	};
}

/** Declares the outcome of a claim unknown that is overdue or whose holder is lost; it is never run again. */
export function applyAbandon(state: ReplicatedState, command: AbandonCommand): Applied {
	const claim = getFromBucketMap(state.claims, command.key);
	const isOverdue = claim !== undefined && (command.isHolderLost || state.timeMs >= claim.leaseDeadlineMs);

	if (claim?.token !== command.token || claim.phase !== ClaimPhase.Running || !isOverdue) {
		return {state, answer: {kind: AnswerKind.StaleToken}};
	}

	return {
		state: {...state, claims: setInBucketMap(state.claims, command.key, {...claim, phase: ClaimPhase.Unknown})},
		answer: {kind: AnswerKind.Unknown, requestId: claim.requestId},
	};
}
