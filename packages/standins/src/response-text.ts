import {computeHash} from '@fescuestair/core';

const words = ['the', 'axle', 'wheel', 'brake', 'check', 'oil', 'chain', 'then', 'again', 'book', 'page', 'reader', 'guide', 'turn', 'note', 'and'];

/**
Creates one token of the response to a prompt. It depends only on its arguments, so that a test can check that a response is complete.

@example
```
createAnswerToken('Which oil?', 0);
```
*/
export function createResponseToken(prompt: string, index: number): string {
	const word = words[Number(computeHash(`${index}/${prompt}`) % BigInt(words.length))]!;

	return `${word}${index} `;
}

/** Creates the complete response, which a test compares with what it received. */
export function createResponseText(prompt: string, tokens: number): string {
	return Array.from({length: tokens}, (_, index) => createResponseToken(prompt, index)).join('');
}
