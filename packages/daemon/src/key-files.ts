import fs from 'node:fs/promises';
import {createFinding, FindingsError} from '@fescuestair/core';
import {createKeyRing, type KeyRing} from '@fescuestair/transport';

/** Loads a file with lines of `name:sha256`. Findings give the line number, never the content of the line. */
export async function loadKeyRing(path: string): Promise<KeyRing> {
	let text: string;

	try {
		text = await fs.readFile(path, 'utf8');
	} catch (error) {
		throw new FindingsError([createFinding(path, `cannot be read: ${(error as NodeJS.ErrnoException).code ?? 'unknown'}`)]);
	}

	const findings = [];
	const keys = [];

	for (const [index, line] of text.split('\n').entries()) {
		const trimmed = line.trim();

		if (trimmed === '' || trimmed.startsWith('#')) {
			continue;
		}

		const match = /^(?<owner>[\w.\-]{1,63}):(?<digest>[\da-f]{64})$/v.exec(trimmed);

		if (match?.groups === undefined) {
			findings.push(createFinding(`${path}:${index + 1}`, 'must be name:sha256, the digest in hexadecimal'));
		} else {
			keys.push({owner: match.groups.owner!, digest: match.groups.digest!});
		}
	}

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return createKeyRing(keys);
}

/** Loads a file that contains a single key. */
export async function loadSecret(path: string): Promise<string> {
	try {
		const text = await fs.readFile(path, 'utf8');

		return text.trim();
	} catch (error) {
		throw new FindingsError([createFinding(path, `cannot be read: ${(error as NodeJS.ErrnoException).code ?? 'unknown'}`)]);
	}
}
