import {computeHash} from '@fescuestair/core';

const words = ['the', 'axle', 'wheel', 'brake', 'check', 'oil', 'chain', 'then', 'again', 'book', 'page', 'reader', 'guide', 'turn', 'note', 'and'];

/**
Creates one token of the answer to a prompt: always the same, so that a test can tell whether an answer is whole.

@example
```
createAnswerToken('Which oil?', 0);
```
*/
export function createAnswerToken(prompt: string, index: number): string {
	const word = words[Number(computeHash(`${index}/${prompt}`) % BigInt(words.length))]!;

	return `${word}${index} `;
}

/** Creates a whole answer. */
export function createAnswerText(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => createAnswerToken(prompt, index)).join('');
}
