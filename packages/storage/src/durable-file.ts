import path from 'node:path';
import {type FileSystem} from './file-system.js';
import {DiskError} from './errors.js';

/**
Replaces a file so that after a crash either the old or the whole new content is there.

@example
```
await writeFileDurably(createFileSystem(), '/data/identity', encodeFrame({id: 'control-1'}));
```
*/
export async function writeFileDurably(fileSystem: FileSystem, target: string, bytes: Uint8Array): Promise<void> {
	const temporary = `${target}.tmp`;

	try {
		const handle = await fileSystem.open(temporary, 'w');

		try {
			await fileSystem.write(handle, bytes, 0);
			await fileSystem.sync(handle);
		} finally {
			await handle.close();
		}

		await fileSystem.rename(temporary, target);
		await syncFolder(fileSystem, path.dirname(target));
	} catch (error) {
		throw new DiskError(target, 'replacement', error);
	}
}

async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
	const handle = await fileSystem.open(folder, 'r');

	try {
		await fileSystem.sync(handle);
	} finally {
		await handle.close();
	}
}
