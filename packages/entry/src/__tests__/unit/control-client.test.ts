import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';
import {CommandKind} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {createControlClient} from '../../control-client.js';
import {type StateFollower} from '../../state-follower.js';

// All control replicas are stopped: each call takes its whole time and gets no answer.
const openClient = (freshDeadlineMs: number) => {
	const clock = createManualClock();
	const links = {
		async call(_address: string, _message: unknown, timeoutMs: number) {
			clock.advance(timeoutMs);
			throw new Error('no answer');
		},
	} as unknown as Links;
	const follower = {
		getLeaderAddress: () => 'c1', listControlAddresses: () => ['c1', 'c2', 'c3'], getFreshDeadlineMs: () => freshDeadlineMs,
	} as unknown as StateFollower;

	return {clock, client: createControlClient({clock, links, follower})};
};

const request = {kind: CommandKind.ClearSuspicion, fingerprint: 'f'} as const;

test('a claim that no majority can record ends with the freshness of the entry, long before the deadline of its call', async t => {
	const {clock, client} = openClient(2500);
	await t.throwsAsync(client.propose(request, 30_000, {endsWhenStale: true}), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 2500);
});

test('an entry that is stale already asks once', async t => {
	const {clock, client} = openClient(Number.NEGATIVE_INFINITY);
	await t.throwsAsync(client.propose(request, 30_000, {endsWhenStale: true}), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 1500);
});

test('what has to be recorded is proposed until its own deadline', async t => {
	const {clock, client} = openClient(2500);
	await t.throwsAsync(client.propose(request, 4000), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 4000);
});
