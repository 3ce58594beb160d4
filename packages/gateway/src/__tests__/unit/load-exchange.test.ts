import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {maxSharesAgeMs, type LoadUpdate} from '@fescuestair/instances';
import {createLoadExchange} from '../../load-exchange.js';

const openExchange = (t: ExecutionContext) => {
	const clock = createSystemClock();
	const local = {own: 0, unsentWorkMs: 0, unsentPaces: [] as Array<readonly [string, number]>};
	const peerPaces: unknown[] = [];
	const peers: Array<ReadonlyMap<string, unknown>> = [];
	const peerWork: unknown[] = [];
	const sent: Array<{readonly address: string; readonly loads: LoadUpdate}> = [];
	const home = {address: 'home'};
	const share = createLoadExchange({
		linkAddress: 'a',
		clock,
		getHome: () => home.address,
		links: {
			send(address: string, message: unknown) {
				sent.push({address, loads: (message as {readonly loads: LoadUpdate}).loads});
			},
		},
		instancePool: {
			takeUnsentWork() {
				const workMs = local.unsentWorkMs;
				local.unsentWorkMs = 0;

				return workMs === 0 ? [] : [['i-1', workMs, 0]];
			},
			listShares: () => local.own === 0 ? [] : [['i-1', local.own, 100]],
			setPeerLoads(next) {
				peers.push(next);
			},
			addPeerWork(work) {
				peerWork.push(...work);
			},
			takeUnsentPaces: () => local.unsentPaces.splice(0),
			recordPeerPaces(paces) {
				peerPaces.push(...paces);
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
		local, clock, home, peers, peerWork, peerPaces, sent, share, waitFor,
	};
};

test('a gateway without requests sends nothing; after its last request it sends an empty load once', async t => {
	const {local, sent, share, waitFor} = openExchange(t);
	await sleep(700);
	t.deepEqual(sent, []);

	local.own = 1;
	local.unsentWorkMs = 300;
	share.recordWorkChange(300);
	await waitFor(() => sent.length > 0);
	t.deepEqual(sent[0], {address: 'home', loads: {shares: [['i-1', 1, 100]], work: [['i-1', 300, 0]]}});
	local.own = 0;
	await waitFor(() => sent.length > 1);
	t.deepEqual(sent[1]?.loads, {shares: [], work: []});
	await sleep(1200);
	t.is(sent.length, 2);
});

test('a long prompt is reported at once, short ones in batches', async t => {
	const {local, sent, share, waitFor} = openExchange(t);
	local.own = 1;
	share.recordWorkChange(0);
	await waitFor(() => sent.length === 1);

	for (let number = 0; number < 30; number++) {
		local.unsentWorkMs += 5;
		share.recordWorkChange(5);
		await sleep(10);
	}

	await waitFor(() => sent.length > 5);
	// Messages without shares are sent early only for at least 20 ms of work; less waits for the regular shares.
	const early = sent.filter(({loads}) => loads.shares === undefined);
	t.true(early.length > 0);
	t.true(early.every(({loads}) => loads.work[0]![1] >= 20));
});

test('only loads from the home are applied, and they expire when it sends none', t => {
	const {clock, home, peers, peerWork, share} = openExchange(t);
	share.applyPeerLoads('home', {shares: [['i-1', 3, 10]], work: [['i-1', 40, 0]]});
	t.deepEqual([peers.at(-1)?.size, peerWork.length], [1, 1]);
	home.address = 'other';
	share.applyPeerLoads('home', {shares: [['i-1', 3, 10], ['i-2', 1, 1]], work: [['i-1', 40, 0]]});
	t.deepEqual([peers.length, peerWork.length], [1, 1]);
	share.expirePeerLoads(clock.readMonotonicMs());
	t.is(peers.length, 1);
	share.expirePeerLoads(clock.readMonotonicMs() + maxSharesAgeMs + 1);
	t.is(peers.at(-1)?.size, 0);
});

test('a former home is sent an empty load', t => {
	const {sent, share} = openExchange(t);
	share.clearLoadsAt('before');
	t.deepEqual(sent, [{address: 'before', loads: {shares: [], work: []}}]);
});

test('the pace of instances goes with the next message, and that of the home is applied', async t => {
	const {local, peerPaces, sent, share, waitFor} = openExchange(t);
	local.unsentPaces.push(['i-1', 2.5]);
	share.recordWorkChange(0);
	await waitFor(() => sent.length > 0);
	t.deepEqual(sent[0]?.loads.paces, [['i-1', 2.5]]);
	share.applyPeerLoads('home', {work: [], paces: [['i-2', 3]]});
	share.applyPeerLoads('elsewhere', {work: [], paces: [['i-3', 3]]});
	t.deepEqual(peerPaces, [['i-2', 3]]);
});
