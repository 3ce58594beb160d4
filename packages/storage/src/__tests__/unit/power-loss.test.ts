import test from 'ava';
import fc from 'fast-check';
import {
	createLogStore, createSimulatedDisk, type LoadedLog, type LogEntry,
} from '../../index.js';

const runCount = 400;
const seed = 20_261_205;
const folder = '/data';

const createEntry = (index: number): LogEntry => ({index, term: 1, payload: `value ${index}`});

/** Appends entries one at a time, with snapshots in between, until the process is killed before one of its file operations. */
async function writeUntilKilled(disk: ReturnType<typeof createSimulatedDisk>, killAt: number): Promise<void> {
	let operationCount = 0;
	await new Promise<void>(resolve => {
		const process = disk.startProcess(async () => {
			operationCount++;

			if (operationCount === killAt) {
				process.kill();
				resolve();
			}
		});
		void (async () => {
			const store = createLogStore({folder, fileSystem: process.fileSystem});
			const {entries, snapshot} = await store.load();
			let index = (entries.at(-1)?.index ?? snapshot?.index ?? 0) + 1;

			for (;;) {
				await store.persist([{hardState: {term: index, votedFor: 'a'}, entries: [createEntry(index)]}]);

				if (index % 4 === 0) {
					await store.saveSnapshot({index: index - 1, term: 1, data: `state ${index - 1}`}, {term: index, votedFor: 'a'}, [createEntry(index)]);
				}

				index++;
			}
		})();
	});
}

// Deterministic random numbers in [0, 1) (linear congruential generator).
function createRandom(randomSeed: number): () => number {
	let state = randomSeed;

	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;

		return state / 4_294_967_296;
	};
}

const describe = ({hardState, entries, snapshot}: LoadedLog) => ({term: hardState.term, last: entries.at(-1)?.index ?? snapshot?.index ?? 0});

// A replica answers for what it has loaded, without another sync.
test('what a process loads after the one before was killed is not lost with the power, and neither is what it appends', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.array(fc.integer({min: 4, max: 60}), {minLength: 1, maxLength: 3}), fc.nat(), async (kills, randomSeed) => {
		const disk = createSimulatedDisk();
		const random = createRandom(randomSeed);

		for (const killAt of kills) {
			await writeUntilKilled(disk, killAt);
		}

		const restarted = disk.startProcess();
		const store = createLogStore({folder, fileSystem: restarted.fileSystem});
		const before = describe(await store.load());
		const appended = random() < 0.5;

		if (appended) {
			await store.persist([{entries: [createEntry(before.last + 1)]}]);
		}

		restarted.kill();
		disk.losePower(random);
		const after = describe(await createLogStore({folder, fileSystem: disk.startProcess().fileSystem}).load());

		if (after.term !== before.term || after.last !== before.last + (appended ? 1 : 0)) {
			throw new Error(`loaded ${JSON.stringify(before)}, appended: ${appended}, after the power loss ${JSON.stringify(after)}`);
		}
	}), {numRuns: runCount, seed}));
});
