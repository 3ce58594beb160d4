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

function createFakeLinks(answer: (address: string) => StateReply | undefined, asked: string[] = []): Links {
	return {
		send: () => undefined,
		async call(address) {
			asked.push(address);
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

test('a leader that a replica names is asked in the same round', async t => {
	const asked: string[] = [];
	const links = createFakeLinks(address => address === 'new-leader' ? createReply({ageMs: 0}) : createReply({leaderAddress: 'new-leader'}), asked);
	const follower = createStateFollower({
		clock: createManualClock(), links, controlSeeds: ['replica'], listPeerAddresses: () => [],
	});
	await waitFor(() => follower.isFresh());
	follower.stop();
	t.deepEqual(asked.slice(0, 2), ['replica', 'new-leader']);
});

test('knowledge grows old by the asker\'s own clock, and an age adds up along peers', async t => {
	const clock = createManualClock();
	let ageMs: number | undefined = 1000;
	const links = createFakeLinks(() => createReply({ageMs}));
	const follower = createStateFollower({
		clock, links, controlSeeds: [], listPeerAddresses: () => ['peer'], freshMs: 2500,
	});
	await waitFor(() => follower.isFresh());
	// From here on the peer knows nothing fresh either.
	ageMs = undefined;
	clock.advance(1400);
	t.true(follower.isFresh());
	const told = follower.answerPoll(0);
	t.is(told.kind === 'state' && told.ageMs, 2400);
	clock.advance(200);
	t.false(follower.isFresh());
	const later = follower.answerPoll(0);
	t.is(later.kind === 'state' && later.ageMs, undefined, 'what is too old is not passed on as fresh');
	follower.stop();
});

test('an older whole state is passed over', async t => {
	let reply = createReply({publicVersion: 5, items: [['in_force', 'peak']], ageMs: 0});
	const asked: string[] = [];
	const follower = createStateFollower({
		clock: createManualClock(), links: createFakeLinks(() => reply, asked), controlSeeds: ['replica'], listPeerAddresses: () => [],
	});
	await waitFor(() => follower.getState().version === 5);
	reply = createReply({publicVersion: 4, items: [['in_force', 'ordinary']], ageMs: 0});
	const before = asked.length;
	await waitFor(() => asked.length > before + 2);
	t.is(follower.getState().items.get('in_force'), 'peak');
	follower.stop();
});
