import {computeHashHex} from '@fescuestair/core';

/**
What a request may have in common with others: the model that a prompt is for, the parts of the prompt from the first on, and last the request itself,
which its repeats share. Each is an opaque name; a later one is more specific.
*/
export type Traits = readonly string[];

/** Names longer than this are replaced by their hash. */
const maxPartNameLength = 64;
/** A prompt of more parts is described by the first and the last of them. */
const maxParts = 32;
const modelPrefix = 'model';
const partPrefix = 'part';
const requestPrefix = 'request';

/**
Names a part of a prompt. Models are told apart, since their engines may differ.

@example
```
formatPartTrait('m-1', '5c1e07a2'); //=> 'part m-1 5c1e07a2'
```
*/
export function formatPartTrait(model: string, partId: string): string {
	const name = `${model} ${partId}`;

	return `${partPrefix} ${name.length > maxPartNameLength ? computeHashHex(name) : name}`;
}

/** Names a request by its fingerprint, which repeats of the request share. */
export function formatRequestTrait(fingerprint: string): string {
	return `${requestPrefix} ${fingerprint}`;
}

/** Whether a trait is a whole request, not a part of prompts. */
export function isRequestTrait(trait: string): boolean {
	return trait.startsWith(`${requestPrefix} `);
}

/** Whether a trait is the model that a prompt is for. Its answers show that instances answer; it is never held back. */
export function isModelTrait(trait: string): boolean {
	return trait.startsWith(`${modelPrefix} `);
}

/** Lists the traits of a prompt but for the request itself: its model, and the parts that other requests may share, which the last part is not. */
export function listPromptTraits(model: string, partIds: readonly string[]): Traits {
	const sharedIds = partIds.slice(0, -1);
	const half = maxParts / 2;
	const describedIds = sharedIds.length > maxParts ? [...sharedIds.slice(0, half), ...sharedIds.slice(-half)] : sharedIds;

	const modelTrait = `${modelPrefix} ${model.length > maxPartNameLength ? computeHashHex(model) : model}`;

	return [modelTrait, ...new Set(describedIds.map(id => formatPartTrait(model, id)))];
}

/** Returns a key under which the traits of one request are stored. */
export function getTraitsKey(traits: Traits): string {
	return traits.join('\n');
}
