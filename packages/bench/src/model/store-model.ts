import {type Scheduler} from './scheduler.js';

export type StoreModelOptions = {
	readonly id: string;
	readonly scheduler: Scheduler;
	readonly capacityPieces: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
};

/** A model of a store in virtual time: an LRU cache of pieces behind one link, which serves transfers one after another. */
export type StoreModel = {
	readonly id: string;
	/** Number of leading pieces that the store holds without a gap; 0 while it is down. */
	readonly countHeldPieces: (pieces: readonly string[]) => number;
	/** Transfers the held pieces from index `firstPiece` on; `onDone` gets the number of leading pieces that the engine then holds. */
	readonly fetch: (pieces: readonly string[], firstPiece: number, onDone: (arrivedPieces: number) => void) => void;
	readonly put: (pieces: readonly string[]) => void;
	readonly getQueuedBytes: () => number;
	readonly getTransferredBytes: () => number;
	/** Takes the store down for the rest of the run and drops its pieces. */
	readonly fail: () => void;
	readonly isUp: () => boolean;
};

/** Creates a store model. */
export function createStoreModel(options: StoreModelOptions): StoreModel {
	const {
		id, scheduler, capacityPieces, bytesPerPiece, linkBytesPerSecond,
	} = options;
	const pieces = new Set<string>();
	let linkFreeAtMs = 0;
	let transferredBytes = 0;
	let isUp = true;

	const transfer = (bytes: number): number => {
		const startMs = Math.max(scheduler.getNowMs(), linkFreeAtMs);
		linkFreeAtMs = startMs + (bytes / linkBytesPerSecond * 1000);
		transferredBytes += bytes;

		return linkFreeAtMs - scheduler.getNowMs();
	};

	const countHeldPieces = (requested: readonly string[]) => {
		const missing = requested.findIndex(piece => !pieces.has(piece));

		return isUp ? (missing === -1 ? requested.length : missing) : 0;
	};

	const addPiece = (piece: string) => {
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
		countHeldPieces,
		fetch(requested, firstPiece, onDone) {
			const held = countHeldPieces(requested);
			scheduler.schedule(transfer(Math.max(0, held - firstPiece) * bytesPerPiece), () => {
				// Pieces that were evicted or lost during the transfer have not arrived.
				const arrived = countHeldPieces(requested.slice(0, held));

				for (const piece of requested.slice(0, arrived)) {
					addPiece(piece);
				}

				onDone(arrived);
			});
		},
		put(exported) {
			const missing = exported.filter(piece => !pieces.has(piece));
			scheduler.schedule(transfer(missing.length * bytesPerPiece), () => {
				if (isUp) {
					for (const piece of exported) {
						addPiece(piece);
					}
				}
			});
		},
		getQueuedBytes: () => Math.max(0, linkFreeAtMs - scheduler.getNowMs()) * linkBytesPerSecond / 1000,
		getTransferredBytes: () => transferredBytes,
		fail() {
			isUp = false;
			pieces.clear();
		},
		isUp: () => isUp,
	};
}
