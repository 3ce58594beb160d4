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
	/** Called for each piece that is inserted into the cache or evicted from it. */
	readonly onCacheEvent: (piece: string, isCached: boolean) => void;
};

export type EngineJob = {
	readonly priority: Priority;
	readonly pieces: readonly string[];
	readonly tokens: number;
	readonly outputTokens: number;
	readonly shouldCrashEngine: boolean;
	/** Number of leading pieces that were fetched from a store. */
	readonly fetchedPieces: number;
	readonly onFirstToken: (recomputedTokens: number) => void;
	readonly onDone: () => void;
	/** Called if the engine crashes before the job has finished. */
	readonly onCrash: () => void;
};

/** `recomputedTokens` is -1 until the job is first picked for prefill. */
type JobState = {readonly job: EngineJob; remainingPrefillTokens: number; recomputedTokens: number};

/** A model of an engine in virtual time: chunked prefill that serves short prompts first, a decode batch with a fixed number of slots, and a bounded LRU cache. */
export type EngineModel = {
	readonly id: string;
	readonly start: (job: EngineJob) => void;
	readonly crash: (downtimeMs: number) => void;
	readonly isUp: () => boolean;
	readonly getLoad: () => EngineLoad;
	/** Number of leading pieces that are cached without a gap. */
	readonly countHeldPieces: (pieces: readonly string[]) => number;
};

/** Creates an engine model. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
	const {
		id, scheduler, prefillTokensPerSecond, decodeMs, slots, cachePieces, onCacheEvent,
	} = options;
	const cache = new Set<string>();
	let waiting: JobState[] = [];
	let decoding = new Set<JobState>();
	let isPrefilling = false;
	let incarnation = 0;
	let isUp = true;

	const countHeldPieces = (pieces: readonly string[]) => {
		const missing = pieces.findIndex(piece => !cache.has(piece));

		return missing === -1 ? pieces.length : missing;
	};

	const countMissingTokens = ({pieces, fetchedPieces, tokens}: EngineJob) =>
		Math.max(0, tokens - (Math.max(countHeldPieces(pieces), fetchedPieces) * pieceTokens));

	const updateCache = (pieces: readonly string[]) => {
		for (const piece of pieces) {
			const wasCached = cache.delete(piece);
			cache.add(piece);

			if (!wasCached) {
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

	// Drops the callback if the engine crashes first.
	const schedule = (delayMs: number, run: () => void) => {
		const scheduledIncarnation = incarnation;
		scheduler.schedule(delayMs, () => {
			if (scheduledIncarnation === incarnation) {
				run();
			}
		});
	};

	// Counts cache misses only when a job is picked: the cache changes while the job waits.
	const pickNextJob = () => {
		const next = waiting.find(state => state.job.priority === Priority.Short) ?? waiting[0];

		if (next !== undefined && next.recomputedTokens < 0) {
			next.recomputedTokens = countMissingTokens(next.job);
			next.remainingPrefillTokens = next.recomputedTokens + 1;
		}

		return next;
	};

	const prefill = () => {
		if (isPrefilling || decoding.size >= slots) {
			return;
		}

		const next = pickNextJob();

		if (next === undefined) {
			return;
		}

		isPrefilling = true;
		const chunk = Math.min(pieceTokens, next.remainingPrefillTokens);
		schedule(chunk / prefillTokensPerSecond * 1000, () => {
			isPrefilling = false;
			next.remainingPrefillTokens -= chunk;

			if (next.remainingPrefillTokens <= 0) {
				startDecoding(next);
			}

			prefill();
		});
	};

	const startDecoding = (state: JobState) => {
		waiting = waiting.filter(other => other !== state);

		if (state.job.shouldCrashEngine) {
			crash(crashDowntimeMs);

			return;
		}

		decoding.add(state);
		updateCache(state.job.pieces);
		state.job.onFirstToken(state.recomputedTokens);
		schedule(state.job.outputTokens * decodeMs, () => {
			decoding.delete(state);
			state.job.onDone();
			prefill();
		});
	};

	const crash = (downMs: number) => {
		const lost = [...waiting, ...decoding];
		incarnation++;
		isUp = false;
		waiting = [];
		decoding = new Set();
		isPrefilling = false;

		for (const piece of cache) {
			onCacheEvent(piece, false);
		}

		cache.clear();
		scheduler.schedule(downMs, () => {
			isUp = true;
		});

		for (const {job} of lost) {
			job.onCrash();
		}
	};

	return {
		id,
		start(job) {
			waiting.push({job, remainingPrefillTokens: countMissingTokens(job), recomputedTokens: -1});
			prefill();
		},
		crash,
		isUp: () => isUp,
		getLoad() {
			const long = waiting.filter(state => state.job.priority === Priority.Long);
			const short = waiting.filter(state => state.job.priority === Priority.Short);
			const decodingLong = [...decoding].filter(state => state.job.priority === Priority.Long).length;
			const sumRemainingTokens = (states: readonly JobState[]) => states.reduce((total, state) => total + state.remainingPrefillTokens, 0);

			return {
				running: decoding.size, waitingShort: short.length, waitingLong: long.length, longInProgress: long.length + decodingLong, slots,
				queuedShortTokens: sumRemainingTokens(short), queuedLongTokens: sumRemainingTokens(long),
			};
		},
		countHeldPieces,
	};
}

const crashDowntimeMs = 20_000;
