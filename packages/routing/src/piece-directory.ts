/** Records which upstream is believed to hold which piece. An entry may be stale; a prompt routed by it is then computed again. */
export type PieceDirectory = {
	readonly note: (upstreamId: string, hashes: readonly string[], isHeld: boolean) => void;
	/** Counts, for each upstream, the pieces of the longest prefix that it holds. */
	readonly countHeldPieces: (hashes: readonly string[]) => ReadonlyMap<string, number>;
	/** Removes all entries of an upstream, after it restarted or events from it were missed. */
	readonly dropUpstream: (upstreamId: string) => void;
	readonly getSize: () => number;
};

export type PieceDirectoryOptions = {
	/** Beyond this number, the least recently used pieces are evicted. */
	readonly maxPieces: number;
};

/**
Creates a directory of pieces.

@example
```
const directory = createPieceDirectory({maxPieces: 100_000});
directory.note('engine-1', hashes, true);
directory.countHeldPieces(hashes).get('engine-1');
```
*/
export function createPieceDirectory({maxPieces}: PieceDirectoryOptions): PieceDirectory {
	// Insertion order is LRU order: a piece that is used moves to the end.
	const holders = new Map<string, Set<string>>();

	const touch = (hash: string, held: Set<string>) => {
		holders.delete(hash);
		holders.set(hash, held);
	};

	const dropOldest = () => {
		while (holders.size > maxPieces) {
			holders.delete(holders.keys().next().value!);
		}
	};

	const recordPiece = (upstreamId: string, hash: string, isHeld: boolean) => {
		const held = holders.get(hash) ?? new Set<string>();

		if (isHeld) {
			held.add(upstreamId);
		} else {
			held.delete(upstreamId);
		}

		if (held.size === 0) {
			holders.delete(hash);
		} else {
			touch(hash, held);
		}
	};

	return {
		note(upstreamId, hashes, isHeld) {
			for (const hash of hashes) {
				recordPiece(upstreamId, hash, isHeld);
			}

			dropOldest();
		},
		countHeldPieces(hashes) {
			const counts = new Map<string, number>();

			for (const [index, hash] of hashes.entries()) {
				const held = holders.get(hash);

				if (held === undefined) {
					break;
				}

				touch(hash, held);

				for (const upstreamId of held) {
					// Only a contiguous prefix can be used: an upstream that lacks an earlier piece is not counted further.
					if ((counts.get(upstreamId) ?? 0) === index) {
						counts.set(upstreamId, index + 1);
					}
				}
			}

			return counts;
		},
		dropUpstream(upstreamId) {
			for (const [hash, held] of holders) {
				held.delete(upstreamId);

				if (held.size === 0) {
					holders.delete(hash);
				}
			}
		},
		getSize: () => holders.size,
	};
}
