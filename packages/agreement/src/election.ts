import {type Step} from '@fescuestair/core';
import {becomeLeader} from './leader.js';
import {becomeFollower, createHardStateEffects} from './roles.js';
import {computeElectionDeadline} from './election-deadline.js';
import {getLastIndex, getLastTerm} from './log.js';
import {isMajority, isVoter} from './members.js';
import {
	EffectKind, PeerMessageKind, ReplicaRole, type Effect, type PeerMessage, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type VoteRequest = Extract<PeerMessage, {readonly kind: PeerMessageKind.VoteRequest}>;
type VoteReply = Extract<PeerMessage, {readonly kind: PeerMessageKind.VoteReply}>;
type TimeoutNow = Extract<PeerMessage, {readonly kind: PeerMessageKind.TimeoutNow}>;

/** Starts a pre-vote, which finds out whether an election can be won without changing the term of any replica. */
export function startPreVote(state: ReplicaState, nowMs: number): ReplicaStep {
	const candidate: ReplicaState = {
		...state,
		role: ReplicaRole.PreCandidate,
		leaderId: undefined,
		votes: new Set([state.id]),
		electionDeadlineMs: computeElectionDeadline({
			id: state.id, term: state.term, timing: state.timing, nowMs,
		}),
	};

	if (isMajority(state.members, candidate.votes)) {
		return startElection(candidate, {isTransfer: false, nowMs});
	}

	return {state: candidate, effects: createVoteRequests(candidate, {term: state.term + 1, isPreVote: true, isTransfer: false})};
}

function startElection(state: ReplicaState, {isTransfer, nowMs}: {isTransfer: boolean; nowMs: number}): ReplicaStep {
	const term = state.term + 1;
	const candidate: ReplicaState = {
		...state,
		role: ReplicaRole.Candidate,
		term,
		votedFor: state.id,
		leaderId: undefined,
		votes: new Set([state.id]),
		electionDeadlineMs: computeElectionDeadline({
			id: state.id, term, timing: state.timing, nowMs,
		}),
	};
	const hardStateEffects = createHardStateEffects(state, candidate);

	if (isMajority(state.members, candidate.votes)) {
		const leaderStep = becomeLeader(candidate, nowMs);

		return {state: leaderStep.state, effects: [...hardStateEffects, ...leaderStep.effects]};
	}

	return {state: candidate, effects: [...hardStateEffects, ...createVoteRequests(candidate, {term, isPreVote: false, isTransfer})]};
}

type VoteRequestInput = {readonly term: number; readonly isPreVote: boolean; readonly isTransfer: boolean};

function createVoteRequests(state: ReplicaState, input: VoteRequestInput): readonly Effect[] {
	const message = {
		kind: PeerMessageKind.VoteRequest as const,
		lastIndex: getLastIndex(state.log),
		lastTerm: getLastTerm(state.log),
		...input,
	};

	return state.members
		.filter(member => member.isVoter && member.id !== state.id)
		.map(member => ({
			kind: EffectKind.Send, to: member.id, message, canSendBeforeSync: false,
		}));
}

/** Grants or denies a vote or pre-vote. */
export function handleVoteRequest(state: ReplicaState, from: string, request: VoteRequest, nowMs: number): ReplicaStep {
	// A leader may still hold its lease, so neither grant a vote nor adopt a later term, unless that leader gave up its lease itself.
	if (!request.isTransfer && shouldWithholdVote(state, nowMs)) {
		return {state, effects: [createVoteReply(from, request, {term: state.term, isGranted: false})]};
	}

	if (request.isPreVote) {
		const isGranted = request.term > state.term && isUpToDate(state, request);

		return {state, effects: [createVoteReply(from, request, {term: isGranted ? request.term : state.term, isGranted})]};
	}

	const current = request.term > state.term ? becomeFollower(state, {term: request.term, leaderId: undefined, nowMs}) : state;
	const isGranted = request.term === current.term && canVoteFor(current, from) && isUpToDate(current, request);
	const next = isGranted ? grantVote(current, from, nowMs) : current;

	return {
		state: next,
		effects: [...createHardStateEffects(state, next), createVoteReply(from, request, {term: next.term, isGranted})],
	};
}

function shouldWithholdVote(state: ReplicaState, nowMs: number): boolean {
	return state.role === ReplicaRole.Leader || nowMs < state.voteAllowedAtMs;
}

function canVoteFor(state: ReplicaState, candidate: string): boolean {
	return state.votedFor === undefined || state.votedFor === candidate;
}

function isUpToDate(state: ReplicaState, request: VoteRequest): boolean {
	const lastTerm = getLastTerm(state.log);

	return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= getLastIndex(state.log));
}

function grantVote(state: ReplicaState, candidate: string, nowMs: number): ReplicaState {
	return {
		...state,
		votedFor: candidate,
		electionDeadlineMs: computeElectionDeadline({
			id: state.id, term: state.term, timing: state.timing, nowMs,
		}),
	};
}

function createVoteReply(to: string, request: VoteRequest, reply: {term: number; isGranted: boolean}): Effect {
	return {
		kind: EffectKind.Send,
		to,
		message: {kind: PeerMessageKind.VoteReply, isPreVote: request.isPreVote, ...reply},
		canSendBeforeSync: false,
	};
}

/** Counts a granted vote; proceeds from the pre-vote to the election, or from the election to leadership, once a majority has granted it. */
export function handleVoteReply(state: ReplicaState, from: string, reply: VoteReply, nowMs: number): ReplicaStep {
	if (!reply.isGranted) {
		return handleLaterTerm(state, reply.term, nowMs);
	}

	if (state.lostLogIds.has(from)) {
		return {state, effects: []};
	}

	const expectedRole = reply.isPreVote ? ReplicaRole.PreCandidate : ReplicaRole.Candidate;
	const expectedTerm = reply.isPreVote ? state.term + 1 : state.term;

	if (state.role !== expectedRole || reply.term !== expectedTerm) {
		return {state, effects: []};
	}

	const stateWithVote = {...state, votes: new Set([...state.votes, from])};

	if (!isMajority(state.members, stateWithVote.votes)) {
		return {state: stateWithVote, effects: []};
	}

	return reply.isPreVote ? startElection(stateWithVote, {isTransfer: false, nowMs}) : becomeLeader(stateWithVote, nowMs);
}

function handleLaterTerm(state: ReplicaState, term: number, nowMs: number): ReplicaStep {
	if (term <= state.term) {
		return {state, effects: []};
	}

	const next = becomeFollower(state, {term, leaderId: undefined, nowMs});

	return {state: next, effects: createHardStateEffects(state, next)};
}

/** Starts an election at once, without a pre-vote, since the leader transfers its leadership to this replica. */
export function handleTimeoutNow(state: ReplicaState, message: TimeoutNow, nowMs: number): ReplicaStep {
	if (message.term !== state.term || !isVoter(state.members, state.id)) {
		return {state, effects: []};
	}

	return startElection(state, {isTransfer: true, nowMs});
}
