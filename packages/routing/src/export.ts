/** What is known when a prompt has been computed and might be kept in a store. */
export type ExportQuestion = {
	/** How often the prompt has been seen before. */
	readonly timesSeen: number;
	/** Pieces that no store holds yet. */
	readonly missingPieces: number;
	readonly bytesPerPiece: number;
	readonly linkBytesPerSecond: number;
	readonly queuedBytes: number;
};

const msPerSecond = 1000;
const maxQueueMs = 2000;
const maxQueueForFirstMs = 1000;

/**
Decides whether a prompt is worth its export. One that has returned will return; one seen for the first time may be part
of a scan, and goes only over a link that is idle. A busy link is left to the fetches, which somebody waits for.

@example
```
shouldExport({timesSeen: 1, missingPieces: 20, bytesPerPiece, linkBytesPerSecond, queuedBytes: 0}); //=> true
```
*/
export function shouldExport(question: ExportQuestion): boolean {
	const {timesSeen, missingPieces, queuedBytes, linkBytesPerSecond} = question;
	const queueMs = queuedBytes / linkBytesPerSecond * msPerSecond;

	return missingPieces > 0 && queueMs < (timesSeen > 0 ? maxQueueMs : maxQueueForFirstMs);
}
