import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {type PieceManifest, type ReceivedPiece} from '@fescuestair/kv';
import {type EngineCache} from './engine-cache.js';
import {createPieceBytes, digestPiece} from './piece-bytes.js';

export type EngineTransfersOptions = {
	readonly cache: EngineCache;
	readonly pieceBytes: number;
	/** Time after which an import that no run has used is dropped. */
	readonly keepMs?: number;
};

type PieceReference = {readonly hash: string; readonly generation: number};

/** An engine's exports to stores and imports from them. */
export type EngineTransfers = {
	readonly exportPieces: (storeAddress: string, hashes: readonly string[]) => Promise<{readonly pieces: readonly PieceManifest[]; readonly isFull: boolean}>;
	/** Reads pieces from a store and stages them outside the cache until a run uses them. */
	readonly importPieces: (importId: string, storeAddress: string, pieces: readonly PieceReference[]) => Promise<readonly ReceivedPiece[]>;
	/** Adds the given pieces of an import to the cache and discards the rest. */
	readonly applyImport: (importId: string, root: string, hashes: readonly string[]) => void;
};

const insufficientStorageStatus = 507;

export function createEngineTransfers({cache, pieceBytes, keepMs = 30_000}: EngineTransfersOptions): EngineTransfers {
	const imports = new Map<string, Map<string, Uint8Array>>();

	const exportPiece = async (storeAddress: string, {hash, root}: {readonly hash: string; readonly root: string}): Promise<PieceManifest | undefined> => {
		const bytes = createPieceBytes(hash, pieceBytes);
		const response = await request(`http://${storeAddress}/v1/kv/${hash}?root=${root}`, {method: 'PUT', body: bytes});
		const {generation} = await response.body.json() as {readonly generation: number};

		return response.statusCode === insufficientStorageStatus
			? undefined
			: {
				hash, root, generation, length: bytes.length, digest: digestPiece(bytes),
			};
	};

	return {
		async exportPieces(storeAddress, hashes) {
			const pieces: PieceManifest[] = [];

			for (const hash of hashes) {
				const piece = cache.findPiece(hash);

				if (piece === undefined) {
					break;
				}

				const manifest = await exportPiece(storeAddress, piece);

				if (manifest === undefined) {
					return {pieces, isFull: true};
				}

				pieces.push(manifest);
			}

			return {pieces, isFull: false};
		},
		async importPieces(importId, storeAddress, references) {
			const stagedBytes = new Map<string, Uint8Array>();
			const received: ReceivedPiece[] = [];
			imports.set(importId, stagedBytes);
			setTimeout(() => {
				imports.delete(importId);
			}, keepMs).unref();

			try {
				for (const {hash, generation} of references) {
					const response = await request(`http://${storeAddress}/v1/kv/${hash}?generation=${generation}`);
					const bytes = Buffer.from(await response.body.arrayBuffer());

					if (response.statusCode !== 200) {
						break;
					}

					stagedBytes.set(hash, bytes);
					received.push({
						hash, generation, length: bytes.length, digest: digestPiece(bytes),
					});
				}
			} catch {
				// The store is gone; what was read whole may still be of use.
			}

			return received;
		},
		applyImport(importId, root, hashes) {
			const stagedBytes = imports.get(importId);
			imports.delete(importId);
			cache.add(hashes.flatMap(hash => {
				const bytes = stagedBytes?.get(hash);

				return bytes === undefined ? [] : [{hash, root, isIntact: digestPiece(bytes) === digestPiece(createPieceBytes(hash, pieceBytes))}];
			}));
		},
	};
}
