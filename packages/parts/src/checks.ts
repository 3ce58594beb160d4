import {
	isNonNegativeInteger, isArrayOf, isOptional, isObjectWith, isStringUpTo, type TypeGuard,
} from '@fescuestair/core';
import {type PartsPoll} from './types.js';

/** Limit for epochs and part keys. */
const maxNameLength = 2000;
/** Limit for the parts of one message: more than the stores of a deployment hold. */
const maxParts = 100_000;

const isName = isStringUpTo(maxNameLength);

export const isPartsPoll = isObjectWith({epoch: isOptional(isName), revision: isNonNegativeInteger, used: isArrayOf(isName, maxParts)}) as TypeGuard<unknown> as TypeGuard<PartsPoll>;
