import fs from 'node:fs/promises';
import {Buffer} from 'node:buffer';
import {createFinding, FindingsError} from '@fescuestair/core';

/** Pre-shared keys with which the processes of the system authenticate each other. */
export type ClusterKeys = {
	/** Id of the key that new links are opened with. */
	readonly currentId: string;
	/** All accepted keys, by id; more than one while keys are rotated. */
	readonly keys: ReadonlyMap<string, Uint8Array>;
};

const minKeyBytes = 16;

/**
Parses lines of `id:key`, the key in hexadecimal. New links are opened with the first key. Empty lines and lines that begin with `#` are ignored.

@example
```
parseClusterKeys('k2:00112233445566778899aabbccddeeff', 'keys.txt').currentId; //=> 'k2'
```
*/
export function parseClusterKeys(text: string, path: string): ClusterKeys {
	const keys = new Map<string, Uint8Array>();
	const findings = [];

	for (const [position, line] of text.split('\n').entries()) {
		const trimmed = line.trim();

		if (trimmed === '' || trimmed.startsWith('#')) {
			continue;
		}

		const match = /^(?<id>[\w.\-]{1,64}):(?<key>(?:[\da-fA-F]{2})+)$/v.exec(trimmed);
		const key = Buffer.from(match?.groups?.key ?? '', 'hex');

		if (match?.groups?.id === undefined || key.length < minKeyBytes) {
			// The finding does not quote the line, since it may contain a key.
			findings.push(createFinding(`${path}:${position + 1}`, `must be id:key with at least ${minKeyBytes} bytes in hexadecimal`));
			continue;
		}

		keys.set(match.groups.id, key);
	}

	const currentId = keys.keys().next().value;

	if (findings.length > 0 || currentId === undefined) {
		throw new FindingsError(findings.length > 0 ? findings : [createFinding(path, 'holds no key')]);
	}

	return {currentId, keys};
}

/** Loads cluster keys from a file; throws a `FindingsError` if it cannot be read or has invalid lines. */
export async function loadClusterKeys(path: string): Promise<ClusterKeys> {
	try {
		return parseClusterKeys(await fs.readFile(path, 'utf8'), path);
	} catch (error) {
		if (error instanceof FindingsError) {
			throw error;
		}

		throw new FindingsError([createFinding(path, `cannot be read: ${(error as NodeJS.ErrnoException).code ?? 'unknown'}`)]);
	}
}
