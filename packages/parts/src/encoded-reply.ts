import {
	isNonNegativeInteger, isFiniteNumber, isBoolean, isArrayOf, isObjectWith, isStringUpTo, isTupleOf, type TypeGuard,
} from '@fescuestair/core';
import {deriveKey, type PartsReply} from './types.js';

/**
A reply in the form sent over links: salts and store addresses are listed once, and parts refer to them by position. That takes a third of
the bytes, and hundreds of parts a second are sent to every gateway.
*/
export type EncodedPartsReply = Pick<PartsReply, 'epoch' | 'revision' | 'clockMs' | 'isWhole'> & {
	readonly salts: readonly string[];
	readonly stores: readonly string[];
	readonly added: ReadonlyArray<readonly [salt: number, id: string, tokens: number, store: number]>;
	readonly removed: ReadonlyArray<readonly [salt: number, id: string]>;
};

/** Limit for epochs, salts, ids and addresses. */
const maxNameLength = 1000;
/** Limit for the parts of one message: more than the stores of a deployment hold. */
const maxParts = 200_000;

const isName = isStringUpTo(maxNameLength);
const isNames = isArrayOf(isName, maxParts);
const isEncodedShape = isObjectWith({
	epoch: isName,
	revision: isNonNegativeInteger,
	clockMs: isFiniteNumber,
	isWhole: isBoolean,
	salts: isNames,
	stores: isNames,
	added: isArrayOf(isTupleOf(isNonNegativeInteger, isName, isNonNegativeInteger, isNonNegativeInteger), maxParts),
	removed: isArrayOf(isTupleOf(isNonNegativeInteger, isName), maxParts),
}) as TypeGuard<unknown> as TypeGuard<EncodedPartsReply>;

/** Checks the types of a reply's fields, and that its parts refer only to salts and stores that it lists. */
export const isEncodedPartsReply: TypeGuard<EncodedPartsReply> = (value): value is EncodedPartsReply => isEncodedShape(value)
	&& value.added.every(part => part[0] < value.salts.length && part[3] < value.stores.length)
	&& value.removed.every(([salt]) => salt < value.salts.length);

/**
Encodes a reply for sending over a link.

@example
```
decodePartsReply(encodePartsReply(reply)); //=> equal to `reply`
```
*/
export function encodePartsReply({epoch, revision, clockMs, isWhole, added, removed}: PartsReply): EncodedPartsReply {
	const salts = createStringTable();
	const stores = createStringTable();

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

/** Decodes a reply that `isEncodedPartsReply` accepted. */
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

// Numbers each distinct string in the order of its first use.
function createStringTable() {
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
