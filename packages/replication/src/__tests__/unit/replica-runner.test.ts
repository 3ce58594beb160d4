import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {
	EntryKind, PeerMessageKind, ReplicaRole, type Entry, type Member, type PeerMessage,
} from '@fescuestair/agreement';
import {createManualClock} from '@fescuestair/core';
import {type ProposalError} from '@fescuestair/protocol';
import {type LogStore} from '@fescuestair/storage';
import {createReplicaRunner} from '../../index.js';

const members: readonly Member[] = ['a', 'b', 'c'].map(id => ({
	id, name: id, address: id, isVoter: true,
}));
const store: LogStore = {
	load: async () => ({
		hardState: {term: 0, votedFor: undefined}, snapshot: undefined, entries: [], findings: [],
	}),
	persist: async () => undefined,
	saveSnapshot: async () => undefined,
	close: async () => undefined,
};

/** Opens a replica whose other members are played by the test, and makes it the leader of term 1. */
const openLeader = async () => {
	const runner = await createReplicaRunner({
		id: 'a', clock: createManualClock(), store, machine: {apply: command => command, encode: () => undefined, decode: () => undefined}, send: () => undefined,
		onFailure(error) {
			throw error;
		},
		firstMembers: members, startTicking: () => () => undefined,
	});

	const receive = async (message: PeerMessage) => {
		runner.receive('b', message);
		await setImmediate();
	};

	const lead = async (term: number) => {
		await receive({kind: PeerMessageKind.TimeoutNow, term: term - 1});
		await receive({
			kind: PeerMessageKind.VoteReply, term, isPreVote: false, isGranted: true,
		});
	};

	const follow = async (entries: readonly Entry[], commitIndex: number) => receive({
		kind: PeerMessageKind.Append, term: 2, previousIndex: 0, previousTerm: 0, entries, commitIndex, sentAtMs: 0,
	});

	const settled: string[] = [];

	const propose = (name: string) => {
		runner.propose(name).then(answer => settled.push(`${name} ${String(answer)}`), (error: unknown) => settled.push(`${name} ${String((error as ProposalError).isDefiniteFailure)}`));
	};

	await lead(1);

	return {
		runner, receive, lead, follow, settled, propose,
	};
};

const noop: Entry = {index: 1, term: 2, payload: {kind: EntryKind.Noop}};

test('proposals behind the committed first entry of another leader are rejected with it, and not with the next changes', async t => {
	const {runner, follow, settled, propose} = await openLeader();
	t.is(runner.getState().role, ReplicaRole.Leader);
	propose('first');
	propose('second');
	await follow([noop], 0);
	t.deepEqual(settled, []);
	await follow([noop], 1);
	t.deepEqual(settled, ['first true', 'second true']);
	await runner.stop();
});

test('a proposal whose place in the log is taken by a proposal of a later term is rejected', async t => {
	const {runner, receive, lead, follow, settled, propose} = await openLeader();
	propose('first');
	propose('second');
	await follow([noop], 0);
	await lead(3);
	t.is(runner.getState().role, ReplicaRole.Leader);
	propose('third');
	await setImmediate();
	await receive({
		kind: PeerMessageKind.AppendReply, term: 3, isAccepted: true, index: 3, rejectedIndex: 1, sentAtMs: 0,
	});
	t.deepEqual(settled.toSorted(), ['first true', 'second false', 'third third']);
	await runner.stop();
});

test('a replica that hears a leader lacks what was committed before, until it has applied an entry of the leader\'s term', async t => {
	const {runner, follow} = await openLeader();
	await follow([noop], 0);
	t.false(runner.hasApplied(0));
	await follow([noop], 1);
	t.true(runner.hasApplied(1));
	t.false(runner.hasApplied(2));
	await runner.stop();
});
