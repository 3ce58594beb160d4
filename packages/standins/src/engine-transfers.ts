import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {type PieceManifest, type ReceivedPiece} from '@fescuestair/kv';
import {type EngineCache} from './engine-cache.js';
import {createPieceBytes, digestPiece} from './piece-bytes.js';

export type EngineTransfersOptions = {
	readonly cache: EngineCache;
	readonly pieceBytes: number;
	/** Imports that no run has used are dropped after this. */
	readonly keepMs?: number;
};

type Wanted = {readonly hash: string; readonly generation: number};

/** An engine's exports to stores and imports from them. */
export type EngineTransfers = {
	readonly exportPieces: (storeAddress: string, hashes: readonly string[]) => Promise<{readonly pieces: readonly PieceManifest[]; readonly isFull: boolean}>;
	/** Reads pieces and holds them apart from the cache. */
	readonly importPieces: (importId: string, storeAddress: string, pieces: readonly Wanted[]) => Promise<readonly ReceivedPiece[]>;
	/** Takes the named pieces of an import into the cache and drops the rest. */
	readonly useImport: (importId: string, root: string, hashes: readonly string[]) => void;
};

const fullStatus = 507;

/** Creates the transfers of an engine stand-in. */
export function createEngineTransfers({cache, pieceBytes, keepMs = 30_000}: EngineTransfersOptions): EngineTransfers {
	const imports = new Map<string, Map<string, Uint8Array>>();

	const exportOne = async (storeAddress: string, {hash, root}: {readonly hash: string; readonly root: string}): Promise<PieceManifest | undefined> => {
		const bytes = createPieceBytes(hash, pieceBytes);
		const response = await request(`http://${storeAddress}/v1/kv/${hash}?root=${root}`, {method: 'PUT', body: bytes});
		const {generation} = await response.body.json() as {readonly generation: number};

		return response.statusCode === fullStatus
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

				const manifest = await exportOne(storeAddress, piece);

				if (manifest === undefined) {
					return {pieces, isFull: true};
				}

				pieces.push(manifest);
			}

			return {pieces, isFull: false};
		},
		async importPieces(importId, storeAddress, wanted) {
			const staged = new Map<string, Uint8Array>();
			const received: ReceivedPiece[] = [];
			imports.set(importId, staged);
			setTimeout(() => {
				imports.delete(importId);
			}, keepMs).unref();

			try {
				for (const {hash, generation} of wanted) {
					const response = await request(`http://${storeAddress}/v1/kv/${hash}?generation=${generation}`);
					const bytes = Buffer.from(await response.body.arrayBuffer());

					if (response.statusCode !== 200) {
						break;
					}

					staged.set(hash, bytes);
					received.push({
						hash, generation, length: bytes.length, digest: digestPiece(bytes),
					});
				}
			} catch {
				// The store is gone; what was read whole may still be of use.
			}

			return received;
		},
		useImport(importId, root, hashes) {
			const staged = imports.get(importId);
			imports.delete(importId);
			cache.add(hashes.flatMap(hash => {
				const bytes = staged?.get(hash);

				return bytes === undefined ? [] : [{hash, root, isSound: digestPiece(bytes) === digestPiece(createPieceBytes(hash, pieceBytes))}];
			}));
		},
	};
}
