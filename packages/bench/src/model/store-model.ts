import {type Scheduler} from './scheduler.js';

export type StoreModelOptions = {
	readonly id: string;
	readonly scheduler: Scheduler;
	readonly capacityPieces: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
};

/** A store in virtual time: pieces behind one link that serves transfers one after another. */
export type StoreModel = {
	readonly id: string;
	readonly countHeld: (pieces: readonly string[]) => number;
	/** Moves the pieces from `from` on; answers how many stand at the engine in the end. */
	readonly fetch: (pieces: readonly string[], from: number, onDone: (arrived: number) => void) => void;
	readonly put: (pieces: readonly string[]) => void;
	readonly getQueuedBytes: () => number;
	readonly getMovedBytes: () => number;
	readonly die: () => void;
	readonly isUp: () => boolean;
};

/** Creates a store model. */
export function createStoreModel(options: StoreModelOptions): StoreModel {
	const {
		id, scheduler, capacityPieces, bytesPerPiece, linkBytesPerSecond,
	} = options;
	const pieces = new Set<string>();
	let freeAtMs = 0;
	let movedBytes = 0;
	let isUp = true;

	const transfer = (bytes: number): number => {
		const startMs = Math.max(scheduler.getNowMs(), freeAtMs);
		freeAtMs = startMs + (bytes / linkBytesPerSecond * 1000);
		movedBytes += bytes;

		return freeAtMs - scheduler.getNowMs();
	};

	const countHeld = (wanted: readonly string[]) => {
		const missing = wanted.findIndex(piece => !pieces.has(piece));

		return isUp ? (missing === -1 ? wanted.length : missing) : 0;
	};

	const keep = (piece: string) => {
		pieces.delete(piece);
		pieces.add(piece);

		for (const oldest of pieces) {
			if (pieces.size <= capacityPieces) {
				return;
			}

			pieces.delete(oldest);
		}
	};

	return {
		id,
		countHeld,
		fetch(wanted, from, onDone) {
			const held = countHeld(wanted);
			scheduler.schedule(transfer(Math.max(0, held - from) * bytesPerPiece), () => {
				// What was freed or lost meanwhile did not arrive.
				const arrived = countHeld(wanted.slice(0, held));

				for (const piece of wanted.slice(0, arrived)) {
					keep(piece);
				}

				onDone(arrived);
			});
		},
		put(fresh) {
			const missing = fresh.filter(piece => !pieces.has(piece));
			scheduler.schedule(transfer(missing.length * bytesPerPiece), () => {
				if (isUp) {
					for (const piece of fresh) {
						keep(piece);
					}
				}
			});
		},
		getQueuedBytes: () => Math.max(0, freeAtMs - scheduler.getNowMs()) * linkBytesPerSecond / 1000,
		getMovedBytes: () => movedBytes,
		die() {
			isUp = false;
			pieces.clear();
		},
		isUp: () => isUp,
	};
}
