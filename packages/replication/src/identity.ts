import path from 'node:path';
import {randomBytes} from 'node:crypto';
import {type Member} from '@fescuestair/agreement';
import {
	createFileSystem, CorruptFileError, encodeFrame, FrameFault, readFrames, writeFileAtomically,
} from '@fescuestair/storage';

/** Identity of a replica. It is stored on the disk that holds its votes, so that losing the votes also means a new identity. */
export type Identity = {
	readonly id: string;
	/** Absent until the replica belongs to a group. */
	readonly groupId: string | undefined;
	/** First members of a group that an earlier version founded, which named them after their addresses. */
	readonly firstMembers?: readonly Member[];
	/** Set on a first member until a leader assigns it to a group; kept if it founds the group or promises to belong to it. */
	readonly founding?: {
		readonly ownAddress: string;
		/** Sorted addresses of all first members. */
		readonly addresses: readonly string[];
	};
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
export async function loadIdentity(folder: string, name: string, founding?: Identity['founding']): Promise<Identity> {
	const file = path.join(folder, identityFileName);

	try {
		const scan = readFrames(await createFileSystem().readFile(file));

		if (scan.fault !== FrameFault.None || scan.payloads.length !== 1) {
			throw new CorruptFileError(file, scan.validBytes, 'the identity does not match its checksum');
		}

		return scan.payloads[0] as Identity;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
			throw error;
		}
	}

	const identity: Identity = {id: `${name}.${randomBytes(randomIdBytes).toString('hex')}`, groupId: undefined, ...(founding && {founding})};
	await saveIdentity(folder, identity);

	return identity;
}

/** Saves the identity; resolves once it is synced to disk. */
export async function saveIdentity(folder: string, identity: Identity): Promise<void> {
	await writeFileAtomically(createFileSystem(), path.join(folder, identityFileName), encodeFrame(identity));
}
