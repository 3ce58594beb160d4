import {
	isCount, isFiniteNumber, isFlag, isListOf, isRecordOf, isTextUpTo, isTupleOf, type Guard,
} from '@fescuestair/core';
import {deriveKey, type PartsReply} from './types.js';

/**
A reply of the keeper as it travels: salts and stores stand once, and parts name them by position. Hundreds of parts a second are told to
every gateway; this takes a third of the bytes.
*/
export type EncodedPartsReply = Pick<PartsReply, 'epoch' | 'revision' | 'clockMs' | 'isWhole'> & {
	readonly salts: readonly string[];
	readonly stores: readonly string[];
	readonly added: ReadonlyArray<readonly [salt: number, id: string, tokens: number, store: number]>;
	readonly removed: ReadonlyArray<readonly [salt: number, id: string]>;
};

/** Salts, ids and addresses. */
const maxNameLength = 1000;
/** Parts in one message: more than the stores of a deployment hold. */
const maxParts = 200_000;

const isName = isTextUpTo(maxNameLength);
const isNames = isListOf(isName, maxParts);
const isEncodedShape = isRecordOf({
	epoch: isName,
	revision: isCount,
	clockMs: isFiniteNumber,
	isWhole: isFlag,
	salts: isNames,
	stores: isNames,
	added: isListOf(isTupleOf(isCount, isName, isCount, isCount), maxParts),
	removed: isListOf(isTupleOf(isCount, isName), maxParts),
}) as Guard<unknown> as Guard<EncodedPartsReply>;

/** Replies as another daemon may send them. */
export const isEncodedPartsReply: Guard<EncodedPartsReply> = (value): value is EncodedPartsReply => isEncodedShape(value)
	&& value.added.every(part => part[0] < value.salts.length && part[3] < value.stores.length)
	&& value.removed.every(([salt]) => salt < value.salts.length);

/**
Encodes a reply for its way.

@example
```
decodePartsReply(encodePartsReply(reply)); //=> the same
```
*/
export function encodePartsReply({epoch, revision, clockMs, isWhole, added, removed}: PartsReply): EncodedPartsReply {
	const salts = createNumbering();
	const stores = createNumbering();

	return {
		epoch,
		revision,
		clockMs,
		isWhole,
		added: added.map(({salt, id, tokens, storeAddress}) => [salts.number(salt), id, tokens, stores.number(storeAddress)]),
		removed: removed.map(key => {
			const split = key.lastIndexOf(' ');

			return [salts.number(key.slice(0, split)), key.slice(split + 1)];
		}),
		salts: salts.names,
		stores: stores.names,
	};
}

/** Decodes a reply that its guard let through. */
export function decodePartsReply({epoch, revision, clockMs, isWhole, salts, stores, added, removed}: EncodedPartsReply): PartsReply {
	return {
		epoch,
		revision,
		clockMs,
		isWhole,
		added: added.map(([salt, id, tokens, store]) => ({
			salt: salts[salt]!, id, tokens, storeAddress: stores[store]!,
		})),
		removed: removed.map(([salt, id]) => deriveKey({salt: salts[salt]!, id})),
	};
}

function createNumbering() {
	const numbers = new Map<string, number>();
	const names: string[] = [];

	return {
		names,
		number(name: string): number {
			const known = numbers.get(name);

			if (known !== undefined) {
				return known;
			}

			numbers.set(name, names.length);
			names.push(name);

			return names.length - 1;
		},
	};
}
