/** What is known when a prompt has been computed and might be kept in a store. */
export type ExportQuestion = {
	/** How likely the prompt is to return; for one seen once, the share of such prompts that did. */
	readonly returnProbability: number;
	/** Pieces that no store holds yet. */
	readonly missingPieces: number;
	readonly pieceTokens: number;
	readonly prefillTokensPerSecond: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
	readonly queuedBytes: number;
};

const msPerSecond = 1000;
/** An export begins only on a link that is this near to idle. */
const maxQueueMs = 2000;

/**
Decides whether a prompt is worth its export: whether the prefill time that its return would save, times how likely the
return is, exceeds the time of the transfer. Scans seldom return, so they keep themselves out. A link in use is left to
the fetches, which somebody waits for: ask again while the engine still holds the pieces.

@example
```
shouldExport({returnProbability: 0.8, missingPieces: 20, ...link}); //=> true while the link is idle
```
*/
export function shouldExport(input: ExportQuestion): boolean {
	const {
		returnProbability, missingPieces, pieceTokens, prefillTokensPerSecond, bytesPerPiece, linkBytesPerSecond, queuedBytes,
	} = input;
	const savedMs = missingPieces * pieceTokens / prefillTokensPerSecond * msPerSecond;
	const transferMs = missingPieces * bytesPerPiece / linkBytesPerSecond * msPerSecond;
	const queueMs = queuedBytes / linkBytesPerSecond * msPerSecond;

	return missingPieces > 0 && queueMs < maxQueueMs && returnProbability * savedMs > transferMs;
}

/** How often prompts have returned so far. */
export type ReturnRecord = {
	readonly seenOnce: number;
	readonly returned: number;
};

const repeatedPromptProbability = 0.95;
/** Assumed until enough prompts have had the time to return. */
const priorProbability = 0.8;
const priorSampleCount = 200;

/**
Estimates how likely a prompt is to return, from how often it has been seen before and how often others did.

@example
```
estimateReturn({seenOnce: 200, returned: 40}, 0); //=> 0.5
```
*/
export function estimateReturn({seenOnce, returned}: ReturnRecord, timesSeen: number): number {
	return timesSeen > 0 ? repeatedPromptProbability : (returned + (priorProbability * priorSampleCount)) / (seenOnce + priorSampleCount);
}
