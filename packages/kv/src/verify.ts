import {type PieceManifest, type ReceivedPiece} from './messages.js';

/** Why a piece that was read may not be used. */
export enum PieceFault {
	/** The engine did not get it. */
	NotRead = 'not_read',
	/** It was freed or written anew while it was read. */
	OtherGeneration = 'other_generation',
	/** Fewer or more bytes than were written. */
	OtherLength = 'other_length',
	/** Other bytes than were written. */
	OtherDigest = 'other_digest',
}

export type VerifyInput = {
	/** As the store showed them before the read, in the order of the prompt. */
	readonly before: readonly PieceManifest[];
	readonly received: readonly ReceivedPiece[];
	/** As the store shows them after the last byte was read. */
	readonly after: readonly PieceManifest[];
};

export type Verified = {
	/** Pieces that an engine may use. */
	readonly hashes: readonly string[];
	readonly faults: ReadonlyArray<{readonly hash: string; readonly fault: PieceFault}>;
};

/**
Selects the pieces of an import that an engine may use. A piece must be the same before the read, as read, and in the
store after its last byte: else it may have been freed, reused or half written meanwhile. Pieces behind one that is
missing are of no use.

@example
```
const {hashes, faults} = filterVerified({before, received, after});
```
*/
export function filterVerified({before, received, after}: VerifyInput): Verified {
	const receivedByHash = new Map(received.map(piece => [piece.hash, piece]));
	const afterByHash = new Map(after.map(piece => [piece.hash, piece]));
	const checked = before.map(manifest => ({
		hash: manifest.hash, fault: findFault(manifest, receivedByHash.get(manifest.hash), afterByHash.get(manifest.hash)),
	}));
	const firstFaulty = checked.findIndex(piece => piece.fault !== undefined);
	const usable = firstFaulty === -1 ? checked : checked.slice(0, firstFaulty);

	return {
		hashes: usable.map(piece => piece.hash),
		faults: checked.flatMap(({hash, fault}) => fault === undefined ? [] : [{hash, fault}]),
	};
}

function findFault(manifest: PieceManifest, received: ReceivedPiece | undefined, after: PieceManifest | undefined): PieceFault | undefined {
	if (received === undefined) {
		return PieceFault.NotRead;
	}

	if (received.generation !== manifest.generation || after?.generation !== manifest.generation) {
		return PieceFault.OtherGeneration;
	}

	if (received.length !== manifest.length) {
		return PieceFault.OtherLength;
	}

	return received.digest === manifest.digest ? undefined : PieceFault.OtherDigest;
}
