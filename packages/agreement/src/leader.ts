import {type Step} from '@fescuestair/core';
import {
	deriveNextMembers, findMajorityValue, findMember, isVoter, type Member,
} from './members.js';
import {
	appendEntries, findMembers, getLastIndex, getTermAt, sliceEntries,
} from './log.js';
import {becomeFollower, persistHardState} from './roles.js';
import {sliceByText} from './slice-by-text.js';
import {
	EffectKind, EntryKind, PeerMessageKind, ReplicaRole, type Effect, type EntryPayload, type Message, type MessageKind, type PeerMessage,
	type Progress, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type AppendReply = Extract<PeerMessage, {readonly kind: PeerMessageKind.AppendReply}>;

const maxEntriesPerAppend = 512;
const maxEntriesInFlight = 4096;
/** A learner this close to the leader's log becomes a voter. */
const caughtUpEntries = 64;
const snapshotRetryMs = 5000;

/** Takes office: opens the term with an entry of its own and tells everyone. */
export function becomeLeader(state: ReplicaState, nowMs: number): ReplicaStep {
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
		// Not yet a lease: a majority has to answer this leader first. Until then it keeps trying for one timeout.
		leaseDeadlineMs: nowMs,
	};

	return appendOwn(leader, {kind: EntryKind.Noop}, nowMs);
}

function createProgress(nextIndex: number): Progress {
	return {
		matchIndex: 0, nextIndex, ackedSentAtMs: Number.NEGATIVE_INFINITY, snapshotDeadlineMs: 0,
	};
}

function appendOwn(state: ReplicaState, payload: EntryPayload, nowMs: number): ReplicaStep {
	const entry = {index: getLastIndex(state.log) + 1, term: state.term, payload};
	const log = appendEntries(state.log, [entry]);
	const appended: ReplicaState = {...state, log, ...findMembers(log)};
	const sent = replicate(appended, nowMs);
	const committed = advanceCommit(sent.state, nowMs);

	return {
		state: committed.state,
		effects: [{kind: EffectKind.Persist, entries: [entry]}, ...sent.effects, ...committed.effects],
	};
}

/** Sends to each member what it lacks, and word of the leader to those that lack nothing. */
export function sendHeartbeats(state: ReplicaState, nowMs: number): ReplicaStep {
	const renewed = renewLease({...state, heartbeatDeadlineMs: nowMs + state.timing.heartbeatMs}, nowMs);
	const step = replicate(renewed, nowMs);
	const committed = advanceCommit(step.state, nowMs);

	return {state: committed.state, effects: [...step.effects, ...committed.effects]};
}

function replicate(state: ReplicaState, nowMs: number): ReplicaStep {
	const progress = new Map<string, Progress>();
	const effects: Effect[] = [];

	for (const member of state.members) {
		if (member.id === state.id) {
			continue;
		}

		const sent = sendTo(state, member.id, state.progress.get(member.id) ?? createProgress(getLastIndex(state.log) + 1), nowMs);
		progress.set(member.id, sent.progress);
		effects.push(sent.effect);
	}

	return {state: {...state, progress}, effects};
}

function sendTo(state: ReplicaState, to: string, progress: Progress, nowMs: number): {progress: Progress; effect: Effect} {
	const {log, term} = state;
	const previousIndex = progress.nextIndex - 1;
	const previousTerm = getTermAt(log, previousIndex);
	const needsSnapshot = previousTerm === undefined;

	if (needsSnapshot && nowMs >= progress.snapshotDeadlineMs) {
		return {
			progress: {...progress, snapshotDeadlineMs: nowMs + snapshotRetryMs},
			effect: {
				kind: EffectKind.SendSnapshot, to, term, sentAtMs: nowMs,
			},
		};
	}

	const isFull = previousIndex - progress.matchIndex >= maxEntriesInFlight;
	const entries = needsSnapshot || isFull ? [] : sliceByText(sliceEntries(log, progress.nextIndex, previousIndex + maxEntriesPerAppend));

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
			},
			isBeforeSync: true,
		},
	};
}

/** Takes a member's answer: its progress, the lease, and what may be committed. */
export function handleAppendReply(state: ReplicaState, from: string, reply: AppendReply, nowMs: number): ReplicaStep {
	if (reply.term > state.term) {
		const next = becomeFollower(state, {term: reply.term, leaderId: undefined, nowMs});

		return {state: next, effects: persistHardState(state, next)};
	}

	const before = state.progress.get(from);

	if (state.role !== ReplicaRole.Leader || reply.term !== state.term || before === undefined) {
		return {state, effects: []};
	}

	const progress = new Map(state.progress).set(from, takeReply(before, reply));
	const renewed = renewLease({...state, progress}, nowMs);
	const caughtUp = sendBacklog(renewed, from, nowMs);
	const committed = advanceCommit(caughtUp.state, nowMs);

	return {state: committed.state, effects: [...caughtUp.effects, ...committed.effects]};
}

function takeReply(before: Progress, reply: AppendReply): Progress {
	const ackedSentAtMs = Math.max(before.ackedSentAtMs, reply.sentAtMs);

	if (reply.isAccepted) {
		const matchIndex = Math.max(before.matchIndex, reply.index);

		return {
			...before, ackedSentAtMs, matchIndex, nextIndex: Math.max(before.nextIndex, matchIndex + 1),
		};
	}

	// An old refusal, answered since by a match further on, must not turn the leader back.
	if (reply.rejectedIndex <= before.matchIndex) {
		return {...before, ackedSentAtMs};
	}

	return {
		...before, ackedSentAtMs, nextIndex: Math.max(before.matchIndex + 1, Math.min(reply.index + 1, before.nextIndex)),
	};
}

function renewLease(state: ReplicaState, nowMs: number): ReplicaState {
	const sentAtMs = findMajorityValue(
		state.members,
		id => id === state.id ? Number.POSITIVE_INFINITY : state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY,
	);

	// Infinite where this replica is the only voter: it needs nobody's answer.
	const heardAtMs = Math.min(sentAtMs, nowMs);

	return {...state, leaseDeadlineMs: Math.max(state.leaseDeadlineMs, heardAtMs + state.timing.leaseMs)};
}

// After a refusal, or while a member catches up, the next part goes out at once and not with the next heartbeat.
function sendBacklog(state: ReplicaState, to: string, nowMs: number): ReplicaStep {
	const progress = state.progress.get(to);

	if (progress === undefined || progress.nextIndex > getLastIndex(state.log)) {
		return {state, effects: []};
	}

	const sent = sendTo(state, to, progress, nowMs);

	return {state: {...state, progress: new Map(state.progress).set(to, sent.progress)}, effects: [sent.effect]};
}

function advanceCommit(state: ReplicaState, nowMs: number): ReplicaStep {
	const lastIndex = getLastIndex(state.log);
	const index = findMajorityValue(state.members, id => id === state.id ? lastIndex : state.progress.get(id)?.matchIndex ?? 0);

	// An entry of an earlier term is committed only along with one of this term.
	if (index <= state.commitIndex || getTermAt(state.log, index) !== state.term) {
		return followMembers(state, nowMs);
	}

	const apply: Effect = {kind: EffectKind.Apply, entries: sliceEntries(state.log, state.commitIndex + 1, index)};
	const followed = followMembers({...state, commitIndex: index}, nowMs);

	return {state: followed.state, effects: [apply, ...followed.effects]};
}

// Once a change of members is committed, the next step of a replacement may begin.
function followMembers(state: ReplicaState, nowMs: number): ReplicaStep {
	if (!canChangeMembers(state)) {
		return {state, effects: []};
	}

	if (findMember(state.members, state.id) === undefined) {
		return {state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}), effects: []};
	}

	const next = deriveNextMembers(state.members, id => isCaughtUp(state, id));

	return next === undefined ? {state, effects: []} : appendOwn(state, {kind: EntryKind.Members, members: next}, nowMs);
}

// The change before is committed, and so is an entry of this leader's own term.
function canChangeMembers(state: ReplicaState): boolean {
	return state.membersIndex <= state.commitIndex && getTermAt(state.log, state.commitIndex) === state.term;
}

function isCaughtUp(state: ReplicaState, id: string): boolean {
	const matchIndex = state.progress.get(id)?.matchIndex ?? 0;

	return matchIndex > 0 && matchIndex + caughtUpEntries >= getLastIndex(state.log);
}

type Proposal = Extract<Message, {readonly kind: MessageKind.Propose}>;
type MembersProposal = Extract<Message, {readonly kind: MessageKind.ChangeMembers}>;

/** Appends a command to the log, or refuses it where this replica does not lead. */
export function propose(state: ReplicaState, proposal: Proposal, nowMs: number): ReplicaStep {
	if (state.role !== ReplicaRole.Leader) {
		return reject(state, proposal.proposalId, 'not_leader');
	}

	return acceptOwn(state, proposal.proposalId, {kind: EntryKind.Command, command: proposal.command}, nowMs);
}

/** Changes the members by at most one, once the change before is committed. */
export function changeMembers(state: ReplicaState, proposal: MembersProposal, nowMs: number): ReplicaStep {
	const isFirst = state.members.length === 0 && state.log.entries.length === 0 && state.log.snapshot.index === 0;

	if (isFirst && proposal.members.length === 1 && isVoter(proposal.members, state.id)) {
		return initializeGroup(state, proposal, nowMs);
	}

	if (state.role !== ReplicaRole.Leader) {
		return reject(state, proposal.proposalId, 'not_leader');
	}

	if (!canChangeMembers(state)) {
		return reject(state, proposal.proposalId, 'change_in_progress');
	}

	if (countDifferences(state.members, proposal.members) > 1) {
		return reject(state, proposal.proposalId, 'more_than_one_change');
	}

	return acceptOwn(state, proposal.proposalId, {kind: EntryKind.Members, members: proposal.members}, nowMs);
}

function initializeGroup(state: ReplicaState, proposal: MembersProposal, nowMs: number): ReplicaStep {
	const {members, proposalId} = proposal;
	const started: ReplicaState = {
		...state, term: 1, votedFor: state.id, members,
	};
	const led = becomeLeader(started, nowMs);
	const accepted = acceptOwn(led.state, proposalId, {kind: EntryKind.Members, members}, nowMs);

	return {state: accepted.state, effects: [...persistHardState(state, started), ...led.effects, ...accepted.effects]};
}

function acceptOwn(state: ReplicaState, proposalId: string, payload: EntryPayload, nowMs: number): ReplicaStep {
	const index = getLastIndex(state.log) + 1;
	const accepted: Effect = {
		kind: EffectKind.Accepted, proposalId, index, term: state.term,
	};
	const appended = appendOwn(state, payload, nowMs);

	return {state: appended.state, effects: [accepted, ...appended.effects]};
}

function reject(state: ReplicaState, proposalId: string, reason: string): ReplicaStep {
	return {
		state,
		effects: [{
			kind: EffectKind.Rejected, proposalId, reason, leaderId: state.leaderId,
		}],
	};
}

function countDifferences(before: readonly Member[], after: readonly Member[]): number {
	const added = after.filter(member => findMember(before, member.id)?.isVoter !== member.isVoter).length;
	const removed = before.filter(member => findMember(after, member.id) === undefined).length;

	return added + removed;
}

/** Gives the office to the member that is furthest; the own lease ends at once. */
export function transferLeadership(state: ReplicaState, nowMs: number): ReplicaStep {
	if (state.role !== ReplicaRole.Leader) {
		return {state, effects: []};
	}

	const heir = state.members
		.filter(member => member.isVoter && member.id !== state.id)
		.toSorted((a, b) => (state.progress.get(b.id)?.matchIndex ?? 0) - (state.progress.get(a.id)?.matchIndex ?? 0))
		.at(0);

	if (heir === undefined) {
		return {state, effects: []};
	}

	return {
		state: becomeFollower(state, {term: state.term, leaderId: undefined, nowMs}),
		effects: [{
			kind: EffectKind.Send,
			to: heir.id,
			message: {kind: PeerMessageKind.TimeoutNow, term: state.term},
			isBeforeSync: false,
		}],
	};
}
