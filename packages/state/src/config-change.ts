import {
	findItem, getPresetInForceName, presetInForceKey, type PublicChange,
} from './public-state.js';
import {ItemKind} from './config-items.js';
import {publishChange} from './publish-change.js';
import {
	CommandResponseKind, type CommandResponse, type Command, type CommandKind, type HistoryEntry, type ReplicatedState,
} from './types.js';

type ApplyResult = {readonly state: ReplicatedState; readonly answer: CommandResponse};
type ChangeConfigCommand = Extract<Command, {kind: CommandKind.ChangeConfig}>;

const maxHistoryEntries = 2000;
const maxSavedResponses = 4096;

/**
Changes the configuration or the preset in force. Optimistic concurrency control: `expectedVersion` must be the current version, so of
concurrent changes only one is accepted. An accepted change that is sent again under the same change id gets its first response again.
*/
export function applyConfigChange(state: ReplicatedState, command: ChangeConfigCommand): ApplyResult {
	const firstResponse = state.changeAnswers.get(command.changeId);

	if (firstResponse !== undefined) {
		return {state, answer: firstResponse};
	}

	if (command.expectedVersion !== state.configVersion) {
		// The conflict is not saved: the operator may review the other change and then send this one again under the same id.
		return {state, answer: {kind: CommandResponseKind.VersionConflict, version: state.configVersion, last: state.history.at(-1)}};
	}

	const reason = findInvalidReason(state, command);

	if (reason !== undefined) {
		return {state, answer: {kind: CommandResponseKind.Invalid, reason}};
	}

	const version = state.configVersion + 1;
	const answer: CommandResponse = {kind: CommandResponseKind.Accepted, version};
	const historyEntry: HistoryEntry = {
		version, changeId: command.changeId, actor: command.actor, wallMs: command.wallMs, summary: command.summary,
	};

	return {
		state: {
			...publishChange(state, createPublicChange(command)),
			configVersion: version,
			history: [...state.history, historyEntry].slice(-maxHistoryEntries),
			changeAnswers: saveChangeResponse(state.changeAnswers, command.changeId, answer),
		},
		answer,
	};
}

function createPublicChange(command: ChangeConfigCommand): Omit<PublicChange, 'version'> {
	const presetUpserts = command.presetInForce === undefined ? [] : [[presetInForceKey, command.presetInForce] as const];

	return {upserts: [...command.upserts, ...presetUpserts], removals: command.removals};
}

function findInvalidReason(state: ReplicatedState, command: ChangeConfigCommand): string | undefined {
	const presetName = command.presetInForce ?? getPresetInForceName(state.publicState);

	if (presetName === undefined) {
		return undefined;
	}

	const key = `${ItemKind.Preset}/${presetName}`;

	if (command.removals.includes(key)) {
		return `preset ${presetName} is in force and cannot be removed`;
	}

	const hasPreset = findItem(state.publicState, ItemKind.Preset, presetName) !== undefined
		|| command.upserts.some(([upserted]) => upserted === key);

	return hasPreset ? undefined : `there is no preset ${presetName}`;
}

function saveChangeResponse(responses: ReadonlyMap<string, CommandResponse>, changeId: string, answer: CommandResponse): ReadonlyMap<string, CommandResponse> {
	const next = new Map(responses).set(changeId, answer);
	const oldestChangeId = next.keys().next().value;

	if (next.size > maxSavedResponses && oldestChangeId !== undefined) {
		next.delete(oldestChangeId);
	}

	return next;
}
