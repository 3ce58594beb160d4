/** The memory that the buffered part of one answer takes. */
export type BufferedAnswer = {
	readonly resize: (bytes: number) => void;
	readonly release: () => void;
};

/** The memory that the buffered parts of all answers in progress take. */
export type BufferedAnswers = {
	/** Adds an answer. If the memory runs out while it is the largest one, it is released and `onEvict` is called. */
	readonly open: (onEvict: () => void) => BufferedAnswer;
	readonly countBytes: () => number;
};

export type BufferedAnswersOptions = {
	/** Upper bound for all answers together. */
	readonly maxBytes?: number;
};

const defaultMaxBytes = 64_000_000;

/**
Creates the account of buffered answers. Where they exceed the bound, the largest ones give way, so that an instance whose answers do not end takes no memory from others.

@example
```
const answers = createBufferedAnswers();
const answer = answers.open(() => attempt.cancel(RunEvidence.OutOfMemory));
answer.resize(65_536);
answer.release();
```
*/
export function createBufferedAnswers({maxBytes = defaultMaxBytes}: BufferedAnswersOptions = {}): BufferedAnswers {
	const sizes = new Map<() => void, number>();
	let totalBytes = 0;

	const remove = (onEvict: () => void) => {
		totalBytes -= sizes.get(onEvict) ?? 0;
		sizes.delete(onEvict);
	};

	const findLargest = () => {
		let largest: (() => void) | undefined;
		let largestBytes = 0;

		for (const [onEvict, bytes] of sizes) {
			if (bytes > largestBytes) {
				largest = onEvict;
				largestBytes = bytes;
			}
		}

		return largest;
	};

	const evictUntilBelow = (limitBytes: number) => {
		const largest = totalBytes > limitBytes ? findLargest() : undefined;

		if (largest !== undefined) {
			remove(largest);
			largest();
			evictUntilBelow(limitBytes);
		}
	};

	return {
		open(onEvict) {
			let isReleased = false;
			const evict = () => {
				isReleased = true;
				onEvict();
			};

			return {
				resize(bytes) {
					if (isReleased) {
						return;
					}

					totalBytes += bytes - (sizes.get(evict) ?? 0);
					sizes.set(evict, bytes);

					evictUntilBelow(maxBytes);
				},
				release() {
					isReleased = true;
					remove(evict);
				},
			};
		},
		countBytes: () => totalBytes,
	};
}
