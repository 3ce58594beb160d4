/** Beliefs about which upstream holds which piece; they may be stale, and cost a recompute when they are. */
export type PieceDirectory = {
	readonly note: (upstreamId: string, hashes: readonly string[], isHeld: boolean) => void;
	/** For each upstream, how many pieces it holds, counted from the first. */
	readonly countHeld: (hashes: readonly string[]) => ReadonlyMap<string, number>;
	/** Forgets an upstream: it restarted, or a gap in its events makes all beliefs doubtful. */
	readonly dropUpstream: (upstreamId: string) => void;
	readonly getSize: () => number;
};

export type PieceDirectoryOptions = {
	/** The pieces asked for or noted longest ago are forgotten beyond this. */
	readonly maxPieces: number;
};

/**
Creates a directory of pieces.

@example
```
const directory = createDirectory({maxPieces: 100_000});
directory.note('engine-1', hashes, true);
directory.countHeld(hashes).get('engine-1');
```
*/
export function createDirectory({maxPieces}: PieceDirectoryOptions): PieceDirectory {
	// Insertion order is order of use: a touched piece is put at the end.
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
		countHeld(hashes) {
			const counts = new Map<string, number>();

			for (const [index, hash] of hashes.entries()) {
				const held = holders.get(hash);

				if (held === undefined) {
					break;
				}

				touch(hash, held);

				for (const upstreamId of held) {
					// A gap before this piece makes it useless.
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
