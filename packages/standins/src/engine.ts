import {type EngineLoad} from '@fescuestair/protocol';
import {
	computePieces, countTokens, pieceTokens, Priority,
} from '@fescuestair/routing';
import {createAnswerToken} from './answer.js';
import {createEngineCache, type EngineCache} from './engine-cache.js';
import {createEngineTransfers, type EngineTransfers} from './engine-transfers.js';

export type EngineOptions = {
	readonly prefillTokensPerSecond: number;
	/** Time between two tokens of one request. */
	readonly decodeMs: number;
	readonly slots: number;
	/** Pieces of cached prompt that fit into memory. */
	readonly cachePieces: number;
	/** Size of one cached piece. */
	readonly pieceBytes?: number;
	/** Events kept for those who follow the cache. */
	readonly maxEvents?: number;
	/** Called when a prompt that crashes engines reaches its first token. */
	readonly onCrash: () => void;
	/** Runs without a reader are kept this long. */
	readonly keepMs?: number;
};

export type RunInput = {
	readonly requestId: string;
	readonly organisation: string;
	readonly model: string;
	readonly weightVersion: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly priority: Priority;
	readonly continueText: string;
	readonly fromOffset: number;
	/** Pieces of an import that the run may use. */
	readonly import?: {readonly id: string; readonly hashes: readonly string[]};
};

/** A run and what it has produced. */
export type Run = {
	readonly input: RunInput;
	readonly tokens: string[];
	readonly listeners: Set<() => void>;
	prefillLeft: number;
	/** Whether all cached pieces that it uses are those of its prompt. */
	isSound: boolean;
	isDone: boolean;
};

/** A small engine: prefill one request after another in chunks, decode in a batch, a cache of limited size. */
export type Engine = {
	readonly start: (input: RunInput) => Run;
	readonly findRun: (requestId: string) => Run | undefined;
	readonly cancel: (requestId: string) => void;
	readonly getLoad: () => EngineLoad;
	readonly cache: Pick<EngineCache, 'log' | 'takeSnapshot'>;
	readonly transfers: EngineTransfers;
	/** Prompt tokens computed since the start. */
	readonly countPrefilled: () => number;
	/** Frees all cached pieces: they belong to other weights. */
	readonly clearCache: () => void;
	readonly stop: () => void;
};

/** Prompt that makes an engine crash. */
const crashMarker = 'CRASH-THE-ENGINE';
/** Given in place of each token by a run that reads a wrong piece. */
const wrongToken = 'WRONG ';
const chunkTokens = 1000;
const defaultMaxEvents = 10_000;
const defaultPieceBytes = 65_536;

/**
Creates an engine stand-in.

@example
```
const engine = createEngine({prefillTokensPerSecond: 8000, decodeMs: 20, slots: 8, cachePieces: 100, onCrash() {}});
```
*/
export function createEngine(options: EngineOptions): Engine {
	const {
		prefillTokensPerSecond, decodeMs, slots, cachePieces, onCrash, keepMs = 10_000, maxEvents = defaultMaxEvents, pieceBytes = defaultPieceBytes,
	} = options;
	const runs = new Map<string, Run>();
	const cache = createEngineCache(cachePieces, maxEvents);
	const transfers = createEngineTransfers({cache, pieceBytes});
	let waiting: Run[] = [];
	let running: Run[] = [];
	let prefilledTokens = 0;
	let isPrefilling = false;

	const hashPrompt = (input: RunInput) => computePieces({
		organisation: input.organisation, model: input.model, adapter: '', weightVersion: input.weightVersion,
	}, input.prompt);

	const cachePrompt = ({input, isSound}: Run) => {
		const hashes = hashPrompt(input);
		cache.add(hashes.map(hash => cache.findPiece(hash) ?? {hash, root: hashes[0]!, isSound}));
	};

	// Short requests go before long ones between two chunks.
	const pickWaiting = () => waiting.find(run => !isLong(run)) ?? waiting[0];

	const prefillNext = () => {
		const run = running.length < slots ? pickWaiting() : undefined;

		if (run === undefined || isPrefilling) {
			return;
		}

		isPrefilling = true;
		const chunk = Math.min(chunkTokens, run.prefillLeft);
		setTimeout(() => {
			isPrefilling = false;
			run.prefillLeft -= chunk;
			prefilledTokens += chunk;

			if (run.prefillLeft <= 0 && waiting.includes(run)) {
				waiting = waiting.filter(other => other !== run);
				running.push(run);
				cachePrompt(run);
				emitToken(run);
			}

			prefillNext();
		}, chunk / prefillTokensPerSecond * 1000);
	};

	const emitToken = (run: Run) => {
		if (run.input.prompt.includes(crashMarker)) {
			onCrash();

			return;
		}

		const token = createAnswerToken(run.input.prompt, run.input.fromOffset + run.tokens.length);
		run.tokens.push(run.isSound ? token : wrongToken);

		if (run.input.fromOffset + run.tokens.length >= run.input.maxTokens) {
			finishRun(run);
		}

		for (const listener of run.listeners) {
			listener();
		}
	};

	const finishRun = (run: Run) => {
		run.isDone = true;
		running = running.filter(other => other !== run);
		setTimeout(() => {
			if (runs.get(run.input.requestId) === run) {
				runs.delete(run.input.requestId);
			}
		}, keepMs).unref();
		prefillNext();
	};

	const decodeTimer = setInterval(() => {
		for (const run of running) {
			emitToken(run);
		}
	}, decodeMs);

	return {
		start(input) {
			const hashes = hashPrompt(input);

			if (input.import !== undefined) {
				transfers.useImport(input.import.id, hashes[0]!, input.import.hashes);
			}

			const held = cache.takePrefix(hashes);
			const run: Run = {
				input,
				tokens: [],
				listeners: new Set(),
				prefillLeft: Math.max(1, countTokens(input.prompt + input.continueText) - (held.length * pieceTokens)),
				isSound: held.every(piece => piece.isSound),
				isDone: false,
			};
			runs.set(input.requestId, run);
			waiting.push(run);
			prefillNext();

			return run;
		},
		findRun: requestId => runs.get(requestId),
		cancel(requestId) {
			const run = runs.get(requestId);

			if (run !== undefined) {
				waiting = waiting.filter(other => other !== run);
				runs.delete(requestId);
				finishRun(run);
			}
		},
		getLoad() {
			const waitingLong = waiting.filter(run => isLong(run));
			const waitingShort = waiting.filter(run => !isLong(run));

			return {
				running: running.length,
				waitingShort: waitingShort.length,
				waitingLong: waitingLong.length,
				longInProgress: waitingLong.length + running.filter(run => isLong(run)).length,
				slots,
				queuedShortTokens: sumPrefill(waitingShort),
				queuedLongTokens: sumPrefill(waitingLong),
			};
		},
		cache,
		transfers,
		countPrefilled: () => prefilledTokens,
		clearCache: cache.clear,
		stop() {
			clearInterval(decodeTimer);
		},
	};
}

function isLong({input}: Run): boolean {
	return input.priority === Priority.Long;
}

function sumPrefill(runs: readonly Run[]): number {
	let sum = 0;

	for (const run of runs) {
		sum += run.prefillLeft;
	}

	return sum;
}
