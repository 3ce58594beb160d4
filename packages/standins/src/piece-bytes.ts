import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Creates the simulated content of a piece. It is derived from the hash of the piece, so that wrong content can be detected. */
export function createPieceBytes(hash: string, length: number): Uint8Array {
	return Buffer.alloc(length, `${hash}/`);
}

/** Computes the digest that a manifest contains. */
export function digestPiece(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}
