/** Memory that counts in a budget. */
export type Holding = {
	/** Sets how many bytes it takes, which may evict others or itself. Returns whether it still counts. */
	readonly resize: (bytes: number) => boolean;
	/** Keeps it from being evicted from now on. */
	readonly keep: () => void;
	/** Counts it no longer. */
	readonly release: () => void;
};

/** What may be evicted from a budget. */
export type EvictionCandidate = {readonly bytes: number};

export type MemoryBudgetOptions = {
	/** Upper bound for all holdings together. */
	readonly maxBytes: number;
	/** Picks which of the candidates gives way, in the order in which they were opened; `undefined` for none. */
	readonly pickVictim: <Candidate extends EvictionCandidate>(candidates: readonly Candidate[]) => Candidate | undefined;
};

export type MemoryBudget = {
	/** `onEvict` is called when the holding has to give way; it counts no longer then. */
	readonly open: (onEvict: () => void) => Holding;
	readonly countBytes: () => number;
};

type OpenHolding = {bytes: number; isOpen: boolean; readonly onEvict: () => void};

/** Picks the candidate with the most bytes, so that what does not end takes no memory from others. */
export function pickLargest<Candidate extends EvictionCandidate>(candidates: readonly Candidate[]): Candidate | undefined {
	let largest: Candidate | undefined;

	for (const candidate of candidates) {
		if (candidate.bytes > (largest?.bytes ?? 0)) {
			largest = candidate;
		}
	}

	return largest;
}

/** Picks the candidate that was opened last, so that those before it come to their end. */
export function pickLatest<Candidate>(candidates: readonly Candidate[]): Candidate | undefined {
	return candidates.at(-1);
}

/**
Creates a budget for the memory of bodies that are held.

@example
```
const budget = createMemoryBudget({maxBytes: 64_000_000, pickVictim: pickLargest});
const holding = budget.open(() => attempt.cancel(RunEvidence.OutOfMemory));
holding.resize(65_536); //=> true
holding.release();
```
*/
export function createMemoryBudget({maxBytes, pickVictim}: MemoryBudgetOptions): MemoryBudget {
	const candidates = new Set<OpenHolding>();
	let totalBytes = 0;

	const close = (holding: OpenHolding) => {
		candidates.delete(holding);
		totalBytes -= holding.bytes;
		holding.bytes = 0;
		holding.isOpen = false;
	};

	const findVictim = () => totalBytes > maxBytes ? pickVictim([...candidates]) : undefined;

	const evictUntilFit = () => {
		for (let victim = findVictim(); victim !== undefined; victim = findVictim()) {
			close(victim);
			victim.onEvict();
		}
	};

	return {
		open(onEvict) {
			const holding: OpenHolding = {bytes: 0, isOpen: true, onEvict};
			candidates.add(holding);

			return {
				resize(bytes) {
					if (holding.isOpen) {
						totalBytes += bytes - holding.bytes;
						holding.bytes = bytes;
						evictUntilFit();
					}

					return holding.isOpen;
				},
				keep() {
					candidates.delete(holding);
				},
				release() {
					close(holding);
				},
			};
		},
		countBytes: () => totalBytes,
	};
}
