import {type EngineLoad} from '@fescuestair/protocol';
import {
	hashPieces, estimateTokenCount, pieceTokens, Priority,
} from '@fescuestair/routing';
import {createResponseToken} from './response-text.js';
import {createEngineCache, type EngineCache} from './engine-cache.js';
import {createEngineTransfers, type EngineTransfers} from './engine-transfers.js';

export type EngineOptions = {
	readonly prefillTokensPerSecond: number;
	/** Time between two tokens of one run. */
	readonly decodeIntervalMs: number;
	readonly slots: number;
	/** Version of its software, which shows in its text. */
	readonly softwareVersion?: string;
	/** Cached pieces that fit into memory. */
	readonly maxCachedPieces: number;
	/** Size of one cached piece. */
	readonly pieceBytes?: number;
	/** Cache events that are kept for readers of the event log. */
	readonly maxEvents?: number;
	/** Called when a prompt that contains the crash marker is about to emit its first token. */
	readonly onCrash: () => void;
	/** Time for which a run is kept after its end, so that it can be resumed. */
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
	/** An earlier import, and those of its pieces that the run may use. */
	readonly import?: {readonly id: string; readonly hashes: readonly string[]};
};

/** A generation request and the tokens produced so far. */
export type Run = {
	readonly input: RunInput;
	readonly tokens: string[];
	readonly listeners: Set<() => void>;
	remainingPrefillTokens: number;
	/** Whether all cached pieces that the run reuses match its prompt. */
	hasIntactPrefix: boolean;
	isDone: boolean;
};

/** A simulated engine: prefills one run at a time in chunks, decodes all running ones as a batch, and caches pieces of prompts in limited memory. */
export type Engine = {
	readonly start: (input: RunInput) => Run;
	readonly findRun: (requestId: string) => Run | undefined;
	readonly cancel: (requestId: string) => void;
	readonly getLoad: () => EngineLoad;
	readonly cache: Pick<EngineCache, 'log' | 'createSnapshot'>;
	readonly transfers: EngineTransfers;
	/** Prompt tokens prefilled since the start of the process. */
	readonly countPrefilledTokens: () => number;
	/** Evicts all cached pieces; called after new weights were loaded, since the pieces were computed with the old ones. */
	readonly clearCache: () => void;
	readonly stop: () => void;
};

/** A prompt that contains this text makes the engine crash. */
const crashMarker = 'CRASH-THE-ENGINE';
/** Emitted in place of each token by a run that reused a corrupt piece, so that tests see the corruption. */
const corruptToken = 'WRONG ';
const prefillChunkTokens = 1000;
const defaultMaxEvents = 10_000;
const defaultPieceBytes = 65_536;

/**
Creates a simulated engine.

@example
```
const engine = createEngine({prefillTokensPerSecond: 8000, decodeIntervalMs: 20, slots: 8, maxCachedPieces: 100, onCrash() {}});
```
*/
export function createEngine(options: EngineOptions): Engine {
	const {
		prefillTokensPerSecond, decodeIntervalMs, slots, softwareVersion, maxCachedPieces, onCrash, keepMs = 10_000, maxEvents = defaultMaxEvents, pieceBytes = defaultPieceBytes,
	} = options;
	const runs = new Map<string, Run>();
	const cache = createEngineCache(maxCachedPieces, maxEvents);
	const transfers = createEngineTransfers({cache, pieceBytes});
	let waiting: Run[] = [];
	let running: Run[] = [];
	let prefilledTokens = 0;
	let isPrefilling = false;

	const hashPromptPieces = (input: RunInput) => hashPieces({
		organisation: input.organisation, model: input.model, adapter: '', weightVersion: input.weightVersion,
	}, input.prompt);

	const cachePrompt = ({input, hasIntactPrefix}: Run) => {
		const hashes = hashPromptPieces(input);
		cache.add(hashes.map(hash => cache.findPiece(hash) ?? {hash, root: hashes[0]!, isIntact: hasIntactPrefix}));
	};

	// After each chunk, waiting short requests take precedence over long ones.
	const pickNextWaiting = () => waiting.find(run => !isLong(run)) ?? waiting[0];

	const prefillNext = () => {
		const run = running.length < slots ? pickNextWaiting() : undefined;

		if (run === undefined || isPrefilling) {
			return;
		}

		isPrefilling = true;
		const chunk = Math.min(prefillChunkTokens, run.remainingPrefillTokens);
		setTimeout(() => {
			isPrefilling = false;
			run.remainingPrefillTokens -= chunk;
			prefilledTokens += chunk;

			if (run.remainingPrefillTokens <= 0 && waiting.includes(run)) {
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

		const token = createResponseToken(run.input.prompt, run.input.fromOffset + run.tokens.length, softwareVersion);
		run.tokens.push(run.hasIntactPrefix ? token : corruptToken);

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
	}, decodeIntervalMs);

	return {
		start(input) {
			const hashes = hashPromptPieces(input);

			if (input.import !== undefined) {
				transfers.applyImport(input.import.id, hashes[0]!, input.import.hashes);
			}

			const cachedPrefix = cache.findPrefix(hashes);
			const run: Run = {
				input,
				tokens: [],
				listeners: new Set(),
				remainingPrefillTokens: Math.max(1, estimateTokenCount(input.prompt + input.continueText) - (cachedPrefix.length * pieceTokens)),
				hasIntactPrefix: cachedPrefix.every(piece => piece.isIntact),
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
				queuedShortTokens: sumRemainingPrefill(waitingShort),
				queuedLongTokens: sumRemainingPrefill(waitingLong),
			};
		},
		cache,
		transfers,
		countPrefilledTokens: () => prefilledTokens,
		clearCache: cache.clear,
		stop() {
			clearInterval(decodeTimer);
		},
	};
}

function isLong({input}: Run): boolean {
	return input.priority === Priority.Long;
}

function sumRemainingPrefill(runs: readonly Run[]): number {
	let sum = 0;

	for (const run of runs) {
		sum += run.remainingPrefillTokens;
	}

	return sum;
}
