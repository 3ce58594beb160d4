import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createLeftRuns, type RunClaim} from '../../left-runs.js';

function createList(keepMs = 20) {
	const leftRuns = createLeftRuns({keepMs});
	const cancelled: string[] = [];

	const keep = (organisation: string, requestId: string, claim?: RunClaim) => {
		leftRuns.keep({
			organisation,
			requestId,
			cancel() {
				cancelled.push(`${organisation} ${requestId}`);
			},
		}, claim);
	};

	return {
		leftRuns,
		keep,
		/** Waits for a run that is kept later than all others, and lists those that were cancelled before. */
		async listCancelled() {
			await sleep(20);
			keep('last', 'last');

			while (!cancelled.includes('last last')) {
				await sleep(5);
			}

			return cancelled.filter(run => run !== 'last last');
		},
	};
}

test('a run that was left is cancelled once, unless it is read again', async t => {
	const {leftRuns, keep, listCancelled} = createList();
	keep('okahandja', 'r-1');
	keep('okahandja', 'r-2');
	keep('okahandja', 'r-2');
	keep('okahandja', 'r-3');
	leftRuns.claim({organisation: 'okahandja', requestId: 'r-1'});
	// Another organisation has no say in it.
	leftRuns.claim({organisation: 'antioquia', requestId: 'r-3'});
	t.deepEqual(await listCancelled(), ['okahandja r-2', 'okahandja r-3']);
});

test('a run is not cancelled for a lost connection that is noticed after its caller has come back, and is cancelled once that one is left', async t => {
	const {leftRuns, keep, listCancelled} = createList();
	const first = leftRuns.claim({organisation: 'okahandja', requestId: 'r-1'});
	keep('okahandja', 'r-1');
	t.deepEqual(await listCancelled(), []);
	const second = leftRuns.claim({organisation: 'okahandja', requestId: 'r-1'});
	keep('okahandja', 'r-1', first);
	t.deepEqual(await listCancelled(), []);
	keep('okahandja', 'r-1', second);
	t.deepEqual(await listCancelled(), ['okahandja r-1']);
});

test('runs that were left are not cancelled when their entry stops', async t => {
	const {leftRuns, keep, listCancelled} = createList();
	keep('okahandja', 'r-1');
	leftRuns.stop();
	t.deepEqual(await listCancelled(), []);
});

test('a run that was left is kept for its time', async t => {
	const {leftRuns} = createList(60_000);
	let cancelledCount = 0;
	leftRuns.keep({
		organisation: 'okahandja', requestId: 'r-1', cancel() {
			cancelledCount++;
		},
	}, undefined);
	await sleep(100);
	t.is(cancelledCount, 0);
	leftRuns.stop();
});
