import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
Computes the 64-bit xxHash of a text. Not a cryptographic hash.

@example
```
computeHash('entry-1'); //=> 64-bit bigint
```
*/
export function computeHash(text: string, seed = 0n): bigint {
	return hasher.h64(text, seed);
}

/**
Computes the 64-bit xxHash of a text as 16 hexadecimal digits. Not a cryptographic hash.

@example
```
computeHashHex('piece').length; //=> 16
```
*/
export function computeHashHex(text: string, seed = 0n): string {
	return hasher.h64ToString(text, seed);
}
