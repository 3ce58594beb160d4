import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {staleSharesMs, type LoadNote} from '@fescuestair/instances';
import {createLoadShare} from '../../load-share.js';

const openShare = (t: ExecutionContext) => {
	const clock = createSystemClock();
	const book = {own: 0, untoldWorkMs: 0};
	const peers: Array<ReadonlyMap<string, unknown>> = [];
	const peerWork: unknown[] = [];
	const sent: Array<{readonly address: string; readonly loads: LoadNote}> = [];
	const home = {address: 'home'};
	const share = createLoadShare({
		linkAddress: 'a',
		clock,
		getHome: () => home.address,
		links: {
			send(address: string, message: unknown) {
				sent.push({address, loads: (message as {readonly loads: LoadNote}).loads});
			},
		},
		book: {
			takeUntoldWork() {
				const workMs = book.untoldWorkMs;
				book.untoldWorkMs = 0;

				return workMs === 0 ? [] : [['i-1', workMs, 0]];
			},
			listShares: () => book.own === 0 ? [] : [['i-1', book.own, 100]],
			setPeers(next) {
				peers.push(next);
			},
			addPeerWork(work) {
				peerWork.push(...work);
			},
		},
	});
	t.teardown(() => {
		share.stop();
	});

	const waitFor = async (check: () => boolean) => {
		while (!check()) {
			await sleep(5);
		}
	};

	return {
		book, clock, home, peers, peerWork, sent, share, waitFor,
	};
};

test('a gateway without requests says nothing; one whose last request ended says so once', async t => {
	const {book, sent, share, waitFor} = openShare(t);
	await sleep(700);
	t.deepEqual(sent, []);

	book.own = 1;
	book.untoldWorkMs = 300;
	share.noteWork(300);
	await waitFor(() => sent.length > 0);
	t.deepEqual(sent[0], {address: 'home', loads: {shares: [['i-1', 1, 100]], work: [['i-1', 300, 0]]}});
	book.own = 0;
	await waitFor(() => sent.length > 1);
	t.deepEqual(sent[1]?.loads, {shares: [], work: []});
	await sleep(1200);
	t.is(sent.length, 2);
});

test('a long prompt is told at once, short ones together', async t => {
	const {book, sent, share, waitFor} = openShare(t);
	book.own = 1;
	share.noteWork(0);
	await waitFor(() => sent.length === 1);

	for (let number = 0; number < 30; number++) {
		book.untoldWorkMs += 5;
		share.noteWork(5);
		await sleep(10);
	}

	await waitFor(() => sent.length > 5);
	// Less than a few short prompts waits for the shares, which are due by themselves.
	const early = sent.filter(({loads}) => loads.shares === undefined);
	t.true(early.length > 0);
	t.true(early.every(({loads}) => loads.work[0]![1] >= 20));
});

test('only the home is believed, and what it told fades when it falls silent', t => {
	const {clock, home, peers, peerWork, share} = openShare(t);
	share.take('home', {shares: [['i-1', 3, 10]], work: [['i-1', 40, 0]]});
	t.deepEqual([peers.at(-1)?.size, peerWork.length], [1, 1]);
	home.address = 'other';
	share.take('home', {shares: [['i-1', 3, 10], ['i-2', 1, 1]], work: [['i-1', 40, 0]]});
	t.deepEqual([peers.length, peerWork.length], [1, 1]);
	share.tidy(clock.readMonotonicMs());
	t.is(peers.length, 1);
	share.tidy(clock.readMonotonicMs() + staleSharesMs + 1);
	t.is(peers.at(-1)?.size, 0);
});

test('a home that is one no longer is told that nothing is left', t => {
	const {sent, share} = openShare(t);
	share.leaveHome('before');
	t.deepEqual(sent, [{address: 'before', loads: {shares: [], work: []}}]);
});
