/**
What a test has received of a response. Stubs that reset their connection wait for it, since a reset discards what was sent and not yet read.
*/
export type ReceivedEvents = {
	readonly add: () => void;
	/** Resolves once this many events have been received. */
	readonly waitFor: (count: number) => Promise<void>;
};

/** Creates the count of the events that a test has received. */
export function createReceivedEvents(): ReceivedEvents {
	let received = 0;
	let waiting: Array<{readonly count: number; readonly resolve: () => void}> = [];

	return {
		add() {
			received++;

			for (const {count, resolve} of waiting) {
				if (count <= received) {
					resolve();
				}
			}

			waiting = waiting.filter(({count}) => count > received);
		},
		async waitFor(count) {
			if (count > received) {
				await new Promise<void>(resolve => {
					waiting.push({count, resolve});
				});
			}
		},
	};
}
