import path from 'node:path';
import {randomBytes} from 'node:crypto';
import {type Member} from '@fescuestair/agreement';
import {
	createFileSystem, CorruptFileError, encodeFrame, FrameFault, readFrames, syncFolder, writeFileAtomically, type FileSystem,
} from '@fescuestair/storage';

/** Identity of a replica. It is stored on the disk that holds its votes, so that losing the votes also means a new identity. */
export type Identity = {
	readonly id: string;
	/** Absent until the replica belongs to a group. */
	readonly groupId: string | undefined;
	/** First members of a group that an earlier version founded, which named them after their addresses. */
	readonly firstMembers?: readonly Member[];
	/** The group was promised to its founder, and not assigned by a leader. */
	readonly isPromised?: boolean;
	/** Set on a first member until a leader assigns it to a group. */
	readonly founding?: {
		readonly ownAddress: string;
		/** Sorted addresses of all first members. */
		readonly addresses: readonly string[];
	};
};

export type LoadIdentityOptions = {
	/** Stored with a new identity. */
	readonly founding?: Identity['founding'];
	readonly fileSystem?: FileSystem;
	/** Random by default. */
	readonly createIdSuffix?: () => string;
};

const identityFileName = 'identity';
const randomIdBytes = 6;

/**
Loads the identity from the data folder. If there is none, saves and returns a new one, which is random, so that no replica can have voted
under it before.

@example
```
const identity = await loadIdentity('/data', 'control-1');
```
*/
export async function loadIdentity(folder: string, name: string, options: LoadIdentityOptions = {}): Promise<Identity> {
	const {founding, fileSystem = createFileSystem(), createIdSuffix = () => randomBytes(randomIdBytes).toString('hex')} = options;
	const file = path.join(folder, identityFileName);

	try {
		const scan = readFrames(await fileSystem.readFile(file));

		if (scan.fault !== FrameFault.None || scan.payloads.length !== 1) {
			throw new CorruptFileError(file, scan.validBytes, 'the identity does not match its checksum');
		}

		// An earlier process may have been killed between the rename and its sync.
		await syncFolder(fileSystem, folder);

		return scan.payloads[0] as Identity;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
			throw error;
		}
	}

	const identity: Identity = {id: `${name}.${createIdSuffix()}`, groupId: undefined, ...(founding && {founding})};
	await saveIdentity(folder, identity, fileSystem);

	return identity;
}

/** Saves the identity; resolves once it is synced to disk. */
export async function saveIdentity(folder: string, identity: Identity, fileSystem = createFileSystem()): Promise<void> {
	await writeFileAtomically(fileSystem, path.join(folder, identityFileName), encodeFrame(identity));
}
