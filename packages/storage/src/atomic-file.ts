import path from 'node:path';
import {type FileSystem} from './file-system.js';
import {DiskError} from './errors.js';

/**
Replaces a file atomically: after a crash it holds either the old or the complete new content. The content goes to a temporary file, which is synced
and renamed; the folder is synced last.

@example
```
await writeFileAtomically(createFileSystem(), '/data/identity', encodeFrame({id: 'control-1'}));
```
*/
export async function writeFileAtomically(fileSystem: FileSystem, target: string, bytes: Uint8Array): Promise<void> {
	const temporaryPath = `${target}.tmp`;

	try {
		const handle = await fileSystem.open(temporaryPath, 'w');

		try {
			await fileSystem.write(handle, bytes, 0);
			await fileSystem.sync(handle);
		} finally {
			await handle.close();
		}

		await fileSystem.rename(temporaryPath, target);
		await syncFolder(fileSystem, path.dirname(target));
	} catch (error) {
		throw new DiskError(target, 'replacement', error);
	}
}

/** Makes the names in a folder durable: files that were created, renamed or removed. */
export async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
	const handle = await fileSystem.open(folder, 'r');

	try {
		await fileSystem.sync(handle);
	} finally {
		await handle.close();
	}
}
