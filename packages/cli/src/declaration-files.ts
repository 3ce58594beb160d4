import fs from 'node:fs/promises';
import path from 'node:path';
import {createFinding, FindingsError} from '@fescuestair/core';
import {parseDeclarations, type ConfigItem, type DeclarationFile} from '@fescuestair/state';

/** Reads declaration files, and those of folders; throws a `FindingsError` where one can't be read. */
export async function readDeclarationFiles(paths: readonly string[]): Promise<readonly DeclarationFile[]> {
	const filesByPath = await Promise.all(paths.map(async one => listFiles(one)));

	return Promise.all(filesByPath.flat().map(async file => readDeclarationFile(file)));
}

/** Loads declarations from files and folders; throws a `FindingsError` with the findings of all of them. */
export async function loadDeclarations(paths: readonly string[]): Promise<ReadonlyMap<string, ConfigItem>> {
	const {items, findings} = parseDeclarations(await readDeclarationFiles(paths));

	if (findings.length > 0) {
		throw new FindingsError(findings);
	}

	return items;
}

async function listFiles(target: string): Promise<string[]> {
	try {
		const names = await fs.readdir(target);

		return names.filter(name => /\.(?:ya?ml|json)$/v.test(name)).toSorted().map(name => path.join(target, name));
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOTDIR') {
			return [target];
		}

		throw new FindingsError([createFinding(target, 'cannot be read')]);
	}
}

async function readDeclarationFile(file: string): Promise<DeclarationFile> {
	try {
		return {path: file, text: await fs.readFile(file, 'utf8')};
	} catch {
		throw new FindingsError([createFinding(file, 'cannot be read')]);
	}
}
