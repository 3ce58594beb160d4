import {type PieceManifest, type ReceivedPiece} from './messages.js';

/** Why an imported piece must not be used. */
export enum PieceFault {
	/** The engine did not read it. */
	NotRead = 'not_read',
	/** It was freed or overwritten during the read. */
	OtherGeneration = 'other_generation',
	/** The engine read fewer or more bytes than were written. */
	OtherLength = 'other_length',
	/** The engine read other bytes than were written. */
	OtherDigest = 'other_digest',
}

export type VerificationInput = {
	/** Manifests in the store before the read, in the order of the prompt. */
	readonly before: readonly PieceManifest[];
	readonly received: readonly ReceivedPiece[];
	/** Manifests in the store after the last byte was read. */
	readonly after: readonly PieceManifest[];
};

export type VerificationResult = {
	/** Pieces that an engine may use. */
	readonly hashes: readonly string[];
	readonly faults: ReadonlyArray<{readonly hash: string; readonly fault: PieceFault}>;
};

/**
Selects the pieces of an import that an engine may use. A piece's generation must be the same in the store before the read, as read, and
in the store after its last byte, and the length and digest read must match the manifest: otherwise the piece may have been freed, reused or
half written during the read. Pieces behind one that is missing or invalid can't be used either.

@example
```
const {hashes, faults} = filterVerified({before, received, after});
```
*/
export function filterVerified({before, received, after}: VerificationInput): VerificationResult {
	const receivedByHash = new Map(received.map(piece => [piece.hash, piece]));
	const afterByHash = new Map(after.map(piece => [piece.hash, piece]));
	const checked = before.map(manifest => ({
		hash: manifest.hash, fault: findFault(manifest, receivedByHash.get(manifest.hash), afterByHash.get(manifest.hash)),
	}));
	const firstInvalid = checked.findIndex(piece => piece.fault !== undefined);
	const usable = firstInvalid === -1 ? checked : checked.slice(0, firstInvalid);

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
