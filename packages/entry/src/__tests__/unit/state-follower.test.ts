import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {type LinkReply} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';
import {createStateFollower} from '../../index.js';

type StateReply = Extract<LinkReply, {kind: 'state'}>;

function createReply(change: Partial<StateReply> = {}): StateReply {
	return {
		kind: 'state', ageMs: undefined, publicVersion: 1, changes: undefined, items: [['in_force', 'peak']], leaderAddress: undefined, controlAddresses: [], ...change,
	};
}

function createStubLinks(answer: (address: string) => StateReply | undefined, polledAddresses: string[] = []): Links {
	return {
		send: () => undefined,
		async call(address) {
			polledAddresses.push(address);
			const reply = answer(address);

			if (reply === undefined) {
				throw new Error('no answer');
			}

			return reply;
		},
		countBytes: () => 0,
		countOpen: () => 0,
		close: () => undefined,
	};
}

async function waitFor(check: () => boolean): Promise<void> {
	while (!check()) {
		await sleep(1);
	}
}

test('a new leader that a replica names is polled in the same round', async t => {
	const polledAddresses: string[] = [];
	const links = createStubLinks(address => address === 'new-leader' ? createReply({ageMs: 0}) : createReply({leaderAddress: 'new-leader'}), polledAddresses);
	const follower = createStateFollower({
		clock: createManualClock(), links, controlSeeds: ['replica'], listPeerAddresses: () => [],
	});
	await waitFor(() => follower.isFresh());
	follower.stop();
	t.deepEqual(polledAddresses.slice(0, 2), ['replica', 'new-leader']);
});

test('the state ages on the monotonic clock of the poller, and ages add up along a chain of peers', async t => {
	const clock = createManualClock();
	let ageMs: number | undefined = 1000;
	const links = createStubLinks(() => createReply({ageMs}));
	const follower = createStateFollower({
		clock, links, controlSeeds: [], listPeerAddresses: () => ['peer'], maxStalenessMs: 2500,
	});
	await waitFor(() => follower.isFresh());
	// From here on, the state of the peer is stale too.
	ageMs = undefined;
	clock.advance(1400);
	t.true(follower.isFresh());
	const freshReply = follower.answerPoll(0);
	t.is(freshReply.kind === 'state' && freshReply.ageMs, 2400);
	clock.advance(200);
	t.false(follower.isFresh());
	const staleReply = follower.answerPoll(0);
	t.is(staleReply.kind === 'state' && staleReply.ageMs, undefined, 'a stale state is not passed on with an age');
	follower.stop();
});

test('a snapshot of an older state is ignored', async t => {
	let reply = createReply({publicVersion: 5, items: [['in_force', 'peak']], ageMs: 0});
	const polledAddresses: string[] = [];
	const follower = createStateFollower({
		clock: createManualClock(), links: createStubLinks(() => reply, polledAddresses), controlSeeds: ['replica'], listPeerAddresses: () => [],
	});
	await waitFor(() => follower.getState().version === 5);
	reply = createReply({publicVersion: 4, items: [['in_force', 'ordinary']], ageMs: 0});
	const polledCount = polledAddresses.length;
	await waitFor(() => polledAddresses.length > polledCount + 2);
	t.is(follower.getState().items.get('in_force'), 'peak');
	follower.stop();
});
