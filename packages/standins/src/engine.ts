import {type EngineLoad} from '@fescuestair/protocol';
import {
	computePieces, countTokens, pieceTokens, Priority,
} from '@fescuestair/routing';
import {createAnswerToken} from './answer.js';

export type EngineOptions = {
	readonly prefillTokensPerSecond: number;
	/** Time between two tokens of one request. */
	readonly decodeMs: number;
	readonly slots: number;
	/** Pieces of cached prompt that fit into memory. */
	readonly cachePieces: number;
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
};

/** A run and what it has produced. */
export type Run = {
	readonly input: RunInput;
	readonly tokens: string[];
	readonly listeners: Set<() => void>;
	prefillLeft: number;
	isDone: boolean;
};

export type CacheEvent = {readonly sequence: number; readonly hash: string; readonly isHeld: boolean};

/** A small engine: prefill one request after another in chunks, decode in a batch, a cache of limited size. */
export type Engine = {
	readonly start: (input: RunInput) => Run;
	readonly findRun: (requestId: string) => Run | undefined;
	readonly cancel: (requestId: string) => void;
	readonly getLoad: () => EngineLoad;
	readonly listCacheEvents: (afterSequence: number) => readonly CacheEvent[];
	/** Frees all cached pieces: they belong to other weights. */
	readonly clearCache: () => void;
	readonly stop: () => void;
};

/** Prompt that makes an engine crash. */
const crashMarker = 'CRASH-THE-ENGINE';
const chunkTokens = 1000;
const maxEvents = 10_000;

/**
Creates an engine stand-in.

@example
```
const engine = createEngine({prefillTokensPerSecond: 8000, decodeMs: 20, slots: 8, cachePieces: 100, onCrash() {}});
```
*/
export function createEngine(options: EngineOptions): Engine {
	const {
		prefillTokensPerSecond, decodeMs, slots, cachePieces, onCrash, keepMs = 10_000,
	} = options;
	const runs = new Map<string, Run>();
	const cache = new Map<string, true>();
	const events: CacheEvent[] = [];
	let waiting: Run[] = [];
	let running: Run[] = [];
	let sequence = 0;
	let isPrefilling = false;

	const noteEvent = (hash: string, isHeld: boolean) => {
		sequence++;
		events.push({sequence, hash, isHeld});
		events.splice(0, Math.max(0, events.length - maxEvents));
	};

	const cachePrompt = (hashes: readonly string[]) => {
		for (const hash of hashes) {
			const wasHeld = cache.delete(hash);
			cache.set(hash, true);

			if (!wasHeld) {
				noteEvent(hash, true);
			}
		}

		while (cache.size > cachePieces) {
			const oldest = cache.keys().next().value!;
			cache.delete(oldest);
			noteEvent(oldest, false);
		}
	};

	const hashPrompt = (input: RunInput) => computePieces({
		organisation: input.organisation, model: input.model, adapter: '', weightVersion: input.weightVersion,
	}, input.prompt);

	const countCached = (hashes: readonly string[]) => {
		const firstMissing = hashes.findIndex(hash => !cache.has(hash));

		return firstMissing === -1 ? hashes.length : firstMissing;
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

			if (run.prefillLeft <= 0 && waiting.includes(run)) {
				waiting = waiting.filter(other => other !== run);
				running.push(run);
				cachePrompt(hashPrompt(run.input));
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

		run.tokens.push(createAnswerToken(run.input.prompt, run.input.fromOffset + run.tokens.length));

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
			const known = countCached(hashes) * pieceTokens;
			const run: Run = {
				input,
				tokens: [],
				listeners: new Set(),
				prefillLeft: Math.max(1, countTokens(input.prompt + input.continueText) - known),
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
		listCacheEvents: afterSequence => events.filter(event => event.sequence > afterSequence),
		clearCache() {
			for (const hash of cache.keys()) {
				noteEvent(hash, false);
			}

			cache.clear();
		},
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
