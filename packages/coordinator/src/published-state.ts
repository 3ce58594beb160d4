import {
	isAnyOf, isNonNegativeInteger, isOneOf, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';
import {type PublishedSnapshot} from '@fescuestair/instances';

export enum PublishKind {
	PutConfig = 'put_config',
	SetTargetVersion = 'name_weights',
}

/** A change to the published state, which all daemons follow. */
export type PublishCommand
	= | {readonly kind: PublishKind.PutConfig; readonly version: number; readonly text: string}
		| {readonly kind: PublishKind.SetTargetVersion; readonly model: string; readonly version: number};

/** More than the largest request body that is accepted from operators. */
const maxConfigLength = 16_000_000;
const maxNameLength = 500;

/** Checks a change that another coordinator proposes. */
export const isPublishCommand = isAnyOf(
	isObjectWith({kind: isOneOf([PublishKind.PutConfig]), version: isNonNegativeInteger, text: isStringUpTo(maxConfigLength)}),
	isObjectWith({kind: isOneOf([PublishKind.SetTargetVersion]), model: isStringUpTo(maxNameLength), version: isNonNegativeInteger}),
) as TypeGuard<unknown> as TypeGuard<PublishCommand>;

/** The replicated state of the coordinators. Immutable. */
export type PublishedState = {
	readonly revision: number;
	readonly configVersion: number;
	/** The configuration in force, exactly as the operator sent it. */
	readonly configText: string | undefined;
	/** The target version of the weights of each model. */
	readonly weights: ReadonlyMap<string, number>;
};

export type PublishAnswer = {
	/** Whether the command changed the state; it does not if the same or a higher version is in force. */
	readonly isNew: boolean;
	readonly state: PublishedState;
};

/** Creates the initial state of a new group. */
export function createPublishedState(): PublishedState {
	return {
		revision: 0, configVersion: 0, configText: undefined, weights: new Map(),
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
				return {isNew: false, state};
			}

			return {
				isNew: true,
				state: {...state, revision: state.revision + 1, weights: new Map(state.weights).set(command.model, command.version)},
			};
		}
	}
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
		weights: [...state.weights].map(([model, version]) => [model, version, Math.round(getWeightsAgeMs(model, version))]),
	};
}

type DescribePublishedOptions = {
	readonly knownConfigVersion: number;
	readonly getWeightsAgeMs: (model: string, version: number) => number;
};

type EncodedState = Omit<PublishedState, 'weights'> & {readonly weights: ReadonlyArray<readonly [string, number]>};

/** Encodes the state for a snapshot. */
export function encodePublishedState(state: PublishedState): EncodedState {
	return {...state, weights: [...state.weights]};
}

/** Decodes the state from a snapshot. */
export function decodePublishedState(data: unknown): PublishedState {
	const encoded = data as EncodedState;

	return {...encoded, configText: encoded.configText ?? undefined, weights: new Map(encoded.weights)};
}
