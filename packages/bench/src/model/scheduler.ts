/** A discrete-event scheduler: runs callbacks in the order of their virtual time. */
export type Scheduler = {
	readonly getNowMs: () => number;
	readonly schedule: (delayMs: number, run: () => void) => void;
	readonly runUntil: (endMs: number) => void;
};

type ScheduledEvent = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Creates a scheduler on a binary heap; callbacks due at the same time run in the order in which they were scheduled. */
export function createScheduler(): Scheduler {
	const heap: ScheduledEvent[] = [];
	let nowMs = 0;
	let nextOrder = 0;

	const isBefore = (a: ScheduledEvent, b: ScheduledEvent) => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

	const swap = (a: number, b: number) => {
		[heap[a], heap[b]] = [heap[b]!, heap[a]!];
	};

	const siftUp = (start: number) => {
		let index = start;

		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);

			if (!isBefore(heap[index]!, heap[parent]!)) {
				return;
			}

			swap(index, parent);
			index = parent;
		}
	};

	const siftDown = () => {
		let index = 0;

		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let earliest = index;
			earliest = left < heap.length && isBefore(heap[left]!, heap[earliest]!) ? left : earliest;
			earliest = right < heap.length && isBefore(heap[right]!, heap[earliest]!) ? right : earliest;

			if (earliest === index) {
				return;
			}

			swap(index, earliest);
			index = earliest;
		}
	};

	const removeFirst = (): ScheduledEvent => {
		const first = heap[0]!;
		const last = heap.pop()!;

		if (heap.length > 0) {
			heap[0] = last;
			siftDown();
		}

		return first;
	};

	return {
		getNowMs: () => nowMs,
		schedule(delayMs, run) {
			heap.push({atMs: nowMs + Math.max(0, delayMs), order: nextOrder++, run});
			siftUp(heap.length - 1);
		},
		runUntil(endMs) {
			while (heap.length > 0 && heap[0]!.atMs <= endMs) {
				const next = removeFirst();
				nowMs = next.atMs;
				next.run();
			}

			nowMs = endMs;
		},
	};
}
