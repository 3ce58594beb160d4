import {createHash, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';

/** Finds the owner of a bearer key; holds digests only, not the keys. */
export type KeyRing = {
	/** Returns the owner of the key in an `Authorization` header. */
	readonly findOwner: (authorization: string | undefined) => string | undefined;
};

const bearerPrefix = 'Bearer ';

/**
Returns the SHA-256 digest of a key in hexadecimal, as the configuration holds it.

@example
```
digestKey('secret').length; //=> 64
```
*/
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/**
Creates a key ring from digests. Keys are looked up by digest, and a match is confirmed in constant time.

@example
```
const ring = createKeyRing([{owner: 'okahandja', digest: digestKey('secret')}]);
ring.findOwner('Bearer secret'); //=> 'okahandja'
```
*/
export function createKeyRing(keys: Iterable<{readonly owner: string; readonly digest: string}>): KeyRing {
	const owners = new Map<string, {readonly owner: string; readonly digest: Uint8Array}>();

	for (const {owner, digest} of keys) {
		owners.set(digest, {owner, digest: Buffer.from(digest, 'hex')});
	}

	return {
		findOwner(authorization) {
			if (!authorization?.startsWith(bearerPrefix)) {
				return undefined;
			}

			const digestBytes = createHash('sha256').update(authorization.slice(bearerPrefix.length)).digest();
			const match = owners.get(digestBytes.toString('hex'));

			return match !== undefined && timingSafeEqual(digestBytes, match.digest) ? match.owner : undefined;
		},
	};
}
