export type MajorityOptions = {
	/** One for each voter that was asked; rejects where that did not do it. */
	readonly votes: ReadonlyArray<Promise<unknown>>;
	/** Voters of the group, also those that were not asked. */
	readonly voterCount: number;
};

/**
Waits until a majority of all voters has done what was asked; throws an `AggregateError` once that cannot be reached.

@example
```
await waitForMajority({votes: [saveHere(), saveAt('10.0.0.2:7200')], voterCount: 3});
```
*/
export async function waitForMajority({votes, voterCount}: MajorityOptions): Promise<void> {
	const required = Math.floor(voterCount / 2) + 1;
	const errors: unknown[] = [];
	let count = 0;

	await new Promise<void>((resolve, reject) => {
		const rejectIfImpossible = () => {
			if (votes.length - errors.length < required) {
				reject(new AggregateError(errors, `${count} of ${voterCount} voters, where ${required} are needed`));
			}
		};

		const recordVote = () => {
			count++;

			if (count >= required) {
				resolve();
			}
		};

		const recordError = (error: unknown) => {
			errors.push(error);
			rejectIfImpossible();
		};

		rejectIfImpossible();

		for (const vote of votes) {
			vote.then(recordVote, recordError);
		}
	});
}
