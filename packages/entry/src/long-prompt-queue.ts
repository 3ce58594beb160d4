import {type Clock} from '@fescuestair/core';
import {
	createFairQueue, enterQueue, estimateWaitMs, leaveQueue,
} from '@fescuestair/limits';

/** Queue of this entry's long prompts that wait for a free slot at an engine. */
export type LongPromptQueue = {
	/** Adds a request; the returned function removes it. */
	readonly enter: (requestId: string, organisation: string) => () => void;
	readonly isEmpty: () => boolean;
	readonly isFirst: (requestId: string) => boolean;
	/** Estimated wait of a request that an organisation adds now. */
	readonly estimateWaitMs: (organisation: string) => number;
};

/**
Creates the queue of an entry. Organisations take turns, so that a burst of one delays the others little.

@example
```
const leave = queue.enter(requestId, organisation);
leave();
```
*/
export function createLongPromptQueue(clock: Clock): LongPromptQueue {
	let queue = createFairQueue<string>();

	return {
		enter(requestId, organisation) {
			queue = enterQueue(queue, {item: requestId, owner: organisation}, clock.readMonotonicMs());

			return () => {
				queue = leaveQueue(queue, requestId, clock.readMonotonicMs());
			};
		},
		isEmpty: () => queue.waiting.length === 0,
		isFirst: requestId => queue.waiting[0]?.item === requestId,
		estimateWaitMs: organisation => estimateWaitMs(queue, {owner: organisation, nowMs: clock.readMonotonicMs()}),
	};
}
