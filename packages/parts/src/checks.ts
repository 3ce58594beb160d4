import {
	isCount, isListOf, isOptional, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {type PartsPoll} from './types.js';

/** Keys, salts, ids and addresses. */
const maxNameLength = 2000;
/** Parts in one message: more than the stores of a deployment hold. */
const maxParts = 100_000;

const isName = isTextUpTo(maxNameLength);

export const isPartsPoll = isRecordOf({epoch: isOptional(isName), revision: isCount, used: isListOf(isName, maxParts)}) as Guard<unknown> as Guard<PartsPoll>;
