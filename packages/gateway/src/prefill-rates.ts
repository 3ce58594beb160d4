/** Prefill rates of the engines of each service, in prompt tokens per ms, estimated from the times of their first pieces. */
export type PrefillRates = {
	readonly get: (service: string) => number;
	/** Records the time to the first piece of a prompt that met an idle engine; short prompts give no sample. */
	readonly recordFirstPiece: (service: string, sample: {readonly tokens: number; readonly tookMs: number}) => void;
};

/** Prefill rate, in prompt tokens per ms, that is assumed until responses give samples. */
const defaultTokensPerMs = 40;
/** Shortest prompt that gives a rate sample: the time of shorter ones is mostly fixed costs. */
const minSampleTokens = 2000;
/** Weight of the newest sample: the moving average covers about twenty prompts. */
const sampleWeight = 0.05;

/**
Creates the estimates, without samples yet.

@example
```
const rates = createPrefillRates();
rates.recordFirstPiece('engines', {tokens: 4000, tookMs: 80});
```
*/
export function createPrefillRates(): PrefillRates {
	const rates = new Map<string, number>();

	return {
		get: service => rates.get(service) ?? defaultTokensPerMs,
		recordFirstPiece(service, {tokens, tookMs}) {
			if (tokens >= minSampleTokens) {
				const previous = rates.get(service) ?? defaultTokensPerMs;
				rates.set(service, previous + (sampleWeight * ((tokens / Math.max(1, tookMs)) - previous)));
			}
		},
	};
}
