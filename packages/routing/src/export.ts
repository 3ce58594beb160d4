/** Facts for the decision whether a computed prompt is exported to a store. */
export type ExportInput = {
	/** Probability that the prompt is requested again; for a prompt seen once, the share of such prompts that were. */
	readonly reuseProbability: number;
	/** Pieces that no store holds. */
	readonly missingPieces: number;
	readonly pieceTokens: number;
	readonly prefillTokensPerSecond: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
	readonly queuedBytes: number;
};

const msPerSecond = 1000;
/** An export begins only if the queue of the link is shorter than this. */
const maxQueueMs = 2000;

/**
Decides whether a prompt is exported: the prefill time saved by a reuse, times the probability of reuse, must exceed the
transfer time. Scans are seldom reused and therefore not exported. A busy link is left to fetches, since requests wait
for them; the decision can be repeated as long as the engine holds the pieces.

@example
```
shouldExport({reuseProbability: 0.8, missingPieces: 20, ...link}); //=> true while the link is idle
```
*/
export function shouldExport(input: ExportInput): boolean {
	const {
		reuseProbability, missingPieces, pieceTokens, prefillTokensPerSecond, bytesPerPiece, linkBytesPerSecond, queuedBytes,
	} = input;
	const savedMs = missingPieces * pieceTokens / prefillTokensPerSecond * msPerSecond;
	const transferMs = missingPieces * bytesPerPiece / linkBytesPerSecond * msPerSecond;
	const queueMs = queuedBytes / linkBytesPerSecond * msPerSecond;

	return missingPieces > 0 && queueMs < maxQueueMs && reuseProbability * savedMs > transferMs;
}

/** Counts of the prompts that were seen once and of those that were seen again. */
export type ReuseCounts = {
	readonly seenOnce: number;
	readonly returned: number;
};

const repeatedPromptProbability = 0.95;
/** Prior of the reuse probability, weighted as `priorSampleCount` prompts, until enough prompts have had time to be requested again. */
const priorProbability = 0.8;
const priorSampleCount = 200;

/**
Estimates the probability that a prompt is requested again, from its own count and from the reuse of other prompts.

@example
```
estimateReuseProbability({seenOnce: 200, returned: 40}, 0); //=> 0.5
```
*/
export function estimateReuseProbability({seenOnce, returned}: ReuseCounts, timesSeen: number): number {
	return timesSeen > 0 ? repeatedPromptProbability : (returned + (priorProbability * priorSampleCount)) / (seenOnce + priorSampleCount);
}
