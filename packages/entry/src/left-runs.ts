/** A run by the organisation and the id of the request that began it. */
export type RunKey = {readonly organisation: string; readonly requestId: string};

/** A run whose caller has lost its connection or left, and may come back for the rest of the answer. */
export type LeftRun = RunKey & {
	/** Cancels it at its engine. */
	readonly cancel: () => void;
};

/** Who reads a run last: `undefined` for the request that began it. */
export type RunClaim = number | undefined;

export type LeftRuns = {
	/** Lets a run go on for a while, unless another request has begun to read it since the claim. */
	readonly keep: (run: LeftRun, claim: RunClaim) => void;
	/** Notes that another request reads a run, here or at another entry, which is responsible for it from now on. */
	readonly claim: (run: RunKey) => RunClaim;
	/** Forgets all: their callers go on at another entry. */
	readonly stop: () => void;
};

/** Callers are promised that an answer is kept this long. */
const defaultKeepMs = 10_000;
/** A connection that is lost without a word may be noticed as late as this. */
const claimMemoryMs = 600_000;

/**
Creates the list of the runs that were left at one entry. A run is cancelled unless its caller comes back in time, since it takes a place at its engine.

@example
```
const leftRuns = createLeftRuns();
leftRuns.keep({organisation: 'okahandja', requestId: 'r-1', cancel}, undefined);
leftRuns.claim({organisation: 'okahandja', requestId: 'r-1'});
```
*/
export function createLeftRuns({keepMs = defaultKeepMs}: {readonly keepMs?: number} = {}): LeftRuns {
	const cancellations = new Map<string, NodeJS.Timeout>();
	const claims = new Map<string, {readonly claim: number; readonly expiry: NodeJS.Timeout}>();
	const formatKey = ({organisation, requestId}: RunKey) => `${organisation} ${requestId}`;
	let claimCount = 0;

	return {
		keep(run, claim) {
			const key = formatKey(run);

			if (claims.get(key)?.claim !== claim) {
				return;
			}

			clearTimeout(cancellations.get(key));
			cancellations.set(key, setTimeout(() => {
				cancellations.delete(key);
				run.cancel();
			}, keepMs).unref());
		},
		claim(run) {
			const key = formatKey(run);
			clearTimeout(cancellations.get(key));
			cancellations.delete(key);
			clearTimeout(claims.get(key)?.expiry);
			claimCount++;
			claims.set(key, {
				claim: claimCount,
				expiry: setTimeout(() => {
					claims.delete(key);
				}, claimMemoryMs).unref(),
			});

			return claimCount;
		},
		stop() {
			for (const timer of [...cancellations.values(), ...[...claims.values()].map(({expiry}) => expiry)]) {
				clearTimeout(timer);
			}

			cancellations.clear();
			claims.clear();
		},
	};
}
