/** Events in virtual time, run in order. */
export type Scheduler = {
	readonly getNowMs: () => number;
	readonly schedule: (delayMs: number, run: () => void) => void;
	readonly runUntil: (endMs: number) => void;
};

type Scheduled = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Creates a scheduler on a binary heap; equal times run in the order they were scheduled in. */
export function createScheduler(): Scheduler {
	const heap: Scheduled[] = [];
	let nowMs = 0;
	let order = 0;

	const isBefore = (a: Scheduled, b: Scheduled) => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

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
			let least = index;
			least = left < heap.length && isBefore(heap[left]!, heap[least]!) ? left : least;
			least = right < heap.length && isBefore(heap[right]!, heap[least]!) ? right : least;

			if (least === index) {
				return;
			}

			swap(index, least);
			index = least;
		}
	};

	const takeFirst = (): Scheduled => {
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
			heap.push({atMs: nowMs + Math.max(0, delayMs), order: order++, run});
			siftUp(heap.length - 1);
		},
		runUntil(endMs) {
			while (heap.length > 0 && heap[0]!.atMs <= endMs) {
				const next = takeFirst();
				nowMs = next.atMs;
				next.run();
			}

			nowMs = endMs;
		},
	};
}
