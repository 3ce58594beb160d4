import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Creates the bytes that stand for a computed piece: they follow from its identity, so that a wrong one is known. */
export function createPieceBytes(hash: string, length: number): Uint8Array {
	return Buffer.alloc(length, `${hash}/`);
}

/** Computes the digest that a manifest holds. */
export function digestPiece(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}
