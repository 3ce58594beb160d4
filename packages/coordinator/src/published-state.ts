import {
	isAnyOf, isCount, isOneOf, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {type Published} from '@fescuestair/instances';

export enum PublishKind {
	PutConfig = 'put_config',
	NameWeights = 'name_weights',
}

/** A change of what all daemons go by. */
export type PublishCommand
	= | {readonly kind: PublishKind.PutConfig; readonly version: number; readonly text: string}
		| {readonly kind: PublishKind.NameWeights; readonly model: string; readonly version: number};

/** As large as a body of the operators may be, with room. */
const maxConfigLength = 16_000_000;
const maxNameLength = 500;

/** Changes as another coordinator may propose them. */
export const isPublishCommand = isAnyOf(
	isRecordOf({kind: isOneOf([PublishKind.PutConfig]), version: isCount, text: isTextUpTo(maxConfigLength)}),
	isRecordOf({kind: isOneOf([PublishKind.NameWeights]), model: isTextUpTo(maxNameLength), version: isCount}),
) as Guard<unknown> as Guard<PublishCommand>;

/** What the coordinators agree on. Immutable. */
export type PublishedState = {
	readonly revision: number;
	readonly configVersion: number;
	/** The configuration in force as its operator sent it. */
	readonly configText: string | undefined;
	readonly weights: ReadonlyMap<string, number>;
};

export type PublishAnswer = {
	/** Whether the command changed anything; it does not where something as new is in force. */
	readonly isNew: boolean;
	readonly state: PublishedState;
};

/** Creates the state of a new group. */
export function createPublishedState(): PublishedState {
	return {
		revision: 0, configVersion: 0, configText: undefined, weights: new Map(),
	};
}

/**
Applies a committed command. The highest version of the configuration, and of each model's weights, is in force; whatever comes later
with the same or a lower one changes nothing, so a resend is harmless.

@example
```
applyPublish(state, {kind: PublishKind.NameWeights, model: 'guide', version: 2}).isNew; //=> true
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

		case PublishKind.NameWeights: {
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
Describes the state for a daemon that has some version of the configuration already.

@example
```
describePublished(state, {knownConfigVersion: 7, getWeightsAgeMs: () => 0}).configText; //=> undefined where 7 is in force
```
*/
export function describePublished(state: PublishedState, {knownConfigVersion, getWeightsAgeMs}: DescribeOptions): Published {
	return {
		revision: state.revision,
		configVersion: state.configVersion,
		configText: state.configVersion === knownConfigVersion ? undefined : state.configText,
		weights: [...state.weights].map(([model, version]) => [model, version, Math.round(getWeightsAgeMs(model, version))]),
	};
}

type DescribeOptions = {
	readonly knownConfigVersion: number;
	readonly getWeightsAgeMs: (model: string, version: number) => number;
};

type EncodedState = Omit<PublishedState, 'weights'> & {readonly weights: ReadonlyArray<readonly [string, number]>};

/** Encodes the state for a snapshot. */
export function encodePublishedState(state: PublishedState): EncodedState {
	return {...state, weights: [...state.weights]};
}

/** Decodes the state of a snapshot. */
export function decodePublishedState(data: unknown): PublishedState {
	const encoded = data as EncodedState;

	return {...encoded, configText: encoded.configText ?? undefined, weights: new Map(encoded.weights)};
}
