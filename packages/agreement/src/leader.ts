import {type Step} from '@fescuestair/core';
import {
	deriveNextMembers, findMajorityValue, findMember, isVoter, type Member,
} from './members.js';
import {
	appendEntries, findLatestMembers, getLastIndex, getTermAt, sliceEntries,
} from './log.js';
import {findMajorityAckedAtMs} from './confirm-read.js';
import {chooseReading, createConfirmationFields} from './confirmation.js';
import {becomeFollower, createHardStateEffects} from './roles.js';
import {sliceByTextLength} from './slice-by-text-length.js';
import {
	EffectKind, EntryKind, PeerMessageKind, ReplicaRole, type Effect, type EntryPayload, type Message, type MessageKind, type PeerMessage,
	type Progress, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type AppendReply = Extract<PeerMessage, {readonly kind: PeerMessageKind.AppendReply}>;

const maxEntriesPerAppend = 512;
const maxEntriesInFlight = 4096;
/** A learner whose log is at most this many entries behind the leader's counts as caught up. */
const maxCaughtUpLagEntries = 64;
const snapshotRetryIntervalMs = 5000;
const noop: EntryPayload = {kind: EntryKind.Noop};

/** Becomes leader: appends the first entry of the new term, a no-op by default, and replicates it to all members. */
export function becomeLeader(state: ReplicaState, nowMs: number, firstPayload: EntryPayload = noop): ReplicaStep {
	const nextIndex = getLastIndex(state.log) + 1;
	const progress = new Map<string, Progress>();

	for (const member of state.members) {
		progress.set(member.id, createProgress(nextIndex));
	}

	const leader: ReplicaState = {
		...state,
		role: ReplicaRole.Leader,
		leaderId: state.id,
		votes: new Set(),
		progress,
		// Expired from the start, since a majority has to acknowledge this leader first. It steps down if none does within an election timeout.
		leaseDeadlineMs: nowMs,
	};

	return appendAsLeader(leader, firstPayload, nowMs);
}

function createProgress(nextIndex: number): Progress {
	return {
		matchIndex: 0, matchedAtMs: Number.NEGATIVE_INFINITY, nextIndex, ackedSentAtMs: Number.NEGATIVE_INFINITY, reading: undefined, snapshotRetryAtMs: 0,
	};
}

function appendAsLeader(state: ReplicaState, payload: EntryPayload, nowMs: number): ReplicaStep {
	const entry = {index: getLastIndex(state.log) + 1, term: state.term, payload};
	const log = appendEntries(state.log, [entry]);
	const appended: ReplicaState = {...state, log, ...findLatestMembers(log)};
	const sent = replicateToAll(appended, nowMs);
	const committed = advanceCommitIndex(sent.state, nowMs);

	return {
		state: committed.state,
		effects: [{kind: EffectKind.Persist, entries: [entry]}, ...sent.effects, ...committed.effects],
	};
}

/** Sends each member the entries or the snapshot that it lacks, or an empty append as a heartbeat if it lacks nothing. */
export function sendHeartbeats(state: ReplicaState, nowMs: number): ReplicaStep {
	const renewed = renewLease({...state, nextHeartbeatAtMs: nowMs + state.timing.heartbeatIntervalMs}, nowMs);
	const step = replicateToAll(renewed, nowMs);
	const committed = advanceCommitIndex(step.state, nowMs);

	return {state: committed.state, effects: [...step.effects, ...committed.effects]};
}

function replicateToAll(state: ReplicaState, nowMs: number): ReplicaStep {
	const progress = new Map<string, Progress>();
	const effects: Effect[] = [];

	for (const member of state.members) {
		if (member.id === state.id) {
			continue;
		}

		const sent = replicateToMember(state, member.id, state.progress.get(member.id) ?? createProgress(getLastIndex(state.log) + 1), nowMs);
		progress.set(member.id, sent.progress);
		effects.push(sent.effect);
	}

	return {state: {...state, progress}, effects};
}

function replicateToMember(state: ReplicaState, to: string, progress: Progress, nowMs: number): {progress: Progress; effect: Effect} {
	const {log, term} = state;
	const previousIndex = progress.nextIndex - 1;
	const previousTerm = getTermAt(log, previousIndex);
	const needsSnapshot = previousTerm === undefined;

	if (needsSnapshot && nowMs >= progress.snapshotRetryAtMs) {
		return {
			progress: {...progress, snapshotRetryAtMs: nowMs + snapshotRetryIntervalMs},
			effect: {
				kind: EffectKind.SendSnapshot, to, term, sentAtMs: nowMs,
			},
		};
	}

	// Until the snapshot may be sent again, a member that needs one gets empty appends as heartbeats.
	const isInFlightLimitReached = previousIndex - progress.matchIndex >= maxEntriesInFlight;
	const entries = needsSnapshot || isInFlightLimitReached
		? []
		: sliceByTextLength(sliceEntries(log, progress.nextIndex, previousIndex + maxEntriesPerAppend));

	return {
		progress: {...progress, nextIndex: progress.nextIndex + entries.length},
		effect: {
			kind: EffectKind.Send,
			to,
			message: {
				kind: PeerMessageKind.Append,
				term,
				previousIndex: needsSnapshot ? log.snapshot.index : previousIndex,
				previousTerm: previousTerm ?? log.snapshot.term,
				entries,
				commitIndex: state.commitIndex,
				sentAtMs: nowMs,
				...createConfirmationFields(state, progress.reading, nowMs),
			},
			canSendBeforeSync: true,
		},
	};
}

/** Updates the member's progress, the lease and the commit index. */
export function handleAppendReply(state: ReplicaState, from: string, reply: AppendReply, nowMs: number): ReplicaStep {
	if (reply.term > state.term) {
		const next = becomeFollower(state, {term: reply.term, leaderId: undefined, nowMs});

		return {state: next, effects: createHardStateEffects(state, next)};
	}

	const previousProgress = state.progress.get(from);

	if (state.role !== ReplicaRole.Leader || reply.term !== state.term || previousProgress === undefined) {
		return {state, effects: []};
	}

	if (state.lostLogIds.has(from) || hasLostLog(previousProgress, reply)) {
		return {state: dropAcknowledgements(state, from), effects: []};
	}

	const progress = new Map(state.progress).set(from, applyAppendReply(previousProgress, reply, nowMs));
	const renewed = renewLease({...state, progress}, nowMs);
	const backlogStep = replicateBacklog(renewed, from, nowMs);
	const committed = advanceCommitIndex(backlogStep.state, nowMs);

	return {state: committed.state, effects: [...backlogStep.effects, ...committed.effects]};
}

function applyAppendReply(known: Progress, reply: AppendReply, nowMs: number): Progress {
	const previousProgress: Progress = {...known, reading: chooseReading(known.reading, reply.reading)};
	const ackedSentAtMs = Math.max(previousProgress.ackedSentAtMs, reply.sentAtMs);

	if (reply.isAccepted) {
		const matchIndex = Math.max(previousProgress.matchIndex, reply.index);

		return {
			...previousProgress,
			ackedSentAtMs,
			matchIndex,
			matchedAtMs: matchIndex > previousProgress.matchIndex ? nowMs : previousProgress.matchedAtMs,
			nextIndex: Math.max(previousProgress.nextIndex, matchIndex + 1),
		};
	}

	// A late rejection of an index that has matched in the meantime must not move `nextIndex` back.
	if (reply.rejectedIndex <= previousProgress.matchIndex) {
		return {...previousProgress, ackedSentAtMs};
	}

	return {
		...previousProgress, ackedSentAtMs, nextIndex: Math.max(previousProgress.matchIndex + 1, Math.min(reply.index + 1, previousProgress.nextIndex)),
	};
}

// A follower can reject an append behind an index that it has acknowledged only if it handled the append before. One that was sent after the
// acknowledgement had arrived shows that the follower's disk was lost, or set back.
function hasLostLog({matchIndex, matchedAtMs}: Progress, reply: AppendReply): boolean {
	return !reply.isAccepted && reply.rejectedIndex > 0 && reply.rejectedIndex <= matchIndex && reply.sentAtMs > matchedAtMs;
}

function dropAcknowledgements(state: ReplicaState, id: string): ReplicaState {
	return {
		...state,
		lostLogIds: new Set([...state.lostLogIds, id]),
		progress: new Map(state.progress).set(id, createProgress(getLastIndex(state.log) + 1)),
	};
}

function renewLease(state: ReplicaState, nowMs: number): ReplicaState {
	const confirmedAtMs = Math.min(findMajorityAckedAtMs(state), nowMs);

	return {...state, leaseDeadlineMs: Math.max(state.leaseDeadlineMs, confirmedAtMs + state.timing.leaseMs)};
}

// Sends the next entries at once, and not with the next heartbeat, to a member that rejected an append or is catching up.
function replicateBacklog(state: ReplicaState, to: string, nowMs: number): ReplicaStep {
	const progress = state.progress.get(to);

	if (progress === undefined || progress.nextIndex > getLastIndex(state.log)) {
		return {state, effects: []};
	}

	const sent = replicateToMember(state, to, progress, nowMs);

	return {state: {...state, progress: new Map(state.progress).set(to, sent.progress)}, effects: [sent.effect]};
}

function advanceCommitIndex(state: ReplicaState, nowMs: number): ReplicaStep {
	const lastIndex = getLastIndex(state.log);
	const index = findMajorityValue(state.members, id => id === state.id ? lastIndex : state.progress.get(id)?.matchIndex ?? 0);

	// An entry of an earlier term is committed only together with one of the current term. Until then a later leader may still overwrite it,
	// even if a majority holds it.
	if (index <= state.commitIndex || getTermAt(state.log, index) !== state.term) {
		return advanceMembershipChange(state, nowMs);
	}

	const apply: Effect = {kind: EffectKind.Apply, entries: sliceEntries(state.log, state.commitIndex + 1, index)};
	const followed = advanceMembershipChange({...state, commitIndex: index}, nowMs);

	return {state: followed.state, effects: [apply, ...followed.effects]};
}

// Starts the next step of an addition or replacement once the last membership change is committed. A leader that is no longer a member steps down.
function advanceMembershipChange(state: ReplicaState, nowMs: number): ReplicaStep {
	if (!canChangeMembers(state)) {
		return {state, effects: []};
	}

	if (findMember(state.members, state.id) === undefined) {
		return {state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}), effects: []};
	}

	const next = deriveNextMembers(state.members, id => isCaughtUp(state, id));

	return next === undefined ? {state, effects: []} : appendAsLeader(state, {kind: EntryKind.Members, members: next}, nowMs);
}

// The last membership change must be committed, and so must an entry of this leader's term.
function canChangeMembers(state: ReplicaState): boolean {
	return state.membersIndex <= state.commitIndex && getTermAt(state.log, state.commitIndex) === state.term;
}

function isCaughtUp(state: ReplicaState, id: string): boolean {
	const matchIndex = state.progress.get(id)?.matchIndex ?? 0;

	return matchIndex > 0 && matchIndex + maxCaughtUpLagEntries >= getLastIndex(state.log);
}

type Proposal = Extract<Message, {readonly kind: MessageKind.Propose}>;
type MembersProposal = Extract<Message, {readonly kind: MessageKind.ChangeMembers}>;

/** Appends a command to the log, or rejects it if this replica is not the leader. */
export function proposeCommand(state: ReplicaState, proposal: Proposal, nowMs: number): ReplicaStep {
	if (state.role !== ReplicaRole.Leader) {
		return rejectProposal(state, proposal.proposalId, 'not_leader');
	}

	return acceptProposal(state, proposal.proposalId, {kind: EntryKind.Command, command: proposal.command}, nowMs);
}

/**
Changes at most one member, if the last membership change is committed. On an empty replica, creates a group of the members, all of which must
be empty and bound to this group.
*/
export function changeMembers(state: ReplicaState, proposal: MembersProposal, nowMs: number): ReplicaStep {
	if (isEmptyReplica(state) && isVoter(proposal.members, state.id)) {
		return initializeGroup(state, proposal, nowMs);
	}

	if (state.role !== ReplicaRole.Leader) {
		return rejectProposal(state, proposal.proposalId, 'not_leader');
	}

	if (!canChangeMembers(state)) {
		return rejectProposal(state, proposal.proposalId, 'change_in_progress');
	}

	if (countMemberChanges(state.members, proposal.members) > 1) {
		return rejectProposal(state, proposal.proposalId, 'more_than_one_change');
	}

	return acceptProposal(state, proposal.proposalId, {kind: EntryKind.Members, members: proposal.members}, nowMs);
}

/**
Checks whether a replica holds no entry, no snapshot and no term, so that it cannot have acknowledged anything or voted under its identity.

@example
```
isEmptyReplica(createReplica({id: 'control-1.9f86', nowMs: 0})); //=> true
```
*/
export function isEmptyReplica(state: ReplicaState): boolean {
	return state.term === 0 && state.members.length === 0 && state.log.entries.length === 0 && state.log.snapshot.index === 0;
}

// Nobody else can lead in term 1, since nobody else has members. The first entry holds them, so that every later one comes after them.
function initializeGroup(state: ReplicaState, {members, proposalId}: MembersProposal, nowMs: number): ReplicaStep {
	const started: ReplicaState = {
		...state, term: 1, votedFor: state.id, members,
	};
	const accepted: Effect = {
		kind: EffectKind.Accepted, proposalId, index: 1, term: started.term,
	};
	const leaderStep = becomeLeader(started, nowMs, {kind: EntryKind.Members, members});

	return {state: leaderStep.state, effects: [...createHardStateEffects(state, started), accepted, ...leaderStep.effects]};
}

function acceptProposal(state: ReplicaState, proposalId: string, payload: EntryPayload, nowMs: number): ReplicaStep {
	const index = getLastIndex(state.log) + 1;
	const accepted: Effect = {
		kind: EffectKind.Accepted, proposalId, index, term: state.term,
	};
	const appended = appendAsLeader(state, payload, nowMs);

	return {state: appended.state, effects: [accepted, ...appended.effects]};
}

function rejectProposal(state: ReplicaState, proposalId: string, reason: string): ReplicaStep {
	return {
		state,
		effects: [{
			kind: EffectKind.Rejected, proposalId, reason, leaderId: state.leaderId,
		}],
	};
}

function countMemberChanges(before: readonly Member[], after: readonly Member[]): number {
	const added = after.filter(member => findMember(before, member.id)?.isVoter !== member.isVoter).length;
	const removed = before.filter(member => findMember(after, member.id) === undefined).length;

	return added + removed;
}

/** Gives up the lease and asks the most up-to-date voter to start an election at once. */
export function transferLeadership(state: ReplicaState, nowMs: number): ReplicaStep {
	if (state.role !== ReplicaRole.Leader) {
		return {state, effects: []};
	}

	const successor = state.members
		.filter(member => member.isVoter && member.id !== state.id)
		.toSorted((a, b) => (state.progress.get(b.id)?.matchIndex ?? 0) - (state.progress.get(a.id)?.matchIndex ?? 0))
		.at(0);

	if (successor === undefined) {
		return {state, effects: []};
	}

	return {
		state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}),
		effects: [{
			kind: EffectKind.Send,
			to: successor.id,
			message: {kind: PeerMessageKind.TimeoutNow, term: state.term},
			canSendBeforeSync: false,
		}],
	};
}
