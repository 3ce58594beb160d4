import {
	isCount, isListOf, isOptional, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {type PartsPoll} from './types.js';

/** Limit for epochs and part keys. */
const maxNameLength = 2000;
/** Limit for the parts of one message: more than the stores of a deployment hold. */
const maxParts = 100_000;

const isName = isTextUpTo(maxNameLength);

export const isPartsPoll = isRecordOf({epoch: isOptional(isName), revision: isCount, used: isListOf(isName, maxParts)}) as Guard<unknown> as Guard<PartsPoll>;
