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
	/** First members of the group; absent if this replica was added later. */
	readonly firstMembers?: readonly Member[];
};

const identityFileName = 'identity';
const randomIdBytes = 6;

/**
Loads the identity from the data folder. If there is none, saves and returns a new one: `firstIdentity`, or a random one by default. No
replica may have voted under the new identity before, so `firstIdentity` is given only at the first start of the group.

@example
```
const identity = await loadIdentity('/data', 'control-1');
```
*/
export async function loadIdentity(folder: string, name: string, firstIdentity?: Identity): Promise<Identity> {
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

	const identity = firstIdentity ?? {id: `${name}.${randomBytes(randomIdBytes).toString('hex')}`, groupId: undefined};
	await saveIdentity(folder, identity);

	return identity;
}

/** Saves the identity; resolves once it is synced to disk. */
export async function saveIdentity(folder: string, identity: Identity): Promise<void> {
	await writeFileAtomically(createFileSystem(), path.join(folder, identityFileName), encodeFrame(identity));
}
