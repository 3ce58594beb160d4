import {getQuarantineKey} from './public-state.js';
import {publish} from './publish.js';
import {
	AnswerKind, type Answer, type Command, type CommandKind, type ReplicatedState, type Suspicion,
} from './types.js';

type Applied = {readonly state: ReplicatedState; readonly answer: Answer};
type CrashCommand = Extract<Command, {kind: CommandKind.ReportCrash}>;
type AssignCommand = Extract<Command, {kind: CommandKind.AssignRetry}>;
type ClearCommand = Extract<Command, {kind: CommandKind.ClearSuspicion}>;

const crashesToQuarantine = 2;
const maxSuspicions = 10_000;

/** Remembers that a prompt was running when an upstream crashed; the second crash quarantines it. */
export function applyCrashReport(state: ReplicatedState, command: CrashCommand): Applied {
	const before = state.suspicions.get(command.fingerprint);
	const isKnown = before?.crashes.some(crash => crash.upstreamId === command.upstreamId && crash.requestId === command.requestId) ?? false;

	if (isKnown || (before === undefined && state.suspicions.size >= maxSuspicions)) {
		return {state, answer: {kind: AnswerKind.Done, value: before?.crashes.length ?? 0}};
	}

	const suspicion: Suspicion = {
		organisation: command.organisation,
		crashes: [...before?.crashes ?? [], {requestId: command.requestId, upstreamId: command.upstreamId}],
		keepDeadlineMs: command.keepDeadlineMs,
		retryUpstreamId: undefined,
		retryDeadlineMs: 0,
	};
	const suspected = {...state, suspicions: new Map(state.suspicions).set(command.fingerprint, suspicion)};
	const count = suspicion.crashes.length;
	const quarantined = count === crashesToQuarantine
		? publish(suspected, {upserts: [[getQuarantineKey(command.fingerprint), command.organisation]], removals: []})
		: suspected;

	return {state: quarantined, answer: {kind: AnswerKind.Done, value: count}};
}

/**
Gives the retry of a suspect an upstream of its own: two suspects on one would not tell which of them crashed it, and an
innocent one would be quarantined along with the other.
*/
export function applyRetryAssignment(state: ReplicatedState, command: AssignCommand): Applied {
	const suspicion = state.suspicions.get(command.fingerprint);

	if (suspicion === undefined) {
		return {state, answer: {kind: AnswerKind.Assigned, upstreamId: command.candidateIds[0]}};
	}

	const taken = listTakenUpstreams(state, command.fingerprint);
	const upstreamId = command.candidateIds.find(id => !taken.has(id));
	const assigned = {...suspicion, retryUpstreamId: upstreamId, retryDeadlineMs: command.retryDeadlineMs};

	return {
		state: {...state, suspicions: new Map(state.suspicions).set(command.fingerprint, assigned)},
		answer: {kind: AnswerKind.Assigned, upstreamId},
	};
}

function listTakenUpstreams(state: ReplicatedState, exceptFingerprint: string): ReadonlySet<string> {
	const taken = new Set<string>();

	for (const [fingerprint, {retryUpstreamId, retryDeadlineMs}] of state.suspicions) {
		if (fingerprint !== exceptFingerprint && retryUpstreamId !== undefined && retryDeadlineMs > state.timeMs) {
			taken.add(retryUpstreamId);
		}
	}

	return taken;
}

/** Clears a prompt that has finished elsewhere; one that is quarantined stays so until its time is up. */
export function applyClearSuspicion(state: ReplicatedState, command: ClearCommand): Applied {
	const suspicion = state.suspicions.get(command.fingerprint);

	if (suspicion === undefined || suspicion.crashes.length >= crashesToQuarantine) {
		return {state, answer: {kind: AnswerKind.Done, value: suspicion?.crashes.length ?? 0}};
	}

	const suspicions = new Map(state.suspicions);
	suspicions.delete(command.fingerprint);

	return {state: {...state, suspicions}, answer: {kind: AnswerKind.Done, value: 0}};
}

/** Drops suspicions whose time is up, and lifts their quarantine. */
export function expireSuspicions(state: ReplicatedState): ReplicatedState {
	const expired = [...state.suspicions].filter(([, suspicion]) => suspicion.keepDeadlineMs <= state.timeMs).map(([fingerprint]) => fingerprint);

	if (expired.length === 0) {
		return state;
	}

	const suspicions = new Map([...state.suspicions].filter(([fingerprint]) => !expired.includes(fingerprint)));
	const removals = expired.map(fingerprint => getQuarantineKey(fingerprint)).filter(key => state.publicState.items.has(key));
	const kept = {...state, suspicions};

	return removals.length === 0 ? kept : publish(kept, {upserts: [], removals});
}
