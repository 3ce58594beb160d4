import {createHash} from 'node:crypto';

/** What a cached piece belongs to besides its text: pieces of different scopes never meet. */
export type PieceScope = {
	readonly organisation: string;
	readonly model: string;
	readonly adapter: string;
	readonly weightVersion: string;
};

/** Tokens of one piece of cached prompt. */
export const pieceTokens = 1000;
/** Characters that count as one token where no tokeniser is known. */
const charactersPerToken = 4;
const hashDigits = 32;

/**
Counts the tokens of a text.

@example
```
countTokens('four'); //=> 1
```
*/
export function countTokens(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/**
Computes the identities of a prompt's whole pieces. Each covers the scope and all text before it, so that equal
identities mean equal cache content. SHA-256, since a collision would read another's cache.

@example
```
computePieces({organisation: 'a', model: 'm', adapter: '', weightVersion: '1'}, prompt);
```
*/
export function computePieces(scope: PieceScope, prompt: string): readonly string[] {
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
