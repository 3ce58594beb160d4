import fs, {type FileHandle} from 'node:fs/promises';

/** The calls on files that can fail; tests pass functions that do. */
export type FileSystem = {
	readonly open: (path: string, flags: string) => Promise<FileHandle>;
	readonly write: (handle: FileHandle, bytes: Uint8Array, position: number) => Promise<void>;
	readonly sync: (handle: FileHandle) => Promise<void>;
	readonly readFile: (path: string) => Promise<Uint8Array>;
	readonly readFolder: (path: string) => Promise<string[]>;
	readonly rename: (from: string, to: string) => Promise<void>;
	readonly remove: (path: string) => Promise<void>;
};

/**
Creates the file system of the operating system; each call can be replaced.

@example
```
const fileSystem = createFileSystem({sync: async () => { throw new Error('read-only'); }});
```
*/
export function createFileSystem(overrides: Partial<FileSystem> = {}): FileSystem {
	return {
		open: async (path, flags) => fs.open(path, flags),
		write: writeFully,
		// The size changes with each append, so the metadata must reach the disk as well.
		sync: async handle => handle.datasync(),
		readFile: async path => fs.readFile(path),
		readFolder: async path => fs.readdir(path),
		rename: async (from, to) => fs.rename(from, to),
		remove: async path => fs.rm(path, {force: true}),
		...overrides,
	};
}

async function writeFully(handle: FileHandle, bytes: Uint8Array, position: number): Promise<void> {
	let written = 0;

	while (written < bytes.length) {
		const result = await handle.write(bytes, written, bytes.length - written, position + written);
		written += result.bytesWritten;
	}
}
