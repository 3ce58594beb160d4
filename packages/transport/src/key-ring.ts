import {createHash, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';

/** Finds the owner of a bearer key without keeping the key. */
export type KeyRing = {
	readonly findOwner: (authorization: string | undefined) => string | undefined;
};

const bearerPrefix = 'Bearer ';

/**
Digests a key as it stands in declarations.

@example
```
digestKey('secret').length; //=> 64
```
*/
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/**
Creates a ring of key digests. The look-up is by digest and the match is confirmed in constant time.

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

			const given = createHash('sha256').update(authorization.slice(bearerPrefix.length)).digest();
			const found = owners.get(given.toString('hex'));

			return found !== undefined && timingSafeEqual(given, found.digest) ? found.owner : undefined;
		},
	};
}
