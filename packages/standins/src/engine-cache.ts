import {type CacheSnapshot} from '@fescuestair/kv';
import {createCacheEventLog, type CacheEventLog} from './cache-event-log.js';

type CachedPiece = {
	readonly hash: string;
	readonly root: string;
	/** Whether the bytes equal those that the engine itself computes for the piece; false if a corrupt piece was imported. */
	readonly isIntact: boolean;
};

/** Cached pieces of prompts in an engine's memory; evicts the least recently used first. Adding a cached piece again marks it as recently used. */
export type EngineCache = {
	readonly add: (pieces: readonly CachedPiece[]) => void;
	/** Returns the longest contiguous run of cached pieces from the start. */
	readonly findPrefix: (hashes: readonly string[]) => readonly CachedPiece[];
	readonly findPiece: (hash: string) => CachedPiece | undefined;
	readonly clear: () => void;
	readonly log: CacheEventLog;
	readonly createSnapshot: () => CacheSnapshot;
};

export function createEngineCache(maxPieces: number, maxEvents: number): EngineCache {
	const pieces = new Map<string, CachedPiece>();
	const log = createCacheEventLog(maxEvents);

	const evict = (piece: CachedPiece) => {
		pieces.delete(piece.hash);
		log.note(piece, false);
	};

	return {
		add(added) {
			for (const piece of added) {
				const wasHeld = pieces.delete(piece.hash);
				pieces.set(piece.hash, piece);

				if (!wasHeld) {
					log.note(piece, true);
				}
			}

			while (pieces.size > maxPieces) {
				evict(pieces.values().next().value!);
			}
		},
		findPrefix(hashes) {
			const firstMissing = hashes.findIndex(hash => !pieces.has(hash));
			const held = firstMissing === -1 ? hashes : hashes.slice(0, firstMissing);

			return held.map(hash => pieces.get(hash)!);
		},
		findPiece: hash => pieces.get(hash),
		clear() {
			for (const piece of pieces.values()) {
				evict(piece);
			}
		},
		log,
		createSnapshot: () => log.createSnapshot([...pieces.values()].map(({hash, root}) => ({hash, root}))),
	};
}
