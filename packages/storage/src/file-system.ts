import fs, {type FileHandle} from 'node:fs/promises';

/** File operations that the package uses. Tests replace single ones to inject faults. */
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
Creates a `FileSystem` on `node:fs`. `overrides` replaces single operations.

@example
```
const fileSystem = createFileSystem({sync: async () => { throw new Error('read-only'); }});
```
*/
export function createFileSystem(overrides: Partial<FileSystem> = {}): FileSystem {
	return {
		open: async (path, flags) => fs.open(path, flags),
		write: writeFully,
		// Each append changes the file size. fdatasync also flushes the metadata that is needed to read the data back, and the size is part of it.
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
