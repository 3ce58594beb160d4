import {type Clock} from '@fescuestair/core';
import {
	createHoldQueue, enterHold, estimateWaitMs, leaveHold,
} from '@fescuestair/limits';

/** Requests of this entry that wait for a place, in order. */
export type HoldLine = {
	/** Returns the function that leaves again. */
	readonly enter: (requestId: string, organisation: string) => () => void;
	readonly isEmpty: () => boolean;
	readonly isFirst: (requestId: string) => boolean;
	/** How long one of an organisation that enters now is expected to wait. */
	readonly estimateWaitMs: (organisation: string) => number;
};

/**
Creates the line of an entry.

@example
```
const leave = line.enter(requestId, organisation);
leave();
```
*/
export function createHoldLine(clock: Clock): HoldLine {
	let queue = createHoldQueue<string>();

	return {
		enter(requestId, organisation) {
			queue = enterHold(queue, {item: requestId, owner: organisation}, clock.readMonotonicMs());

			return () => {
				queue = leaveHold(queue, requestId, clock.readMonotonicMs());
			};
		},
		isEmpty: () => queue.waiting.length === 0,
		isFirst: requestId => queue.waiting[0]?.item === requestId,
		estimateWaitMs: organisation => estimateWaitMs(queue, {owner: organisation, nowMs: clock.readMonotonicMs()}),
	};
}
