import {getQuarantineKey} from './public-state.js';
import {applyCrashEvidence} from './held-back.js';
import {publishChange} from './publish-change.js';
import {
	CommandResponseKind, type CommandResponse, type Command, type CommandKind, type ReplicatedState, type Suspicion,
} from './types.js';

type ApplyResult = {readonly state: ReplicatedState; readonly answer: CommandResponse};
type ReportCrashCommand = Extract<Command, {kind: CommandKind.ReportCrash}>;
type AssignRetryCommand = Extract<Command, {kind: CommandKind.AssignRetry}>;
type ClearSuspicionCommand = Extract<Command, {kind: CommandKind.ClearSuspicion}>;

/** Number of crashes after which a prompt is quarantined. */
const quarantineCrashCount = 2;
const maxSuspicions = 10_000;

/** Records that a prompt was running when an upstream crashed. The second crash quarantines the prompt. */
export function applyCrashReport(before: ReplicatedState, command: ReportCrashCommand): ApplyResult {
	const previous = before.suspicions.get(command.fingerprint);
	const {unanswered} = command;
	const state = unanswered === undefined
		? before
		: applyCrashEvidence(before, {crashes: [{run: unanswered.run, atMs: before.timeMs, requests: [{traits: unanswered.traits, sentAtMs: unanswered.sentAtMs}]}]});
	const isKnown = previous?.crashes.some(crash => crash.upstreamId === command.upstreamId && crash.requestId === command.requestId) ?? false;

	if (isKnown || (previous === undefined && state.suspicions.size >= maxSuspicions)) {
		return {state, answer: {kind: CommandResponseKind.Done, value: previous?.crashes.length ?? 0}};
	}

	const suspicion: Suspicion = {
		organisation: command.organisation,
		crashes: [...previous?.crashes ?? [], {requestId: command.requestId, upstreamId: command.upstreamId}],
		keepDeadlineMs: command.keepDeadlineMs,
		retryUpstreamId: undefined,
		retryDeadlineMs: 0,
	};
	const stateWithSuspicion = {...state, suspicions: new Map(state.suspicions).set(command.fingerprint, suspicion)};
	const count = suspicion.crashes.length;
	const nextState = count === quarantineCrashCount
		? publishChange(stateWithSuspicion, {upserts: [[getQuarantineKey(command.fingerprint), command.organisation]], removals: []})
		: stateWithSuspicion;

	return {state: nextState, answer: {kind: CommandResponseKind.Done, value: count}};
}

/**
Assigns the retry of a suspected prompt to an upstream that is reserved for no other suspected prompt. If two of them ran on an upstream
that crashes, it would be unknown which one caused the crash, and a harmless one would be quarantined with the other.
*/
export function applyRetryAssignment(state: ReplicatedState, command: AssignRetryCommand): ApplyResult {
	const suspicion = state.suspicions.get(command.fingerprint);

	if (suspicion === undefined) {
		return {state, answer: {kind: CommandResponseKind.Assigned, upstreamId: command.candidateIds[0]}};
	}

	const reservedIds = listReservedUpstreams(state, command.fingerprint);
	const upstreamId = command.candidateIds.find(id => !reservedIds.has(id));
	const assigned = {...suspicion, retryUpstreamId: upstreamId, retryDeadlineMs: command.retryDeadlineMs};

	return {
		state: {...state, suspicions: new Map(state.suspicions).set(command.fingerprint, assigned)},
		answer: {kind: CommandResponseKind.Assigned, upstreamId},
	};
}

function listReservedUpstreams(state: ReplicatedState, exceptFingerprint: string): ReadonlySet<string> {
	const reservedIds = new Set<string>();

	for (const [fingerprint, {retryUpstreamId, retryDeadlineMs}] of state.suspicions) {
		if (fingerprint !== exceptFingerprint && retryUpstreamId !== undefined && retryDeadlineMs > state.timeMs) {
			reservedIds.add(retryUpstreamId);
		}
	}

	return reservedIds;
}

/** Clears the suspicion of a prompt that finished on another upstream. A quarantined prompt stays quarantined until its deadline. */
export function applyClearSuspicion(before: ReplicatedState, command: ClearSuspicionCommand): ApplyResult {
	const {answered} = command;
	const state = answered === undefined ? before : applyCrashEvidence(before, {answers: answered.traits.map(trait => ({trait, atMs: answered.atMs}))});
	const suspicion = state.suspicions.get(command.fingerprint);

	if (suspicion === undefined || suspicion.crashes.length >= quarantineCrashCount) {
		return {state, answer: {kind: CommandResponseKind.Done, value: suspicion?.crashes.length ?? 0}};
	}

	const suspicions = new Map(state.suspicions);
	suspicions.delete(command.fingerprint);

	return {state: {...state, suspicions}, answer: {kind: CommandResponseKind.Done, value: 0}};
}

/** Removes suspicions whose deadline has passed, and ends their quarantine. */
export function expireSuspicions(state: ReplicatedState): ReplicatedState {
	const expiredFingerprints = [...state.suspicions].filter(([, suspicion]) => suspicion.keepDeadlineMs <= state.timeMs).map(([fingerprint]) => fingerprint);

	if (expiredFingerprints.length === 0) {
		return state;
	}

	const suspicions = new Map([...state.suspicions].filter(([fingerprint]) => !expiredFingerprints.includes(fingerprint)));
	const removals = expiredFingerprints.map(fingerprint => getQuarantineKey(fingerprint)).filter(key => state.publicState.items.has(key));
	const remainingState = {...state, suspicions};

	return removals.length === 0 ? remainingState : publishChange(remainingState, {upserts: [], removals});
}
