import {randomBytes} from 'node:crypto';

const timeDigits = 9;
const radix = 36;
const randomByteCount = 8;

/**
Creates an identifier that contains its time of creation, so that its records can be found without an index.

@example
```
createId('r', Date.now()); //=> 'r-0mabcdefg-9f86d081884c7d65'
```
*/
export function createId(prefix: string, nowMs: number, random = randomBytes(randomByteCount).toString('hex')): string {
	return `${prefix}-${Math.floor(nowMs).toString(radix).padStart(timeDigits, '0')}-${random}`;
}

/**
Reads the time of creation from an identifier, in milliseconds since the Unix epoch; `undefined` if the identifier is malformed.

@example
```
readIdTimeMs(createId('r', 1000)); //=> 1000
```
*/
export function readIdTimeMs(id: string): number | undefined {
	const match = /^[a-z]+-(?<time>[\da-z]{9})-[\da-f]{16}$/v.exec(id);

	return match?.groups?.time === undefined ? undefined : Number.parseInt(match.groups.time, radix);
}
