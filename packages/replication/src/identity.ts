import path from 'node:path';
import {randomBytes} from 'node:crypto';
import {type Member} from '@fescuestair/agreement';
import {
	createFileSystem, CorruptFileError, encodeFrame, FrameFault, readFrames, writeFileDurably,
} from '@fescuestair/storage';

/** Who a replica is. It stands on the disk that holds its votes, and is lost along with them. */
export type Identity = {
	readonly id: string;
	/** Absent until the replica belongs to a group. */
	readonly groupId: string | undefined;
	/** The members of a group that this replica began with; absent where it was added later. */
	readonly firstMembers?: readonly Member[];
};

const fileName = 'identity';
const randomByteCount = 6;

/**
Loads the identity from the data folder; an empty folder makes a new one, under which the replica has never voted: the one given, or
one that nobody had before.

@example
```
const identity = await loadIdentity('/data', 'control-1');
```
*/
export async function loadIdentity(folder: string, name: string, firstIdentity?: Identity): Promise<Identity> {
	const file = path.join(folder, fileName);

	try {
		const scan = readFrames(await createFileSystem().readFile(file));

		if (scan.fault !== FrameFault.None || scan.payloads.length !== 1) {
			throw new CorruptFileError(file, scan.goodBytes, 'the identity does not match its checksum');
		}

		return scan.payloads[0] as Identity;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code !== 'ENOENT') {
			throw error;
		}
	}

	const identity = firstIdentity ?? {id: `${name}.${randomBytes(randomByteCount).toString('hex')}`, groupId: undefined};
	await saveIdentity(folder, identity);

	return identity;
}

/** Saves the identity; resolves once it is synced. */
export async function saveIdentity(folder: string, identity: Identity): Promise<void> {
	await writeFileDurably(createFileSystem(), path.join(folder, fileName), encodeFrame(identity));
}
