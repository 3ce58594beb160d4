import {type Step} from '@fescuestair/core';
import {becomeLeader} from './leader.js';
import {becomeFollower, persistHardState} from './roles.js';
import {computeElectionDeadline} from './timing.js';
import {getLastIndex, getLastTerm} from './log.js';
import {isMajority, isVoter} from './members.js';
import {
	EffectKind, PeerMessageKind, ReplicaRole, type Effect, type PeerMessage, type ReplicaState,
} from './types.js';

type ReplicaStep = Step<ReplicaState, Effect>;
type VoteRequest = Extract<PeerMessage, {readonly kind: PeerMessageKind.VoteRequest}>;
type VoteReply = Extract<PeerMessage, {readonly kind: PeerMessageKind.VoteReply}>;
type TimeoutNow = Extract<PeerMessage, {readonly kind: PeerMessageKind.TimeoutNow}>;

/** Asks whether an election could be won, without disturbing anyone's term. */
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

	return {state: candidate, effects: requestVotes(candidate, {term: state.term + 1, isPreVote: true, isTransfer: false})};
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
	const persisted = persistHardState(state, candidate);

	if (isMajority(state.members, candidate.votes)) {
		const led = becomeLeader(candidate, nowMs);

		return {state: led.state, effects: [...persisted, ...led.effects]};
	}

	return {state: candidate, effects: [...persisted, ...requestVotes(candidate, {term, isPreVote: false, isTransfer})]};
}

type VoteInput = {readonly term: number; readonly isPreVote: boolean; readonly isTransfer: boolean};

function requestVotes(state: ReplicaState, input: VoteInput): readonly Effect[] {
	const message = {
		kind: PeerMessageKind.VoteRequest as const,
		lastIndex: getLastIndex(state.log),
		lastTerm: getLastTerm(state.log),
		...input,
	};

	return state.members
		.filter(member => member.isVoter && member.id !== state.id)
		.map(member => ({
			kind: EffectKind.Send, to: member.id, message, isBeforeSync: false,
		}));
}

/** Answers a request for a vote. */
export function handleVoteRequest(state: ReplicaState, from: string, request: VoteRequest, nowMs: number): ReplicaStep {
	// A leader may hold its lease: no vote, and no new term either, unless that leader gave it up itself.
	if (!request.isTransfer && hasLiveLeader(state, nowMs)) {
		return {state, effects: [replyVote(from, request, {term: state.term, isGranted: false})]};
	}

	if (request.isPreVote) {
		const isGranted = request.term > state.term && isUpToDate(state, request);

		return {state, effects: [replyVote(from, request, {term: isGranted ? request.term : state.term, isGranted})]};
	}

	const current = request.term > state.term ? becomeFollower(state, {term: request.term, leaderId: undefined, nowMs}) : state;
	const isGranted = request.term === current.term && canVoteFor(current, from) && isUpToDate(current, request);
	const next = isGranted ? grantVote(current, from, nowMs) : current;

	return {
		state: next,
		effects: [...persistHardState(state, next), replyVote(from, request, {term: next.term, isGranted})],
	};
}

function hasLiveLeader(state: ReplicaState, nowMs: number): boolean {
	return state.role === ReplicaRole.Leader || nowMs < state.voteDeadlineMs;
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

function replyVote(to: string, request: VoteRequest, reply: {term: number; isGranted: boolean}): Effect {
	return {
		kind: EffectKind.Send,
		to,
		message: {kind: PeerMessageKind.VoteReply, isPreVote: request.isPreVote, ...reply},
		isBeforeSync: false,
	};
}

/** Counts a vote. */
export function handleVoteReply(state: ReplicaState, from: string, reply: VoteReply, nowMs: number): ReplicaStep {
	if (!reply.isGranted) {
		return followLaterTerm(state, reply.term, nowMs);
	}

	const expectedRole = reply.isPreVote ? ReplicaRole.PreCandidate : ReplicaRole.Candidate;
	const expectedTerm = reply.isPreVote ? state.term + 1 : state.term;

	if (state.role !== expectedRole || reply.term !== expectedTerm) {
		return {state, effects: []};
	}

	const counted = {...state, votes: new Set([...state.votes, from])};

	if (!isMajority(state.members, counted.votes)) {
		return {state: counted, effects: []};
	}

	return reply.isPreVote ? startElection(counted, {isTransfer: false, nowMs}) : becomeLeader(counted, nowMs);
}

function followLaterTerm(state: ReplicaState, term: number, nowMs: number): ReplicaStep {
	if (term <= state.term) {
		return {state, effects: []};
	}

	const next = becomeFollower(state, {term, leaderId: undefined, nowMs});

	return {state: next, effects: persistHardState(state, next)};
}

/** The leader gives its office up to this replica. */
export function handleTimeoutNow(state: ReplicaState, message: TimeoutNow, nowMs: number): ReplicaStep {
	if (message.term !== state.term || !isVoter(state.members, state.id)) {
		return {state, effects: []};
	}

	return startElection(state, {isTransfer: true, nowMs});
}
