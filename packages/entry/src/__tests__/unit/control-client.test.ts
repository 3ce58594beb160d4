import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {ProposalError} from '@fescuestair/protocol';
import {CommandKind} from '@fescuestair/state';
import {type Links} from '@fescuestair/transport';
import {createControlClient} from '../../control-client.js';
import {type StateFollower} from '../../state-follower.js';

// Simulates stopped control replicas: each call times out.
const createClient = (freshnessDeadlineMs: number) => {
	const clock = createManualClock();
	const links = {
		async call(_address: string, _message: unknown, timeoutMs: number) {
			clock.advance(timeoutMs);
			throw new Error('no answer');
		},
	} as unknown as Links;
	const follower = {
		getLeaderAddress: () => 'c1', listControlAddresses: () => ['c1', 'c2', 'c3'], getFreshnessDeadlineMs: () => freshnessDeadlineMs,
	} as unknown as StateFollower;

	return {clock, client: createControlClient({clock, links, follower})};
};

const request = {kind: CommandKind.ClearSuspicion, fingerprint: 'f'} as const;

test('with endsWhenStale, a proposal that gets no answer fails when the state becomes stale, before its deadline', async t => {
	const {clock, client} = createClient(2500);
	await t.throwsAsync(client.propose(request, 30_000, {endsWhenStale: true}), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 2500);
});

test('with endsWhenStale, an entry whose state is already stale still makes one call', async t => {
	const {clock, client} = createClient(Number.NEGATIVE_INFINITY);
	await t.throwsAsync(client.propose(request, 30_000, {endsWhenStale: true}), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 1500);
});

test('without endsWhenStale, a proposal is retried until its deadline', async t => {
	const {clock, client} = createClient(2500);
	await t.throwsAsync(client.propose(request, 4000), {instanceOf: ProposalError});
	t.is(clock.readMonotonicMs(), 4000);
});
