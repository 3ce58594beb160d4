import {performance} from 'node:perf_hooks';

/** Memory that counts in a budget. */
export type Holding = {
	/** Sets how many bytes it takes, which may evict others or itself. Returns whether it still counts. */
	readonly resize: (bytes: number) => boolean;
	/** Tells how far it has come where it takes its memory before that is filled. */
	readonly recordProgress: (bytes: number) => void;
	/** Keeps it from being evicted from now on. */
	readonly keep: () => void;
	/** Counts it no longer. */
	readonly release: () => void;
};

/** What may be evicted from a budget. */
export type EvictionCandidate = {
	readonly bytes: number;
	/** When it was opened or last came on by more than a slow sender's share, on the monotonic clock. */
	readonly advancedAtMs: number;
};

/** Picks which of the candidates gives way, in the order in which they were opened; `undefined` for none. */
export type VictimPicker = <Candidate extends EvictionCandidate>(candidates: readonly Candidate[], nowMs: number) => Candidate | undefined;

export type MemoryBudgetOptions = {
	/** Upper bound for all holdings together. */
	readonly maxBytes: number;
	readonly pickVictim: VictimPicker;
	readonly readNowMs?: () => number;
};

export type MemoryBudget = {
	/** `onEvict` is called when the holding has to give way; it counts no longer then. */
	readonly open: (onEvict: () => void) => Holding;
	readonly countBytes: () => number;
	/** Sets the upper bound, from the next change of a holding on. */
	readonly setMaxBytes: (maxBytes: number) => void;
};

type OpenHolding = {
	bytes: number; advancedBytes: number; advancedAtMs: number; isOpen: boolean; readonly onEvict: () => void;
};

/** What comes on by less than this within the time below is slow. */
const minProgressBytes = 16_384;
const slowAfterMs = 1000;
/** Nothing is gained where less gives way. */
const minVictimBytes = 65_536;

/** Picks the candidate with the most bytes, so that what does not end takes no memory from others; of several, the one that was opened last. */
export function pickLargest<Candidate extends EvictionCandidate>(candidates: readonly Candidate[]): Candidate | undefined {
	let largest: Candidate | undefined;

	for (const candidate of candidates) {
		if (candidate.bytes >= (largest?.bytes ?? 0)) {
			largest = candidate;
		}
	}

	return largest;
}

/**
Picks the candidate that has not come on for the longest time. Where none is slow, picks the one that was opened last, so that those before it come to their end. Small ones are picked
only where there are no others.

Load pattern: callers that stop short of the end of large bodies, or take no answers, beside others that send and read as fast as they can.
*/
export function pickSlowest<Candidate extends EvictionCandidate>(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
	return findSlowest(candidates, nowMs) ?? candidates.findLast(candidate => candidate.bytes >= minVictimBytes) ?? candidates.at(-1);
}

/**
Picks the candidate that has not come on for the longest time. Where none is slow, picks the largest.

Load pattern: answers that callers do not take, beside answers of instances that do not end.
*/
export function pickSlowestOrLargest<Candidate extends EvictionCandidate>(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
	return findSlowest(candidates, nowMs) ?? pickLargest(candidates);
}

function findSlowest<Candidate extends EvictionCandidate>(candidates: readonly Candidate[], nowMs: number): Candidate | undefined {
	let slowest: Candidate | undefined;

	for (const candidate of candidates) {
		const isSlow = candidate.bytes >= minVictimBytes && nowMs - candidate.advancedAtMs >= slowAfterMs;

		if (isSlow && candidate.advancedAtMs < (slowest?.advancedAtMs ?? Number.POSITIVE_INFINITY)) {
			slowest = candidate;
		}
	}

	return slowest;
}

/**
Creates a budget for memory that is held for others.

@example
```
const budget = createMemoryBudget({maxBytes: 64_000_000, pickVictim: pickLargest});
const holding = budget.open(() => attempt.cancel(RunEvidence.OutOfMemory));
holding.resize(65_536); //=> true
holding.release();
```
*/
export function createMemoryBudget({maxBytes: initialMaxBytes, pickVictim, readNowMs = () => performance.now()}: MemoryBudgetOptions): MemoryBudget {
	const candidates = new Set<OpenHolding>();
	let maxBytes = initialMaxBytes;
	let totalBytes = 0;

	const close = (holding: OpenHolding) => {
		candidates.delete(holding);
		totalBytes -= holding.bytes;
		holding.bytes = 0;
		holding.isOpen = false;
	};

	const findVictim = () => totalBytes > maxBytes ? pickVictim([...candidates], readNowMs()) : undefined;

	const evictUntilFit = () => {
		for (let victim = findVictim(); victim !== undefined; victim = findVictim()) {
			close(victim);
			victim.onEvict();
		}
	};

	return {
		open(onEvict) {
			const holding: OpenHolding = {
				bytes: 0, advancedBytes: 0, advancedAtMs: readNowMs(), isOpen: true, onEvict,
			};
			candidates.add(holding);

			const recordProgress = (bytes: number) => {
				if (Math.abs(bytes - holding.advancedBytes) >= minProgressBytes) {
					holding.advancedBytes = bytes;
					holding.advancedAtMs = readNowMs();
				}
			};

			return {
				resize(bytes) {
					if (holding.isOpen) {
						totalBytes += bytes - holding.bytes;
						holding.bytes = bytes;
						recordProgress(bytes);
						evictUntilFit();
					}

					return holding.isOpen;
				},
				recordProgress,
				keep() {
					candidates.delete(holding);
				},
				release() {
					close(holding);
				},
			};
		},
		countBytes: () => totalBytes,
		setMaxBytes(bytes) {
			maxBytes = bytes;
		},
	};
}
