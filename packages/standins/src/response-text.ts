import {computeHash} from '@fescuestair/core';

/** Version of an engine's software where none is set. */
export const defaultSoftwareVersion = '1';

const words = ['the', 'axle', 'wheel', 'brake', 'check', 'oil', 'chain', 'then', 'again', 'book', 'page', 'reader', 'guide', 'turn', 'note', 'and'];

/**
Creates one token of the response to a prompt. It depends only on its arguments, so that a test can check that a response is complete, and that one version of the software wrote it.

@example
```
createAnswerToken('Which oil?', 0);
```
*/
export function createResponseToken(prompt: string, index: number, softwareVersion = defaultSoftwareVersion): string {
	const word = words[Number(computeHash(`${index}/${prompt}`) % BigInt(words.length))]!;

	return softwareVersion === defaultSoftwareVersion ? `${word}${index} ` : `${word}${index}@${softwareVersion} `;
}

/** Creates the complete response, which a test compares with what it received. */
export function createResponseText(prompt: string, tokens: number, softwareVersion = defaultSoftwareVersion): string {
	return Array.from({length: tokens}, (_, index) => createResponseToken(prompt, index, softwareVersion)).join('');
}
