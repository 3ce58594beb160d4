import {type CacheSnapshot} from '@fescuestair/kv';
import {createCacheLog, type CacheLog} from './cache-log.js';

type CachedPiece = {
	readonly hash: string;
	readonly root: string;
	/** Whether its bytes are those that the prompt would have given. */
	readonly isSound: boolean;
};

/** Cached prompt in an engine's memory; the least recently used goes first. */
export type EngineCache = {
	readonly add: (pieces: readonly CachedPiece[]) => void;
	/** The pieces held without a gap from the first. */
	readonly takePrefix: (hashes: readonly string[]) => readonly CachedPiece[];
	readonly findPiece: (hash: string) => CachedPiece | undefined;
	readonly clear: () => void;
	readonly log: CacheLog;
	readonly takeSnapshot: () => CacheSnapshot;
};

/** Creates the cache. */
export function createEngineCache(maxPieces: number, maxEvents: number): EngineCache {
	const pieces = new Map<string, CachedPiece>();
	const log = createCacheLog(maxEvents);

	const remove = (piece: CachedPiece) => {
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
				remove(pieces.values().next().value!);
			}
		},
		takePrefix(hashes) {
			const firstMissing = hashes.findIndex(hash => !pieces.has(hash));
			const held = firstMissing === -1 ? hashes : hashes.slice(0, firstMissing);

			return held.map(hash => pieces.get(hash)!);
		},
		findPiece: hash => pieces.get(hash),
		clear() {
			for (const piece of pieces.values()) {
				remove(piece);
			}
		},
		log,
		takeSnapshot: () => log.takeSnapshot([...pieces.values()].map(({hash, root}) => ({hash, root}))),
	};
}
