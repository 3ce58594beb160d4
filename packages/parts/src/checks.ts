import {
	isCount, isFiniteNumber, isFlag, isListOf, isOptional, isRecordOf, isTextUpTo, type Guard,
} from '@fescuestair/core';
import {type PartsPoll, type PartsReply} from './types.js';

/** Keys, salts, ids and addresses. */
const maxNameLength = 2000;
/** Parts in one message: more than the stores of a deployment hold. */
const maxParts = 100_000;

const isName = isTextUpTo(maxNameLength);

export const isPartsPoll = isRecordOf({epoch: isOptional(isName), revision: isCount, used: isListOf(isName, maxParts)}) as Guard<unknown> as Guard<PartsPoll>;

export const isPartsReply = isRecordOf({
	epoch: isName,
	revision: isCount,
	clockMs: isFiniteNumber,
	isWhole: isFlag,
	added: isListOf(isRecordOf({
		salt: isName, id: isName, tokens: isCount, storeAddress: isName,
	}), maxParts),
	removed: isListOf(isName, maxParts),
}) as Guard<unknown> as Guard<PartsReply>;
