import {createHash} from 'node:crypto';

/** Scope of a cached piece: equal text in different scopes gives different pieces. */
export type PieceScope = {
	readonly organisation: string;
	readonly model: string;
	readonly adapter: string;
	readonly weightVersion: string;
};

/** Prompt tokens in one cached piece. */
export const pieceTokens = 1000;
/** Assumed characters per token where no tokenizer is known. */
const charactersPerToken = 4;
const hashDigits = 32;

/**
Estimates the number of tokens of a text from its length.

@example
```
estimateTokenCount('four'); //=> 1
```
*/
export function estimateTokenCount(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/**
Computes the hashes of a prompt's complete pieces. Each hash covers the scope and the whole prefix, so that equal
hashes mean equal cache content. Uses SHA-256 because a collision would give access to the cache of another scope.

@example
```
hashPieces({organisation: 'a', model: 'm', adapter: '', weightVersion: '1'}, prompt);
```
*/
export function hashPieces(scope: PieceScope, prompt: string): readonly string[] {
	const pieceCharacters = pieceTokens * charactersPerToken;
	const count = Math.floor(prompt.length / pieceCharacters);
	const pieces: string[] = [];
	let previous = JSON.stringify([scope.organisation, scope.model, scope.adapter, scope.weightVersion]);

	for (let index = 0; index < count; index++) {
		const text = prompt.slice(index * pieceCharacters, (index + 1) * pieceCharacters);
		previous = createHash('sha256').update(previous).update('\0').update(text).digest('hex').slice(0, hashDigits);
		pieces.push(previous);
	}

	return pieces;
}
