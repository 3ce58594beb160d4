import {
	findItem, getInForceName, inForceKey, type PublicChange,
} from './public-state.js';
import {ItemKind} from './config-items.js';
import {publish} from './publish.js';
import {
	AnswerKind, type Answer, type Command, type CommandKind, type HistoryEntry, type ReplicatedState,
} from './types.js';

type Applied = {readonly state: ReplicatedState; readonly answer: Answer};
type ChangeCommand = Extract<Command, {kind: CommandKind.ChangeConfig}>;

const maxHistory = 2000;
const maxChangeAnswers = 4096;

/** Changes the configuration, or the preset in force, for the one operator who has seen the newest version. */
export function applyConfigChange(state: ReplicatedState, command: ChangeCommand): Applied {
	const first = state.changeAnswers.get(command.changeId);

	if (first !== undefined) {
		return {state, answer: first};
	}

	if (command.expectedVersion !== state.configVersion) {
		// Not remembered: the operator may look at the other change and send this one again.
		return {state, answer: {kind: AnswerKind.VersionConflict, version: state.configVersion, last: state.history.at(-1)}};
	}

	const reason = findObjection(state, command);

	if (reason !== undefined) {
		return {state, answer: {kind: AnswerKind.Invalid, reason}};
	}

	const version = state.configVersion + 1;
	const answer: Answer = {kind: AnswerKind.Accepted, version};
	const entry: HistoryEntry = {
		version, changeId: command.changeId, actor: command.actor, wallMs: command.wallMs, summary: command.summary,
	};

	return {
		state: {
			...publish(state, describeChange(command)),
			configVersion: version,
			history: [...state.history, entry].slice(-maxHistory),
			changeAnswers: rememberAnswer(state.changeAnswers, command.changeId, answer),
		},
		answer,
	};
}

function describeChange(command: ChangeCommand): Omit<PublicChange, 'version'> {
	const choice = command.presetInForce === undefined ? [] : [[inForceKey, command.presetInForce] as const];

	return {upserts: [...command.upserts, ...choice], removals: command.removals};
}

function findObjection(state: ReplicatedState, command: ChangeCommand): string | undefined {
	const chosen = command.presetInForce ?? getInForceName(state.publicState);

	if (chosen === undefined) {
		return undefined;
	}

	const key = `${ItemKind.Preset}/${chosen}`;

	if (command.removals.includes(key)) {
		return `preset ${chosen} is in force and cannot be removed`;
	}

	const exists = findItem(state.publicState, ItemKind.Preset, chosen) !== undefined
		|| command.upserts.some(([upserted]) => upserted === key);

	return exists ? undefined : `there is no preset ${chosen}`;
}

function rememberAnswer(answers: ReadonlyMap<string, Answer>, changeId: string, answer: Answer): ReadonlyMap<string, Answer> {
	const next = new Map(answers).set(changeId, answer);
	const oldest = next.keys().next().value;

	if (next.size > maxChangeAnswers && oldest !== undefined) {
		next.delete(oldest);
	}

	return next;
}
