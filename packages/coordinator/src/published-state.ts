import {
	isAnyOf, isNonNegativeInteger, isOneOf, isOptional, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';
import {
	applyEvacuationStep, decodeEvacuatedZones, EvacuationStep, isEvacuationZone, type EvacuatedZones,
} from '@fescuestair/evacuations';
import {type PublishedSnapshot} from '@fescuestair/instances';

export enum PublishKind {
	PutConfig = 'put_config',
	SetTargetVersion = 'name_weights',
	/** Begins or finishes the evacuation of an availability zone. */
	ChangeEvacuation = 'change_evacuation',
}

/** A change to the published state, which all daemons follow. */
export type PublishCommand
	= | {readonly kind: PublishKind.PutConfig; readonly version: number; readonly text: string}
		| SetTargetVersionCommand
		| {readonly kind: PublishKind.ChangeEvacuation; readonly step: EvacuationStep; readonly zone: string};

export type SetTargetVersionCommand = {
	readonly kind: PublishKind.SetTargetVersion;
	readonly model: string;
	readonly version: number;
	/**
	How long the version had been the target when the command was proposed: 0 in the command that sets it, more in those in which the leader records
	its age. Absent in commands of older software.
	*/
	readonly ageMs?: number | undefined;
};

/** A target version of a model's weights, as all replicas hold it. */
export type RecordedTarget = {
	readonly version: number;
	/** The latest age that a leader recorded; `undefined` where older software set the version. */
	readonly ageMs: number | undefined;
};

/** More than the largest request body that is accepted from operators. */
const maxConfigLength = 16_000_000;
const maxNameLength = 500;
/** Earlier targets that are kept for each model: an instance that is several versions behind is judged by the first newer one. */
const maxKeptTargets = 8;

/** Checks a change that another coordinator proposes. */
export const isPublishCommand = isAnyOf(
	isObjectWith({kind: isOneOf([PublishKind.PutConfig]), version: isNonNegativeInteger, text: isStringUpTo(maxConfigLength)}),
	isObjectWith({
		kind: isOneOf([PublishKind.SetTargetVersion]), model: isStringUpTo(maxNameLength), version: isNonNegativeInteger, ageMs: isOptional(isNonNegativeInteger),
	}),
	isObjectWith({kind: isOneOf([PublishKind.ChangeEvacuation]), step: isOneOf(Object.values(EvacuationStep)), zone: isEvacuationZone}),
) as TypeGuard<unknown> as TypeGuard<PublishCommand>;

/** The replicated state of the coordinators. Immutable. */
export type PublishedState = {
	readonly revision: number;
	readonly configVersion: number;
	/** The configuration in force, exactly as the operator sent it. */
	readonly configText: string | undefined;
	/** The target version of the weights of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** The latest target versions of each model, oldest first. */
	readonly targets: ReadonlyMap<string, readonly RecordedTarget[]>;
	readonly evacuatedZones: EvacuatedZones;
};

export type PublishAnswer = {
	/** Whether the command changed the state; it does not if the same or a higher version is in force. */
	readonly isNew: boolean;
	readonly state: PublishedState;
};

/** Creates the initial state of a new group. */
export function createPublishedState(): PublishedState {
	return {
		revision: 0, configVersion: 0, configText: undefined, weights: new Map(), targets: new Map(), evacuatedZones: [],
	};
}

/**
Applies a committed command. The highest version of the configuration, and of each model's weights, is in force; a later command with the
same or a lower version changes nothing, so commands can be resent safely.

@example
```
applyPublish(state, {kind: PublishKind.SetTargetVersion, model: 'guide', version: 2}).isNew; //=> true
```
*/
export function applyPublish(state: PublishedState, command: PublishCommand): PublishAnswer {
	switch (command.kind) {
		case PublishKind.PutConfig: {
			if (state.configText !== undefined && command.version <= state.configVersion) {
				return {isNew: false, state};
			}

			return {
				isNew: true,
				state: {
					...state, revision: state.revision + 1, configVersion: command.version, configText: command.text,
				},
			};
		}

		case PublishKind.SetTargetVersion: {
			if (command.version <= (state.weights.get(command.model) ?? 0)) {
				return {isNew: false, state: recordTargetAge(state, command)};
			}

			const targets = [...state.targets.get(command.model) ?? [], {version: command.version, ageMs: command.ageMs}].slice(-maxKeptTargets);

			return {
				isNew: true,
				state: {
					...state,
					revision: state.revision + 1,
					weights: new Map(state.weights).set(command.model, command.version),
					targets: new Map(state.targets).set(command.model, targets),
				},
			};
		}

		case PublishKind.ChangeEvacuation: {
			const evacuatedZones = applyEvacuationStep(state.evacuatedZones, command);

			return evacuatedZones === state.evacuatedZones ? {isNew: false, state} : {isNew: true, state: {...state, revision: state.revision + 1, evacuatedZones}};
		}
	}
}

// An age changes nothing that daemons have to be sent, so the revision stays. A resent naming says nothing about the age.
function recordTargetAge(state: PublishedState, {model, version, ageMs = 0}: SetTargetVersionCommand): PublishedState {
	const targets = state.targets.get(model) ?? [];
	const known = targets.find(target => target.version === version);

	return known === undefined || ageMs <= (known.ageMs ?? 0)
		? state
		: {...state, targets: new Map(state.targets).set(model, targets.map(target => target === known ? {version, ageMs} : target))};
}

/**
Describes the state for a daemon; the text of the configuration is left out if the daemon already has that version.

@example
```
describePublished(state, {knownConfigVersion: 7, getWeightsAgeMs: () => 0}).configText; //=> undefined if version 7 is in force
```
*/
export function describePublished(state: PublishedState, {knownConfigVersion, getWeightsAgeMs}: DescribePublishedOptions): PublishedSnapshot {
	return {
		revision: state.revision,
		configVersion: state.configVersion,
		configText: state.configVersion === knownConfigVersion ? undefined : state.configText,
		weights: listTargetAges(state, getWeightsAgeMs),
		evacuatedZones: state.evacuatedZones,
	};
}

/** Lists the target versions with their ages, of each model oldest first. */
export function listTargetAges({targets}: Pick<PublishedState, 'targets'>, getAgeMs: (model: string, version: number) => number): PublishedSnapshot['weights'] {
	return [...targets].flatMap(([model, list]) => list.map(({version}) => [model, version, Math.round(getAgeMs(model, version))] as const));
}

type DescribePublishedOptions = {
	readonly knownConfigVersion: number;
	readonly getWeightsAgeMs: (model: string, version: number) => number;
};

type EncodedState = Omit<PublishedState, 'weights' | 'targets' | 'evacuatedZones'> & {
	readonly weights: ReadonlyArray<readonly [string, number]>;
	/** Absent in snapshots of older software. */
	readonly targets?: ReadonlyArray<readonly [model: string, targets: readonly RecordedTarget[]]>;
	/** Absent in snapshots of older software. */
	readonly evacuatedZones?: EvacuatedZones;
};

/** Encodes the state for a snapshot. */
export function encodePublishedState(state: PublishedState): EncodedState {
	return {...state, weights: [...state.weights], targets: [...state.targets]};
}

/** Decodes the state from a snapshot. */
export function decodePublishedState(data: unknown): PublishedState {
	const encoded = data as EncodedState;
	const weights = new Map(encoded.weights);

	return {
		...encoded, configText: encoded.configText ?? undefined, weights, targets: encoded.targets === undefined ? createTargetsOfUnknownAge(weights) : decodeTargets(encoded.targets),
		evacuatedZones: decodeEvacuatedZones(encoded.evacuatedZones),
	};
}

function createTargetsOfUnknownAge(weights: ReadonlyMap<string, number>): PublishedState['targets'] {
	return new Map([...weights].map(([model, version]) => [model, [{version, ageMs: undefined}]]));
}

// JSON leaves out a field that is undefined.
function decodeTargets(encoded: NonNullable<EncodedState['targets']>): PublishedState['targets'] {
	return new Map(encoded.map(([model, targets]) => [model, targets.map(({version, ageMs}) => ({version, ageMs}))]));
}
