import {pieceTokens, Priority} from '@fescuestair/routing';
import {type EngineLoad} from '@fescuestair/protocol';
import {type Scheduler} from './scheduler.js';

export type EngineModelOptions = {
	readonly id: string;
	readonly scheduler: Scheduler;
	readonly prefillTokensPerSecond: number;
	readonly decodeMs: number;
	readonly slots: number;
	readonly cachePieces: number;
	/** Told of pieces that enter or leave the cache. */
	readonly onCacheEvent: (piece: string, isHeld: boolean) => void;
};

export type EngineJob = {
	readonly priority: Priority;
	readonly pieces: readonly string[];
	readonly tokens: number;
	readonly outputTokens: number;
	readonly isCrash: boolean;
	/** Pieces that have been fetched from a store. */
	readonly fetchedPieces: number;
	readonly onFirstToken: (recomputedTokens: number) => void;
	readonly onDone: () => void;
	readonly onLost: () => void;
};

type Running = {readonly job: EngineJob; prefillLeft: number; recomputed: number};

/** An engine in virtual time: chunked prefill, short prompts first, a batch of places, a cache of limited size. */
export type EngineModel = {
	readonly id: string;
	readonly start: (job: EngineJob) => void;
	readonly crash: (downMs: number) => void;
	readonly isUp: () => boolean;
	readonly getLoad: () => EngineLoad;
	readonly countHeld: (pieces: readonly string[]) => number;
};

/** Creates an engine model. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
	const {
		id, scheduler, prefillTokensPerSecond, decodeMs, slots, cachePieces, onCacheEvent,
	} = options;
	const cache = new Set<string>();
	let waiting: Running[] = [];
	let placed = new Set<Running>();
	let isPrefilling = false;
	let life = 0;
	let isUp = true;

	const countHeld = (pieces: readonly string[]) => {
		const missing = pieces.findIndex(piece => !cache.has(piece));

		return missing === -1 ? pieces.length : missing;
	};

	const countMissing = ({pieces, fetchedPieces, tokens}: EngineJob) =>
		Math.max(0, tokens - (Math.max(countHeld(pieces), fetchedPieces) * pieceTokens));

	const keepPieces = (pieces: readonly string[]) => {
		for (const piece of pieces) {
			const wasHeld = cache.delete(piece);
			cache.add(piece);

			if (!wasHeld) {
				onCacheEvent(piece, true);
			}
		}

		for (const piece of cache) {
			if (cache.size <= cachePieces) {
				return;
			}

			cache.delete(piece);
			onCacheEvent(piece, false);
		}
	};

	const schedule = (delayMs: number, run: () => void) => {
		const bornIn = life;
		scheduler.schedule(delayMs, () => {
			if (bornIn === life) {
				run();
			}
		});
	};

	// What the cache holds is known only when a prompt's turn comes.
	const takeNext = () => {
		const next = waiting.find(one => one.job.priority === Priority.Short) ?? waiting[0];

		if (next !== undefined && next.recomputed < 0) {
			next.recomputed = countMissing(next.job);
			next.prefillLeft = next.recomputed + 1;
		}

		return next;
	};

	const prefill = () => {
		if (isPrefilling || placed.size >= slots) {
			return;
		}

		const next = takeNext();

		if (next === undefined) {
			return;
		}

		isPrefilling = true;
		const chunk = Math.min(pieceTokens, next.prefillLeft);
		schedule(chunk / prefillTokensPerSecond * 1000, () => {
			isPrefilling = false;
			next.prefillLeft -= chunk;

			if (next.prefillLeft <= 0) {
				place(next);
			}

			prefill();
		});
	};

	const place = (one: Running) => {
		waiting = waiting.filter(other => other !== one);

		if (one.job.isCrash) {
			crash(crashDownMs);

			return;
		}

		placed.add(one);
		keepPieces(one.job.pieces);
		one.job.onFirstToken(one.recomputed);
		schedule(one.job.outputTokens * decodeMs, () => {
			placed.delete(one);
			one.job.onDone();
			prefill();
		});
	};

	const crash = (downMs: number) => {
		const lost = [...waiting, ...placed];
		life++;
		isUp = false;
		waiting = [];
		placed = new Set();
		isPrefilling = false;

		for (const piece of cache) {
			onCacheEvent(piece, false);
		}

		cache.clear();
		scheduler.schedule(downMs, () => {
			isUp = true;
		});

		for (const {job} of lost) {
			job.onLost();
		}
	};

	return {
		id,
		start(job) {
			waiting.push({job, prefillLeft: countMissing(job), recomputed: -1});
			prefill();
		},
		crash,
		isUp: () => isUp,
		getLoad() {
			const long = waiting.filter(one => one.job.priority === Priority.Long);
			const short = waiting.filter(one => one.job.priority === Priority.Short);
			const placedLong = [...placed].filter(one => one.job.priority === Priority.Long).length;
			const sum = (list: readonly Running[]) => list.reduce((total, one) => total + one.prefillLeft, 0);

			return {
				running: placed.size, waitingShort: short.length, waitingLong: long.length, longInProgress: long.length + placedLong, slots,
				queuedShortTokens: sum(short), queuedLongTokens: sum(long),
			};
		},
		countHeld,
	};
}

const crashDownMs = 20_000;
