import {
	createTrialReport, decideTrial, dropOldCrashes, explainCrashes, mergeCrashReport, type CrashReport,
} from '@fescuestair/crashes';
import {publishChange} from './publish-change.js';
import {
	CommandResponseKind, type CommandResponse, type CommandKind, type Command, type ReplicatedState,
} from './types.js';
import {crashSuspectsKey, heldBackKey, type PublicState} from './public-state.js';

type ReserveTrialCommand = Extract<Command, {kind: CommandKind.ReserveTrial}>;

/** Merges evidence about crashes, and publishes what entries are to hold back because of it. */
export function applyCrashEvidence(state: ReplicatedState, report: CrashReport): ReplicatedState {
	const crashEvidence = mergeCrashReport(state.crashEvidence, report, state.timeMs);

	return crashEvidence === state.crashEvidence ? state : adjustHeldBack({...state, crashEvidence});
}

/** Publishes what entries are to hold back at the time of the state. */
export function adjustHeldBack(state: ReplicatedState): ReplicatedState {
	const crashEvidence = dropOldCrashes(state.crashEvidence, state.timeMs);
	const {quarantined, suspected, settlesAtMs} = explainCrashes(crashEvidence, state.timeMs);
	const upserts = [[heldBackKey, [...quarantined.keys()]], [crashSuspectsKey, suspected]] as const;
	const changes = upserts.filter(([key, traits]) => !hasSameTraits(state.publicState, key, traits));
	const next = {...state, crashEvidence, heldBackSettlesAtMs: settlesAtMs};

	return changes.length === 0 ? next : publishChange(next, {upserts: changes, removals: []});
}

function hasSameTraits({items}: PublicState, key: string, traits: readonly string[]): boolean {
	return ((items.get(key) ?? []) as readonly string[]).join('\n') === traits.join('\n');
}

/** Decides whether one request that is held back may be sent, to find out whether it still crashes upstreams. */
export function applyTrialReservation(state: ReplicatedState, {traits}: ReserveTrialCommand): {readonly state: ReplicatedState; readonly answer: CommandResponse} {
	const query = {traits, evidence: state.crashEvidence, explanation: explainCrashes(state.crashEvidence, state.timeMs)};
	const {isGranted, retryAtMs} = decideTrial(query, state.timeMs);
	const answer = {kind: CommandResponseKind.Trial, isGranted, retryMs: Math.max(0, retryAtMs - state.timeMs)} as const;

	return {state: isGranted ? applyCrashEvidence(state, {trials: createTrialReport(query, state.timeMs)}) : state, answer};
}
