import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {type Links} from '@fescuestair/transport';
import {type InstanceBook} from '../../instance-book.js';
import {computeUrgentWorkMs, createLoadShare, type LoadNote} from '../../load-share.js';

test('few gateways tell each other of each prompt, many only of what is worth a note to all', t => {
	t.is(computeUrgentWorkMs(0), 20);
	t.is(computeUrgentWorkMs(4), 20);
	t.is(computeUrgentWorkMs(27), 135);
	t.true(computeUrgentWorkMs(399) > 900);
});

const openShare = (t: ExecutionContext) => {
	const book = {own: 0, untoldWorkMs: 0};
	const sent: Array<{readonly address: string; readonly loads: LoadNote}> = [];
	const share = createLoadShare({
		linkAddress: 'a',
		clock: createSystemClock(),
		getGateways: () => ['a', 'b', 'c'],
		links: {
			send(address: string, message: unknown) {
				sent.push({address, loads: (message as {readonly loads: LoadNote}).loads});
			},
		} as unknown as Links,
		book: {
			sumUntoldWorkMs: () => book.untoldWorkMs,
			takeUntoldWork() {
				const workMs = book.untoldWorkMs;
				book.untoldWorkMs = 0;

				return workMs === 0 ? [] : [['i-1', workMs, 0]];
			},
			listShares: () => book.own === 0 ? [] : [['i-1', book.own, 100]],
			setPeers: () => undefined,
		} as unknown as InstanceBook,
	});
	t.teardown(() => {
		share.stop();
	});

	const waitFor = async (check: () => boolean) => {
		while (!check()) {
			await sleep(5);
		}
	};

	return {book, sent, waitFor};
};

test('a gateway without requests says so once, and speaks again with the next one', async t => {
	const {book, sent, waitFor} = openShare(t);
	await waitFor(() => sent.length > 0);
	await sleep(700);
	t.deepEqual(sent.map(one => one.address), ['b', 'c']);

	book.own = 1;
	book.untoldWorkMs = 300;
	await waitFor(() => sent.length > 2);
	t.deepEqual(sent.at(-1)?.loads.work, [['i-1', 300, 0]]);
	await waitFor(() => sent.at(-1)?.loads.shares?.length === 1);
});
