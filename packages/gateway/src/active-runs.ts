import {type RunEvidence} from '@fescuestair/streams';
import {type ActiveRun, type EndedRun} from './start-run.js';

/** The runs of one request that are under way, beside each other. */
export type ActiveRuns = {
	readonly count: () => number;
	readonly add: (run: ActiveRun) => void;
	readonly areAllSilent: () => boolean;
	/** Resolves once one of the runs has ended, which is then under way no longer. */
	readonly waitForEnd: () => Promise<RunEnd>;
	/** Cancels all runs but the given one. */
	readonly cancel: (evidence: RunEvidence, exception?: ActiveRun) => void;
	/** Resolves once all runs have ended, also those that `waitForEnd` has not returned. */
	readonly settle: () => Promise<void>;
};

export type RunEnd = {readonly run: ActiveRun; readonly ended: EndedRun};

/**
Creates the set of active runs of a request.

@example
```
const runs = createActiveRuns();
runs.add(startRun(options, exchange, input));
const {run, ended} = await runs.waitForEnd();
```
*/
export function createActiveRuns(): ActiveRuns {
	const runs = new Map<ActiveRun, Promise<RunEnd>>();
	let notifyAdded: () => void = () => undefined;

	// Resolves when a run is added, so that its end is waited for too.
	const waitForAddition = async () => new Promise<undefined>(resolve => {
		notifyAdded = () => {
			resolve(undefined);
		};
	});

	return {
		count: () => runs.size,
		add(run) {
			runs.set(run, waitForRun(run));
			notifyAdded();
		},
		areAllSilent: () => [...runs.keys()].every(run => run.isSilent()),
		async waitForEnd() {
			for (;;) {
				const end = await Promise.race([...runs.values(), waitForAddition()]);

				if (end !== undefined) {
					runs.delete(end.run);

					return end;
				}
			}
		},
		cancel(evidence, exception) {
			for (const run of runs.keys()) {
				if (run !== exception) {
					run.cancel(evidence);
				}
			}
		},
		async settle() {
			await Promise.all(runs.values());
		},
	};
}

async function waitForRun(run: ActiveRun): Promise<RunEnd> {
	return {run, ended: await run.ended};
}
