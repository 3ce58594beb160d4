import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {
	EntryKind, PeerMessageKind, ReplicaRole, type AppendMessage, type Entry, type Member, type PeerMessage,
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
	const clock = createManualClock();
	const sent: PeerMessage[] = [];
	const runner = await createReplicaRunner({
		id: 'a', clock, store, machine: {apply: command => command, encode: () => undefined, decode: () => undefined},
		send(_to, message) {
			sent.push(message);
		},
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

	const follow = async (entries: readonly Entry[], commitIndex: number, confirmation: Pick<AppendMessage, 'confirmedForMs' | 'reading'> = {}) => receive({
		kind: PeerMessageKind.Append, term: 2, previousIndex: 0, previousTerm: 0, entries, commitIndex, sentAtMs: 0, ...confirmation,
	});

	const settled: string[] = [];

	const propose = (name: string) => {
		runner.propose(name).then(answer => settled.push(`${name} ${String(answer)}`), (error: unknown) => settled.push(`${name} ${String((error as ProposalError).isDefiniteFailure)}`));
	};

	await lead(1);

	return {
		runner, clock, sent, receive, lead, follow, settled, propose,
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

test('a replica that hears a leader lacks what was committed before, until it has applied what a confirmed message of the leader states', async t => {
	const {runner, clock, sent, follow} = await openLeader();
	clock.advance(1000);
	await follow([noop], 0);
	t.is(runner.getKnownAtMs(), undefined);
	const reply = sent.findLast(message => message.kind === PeerMessageKind.AppendReply);
	const reading = reply?.kind === PeerMessageKind.AppendReply ? reply.reading : undefined;
	t.is(reading?.atMs, 1000);
	clock.advance(200);
	await follow([noop], 2, {confirmedForMs: 50, reading});
	t.is(runner.getKnownAtMs(), undefined);
	await follow([noop], 1);
	t.is(runner.getKnownAtMs(), undefined);
	await follow([noop], 1, {confirmedForMs: 40, reading: {clockId: 'clock-of-another-run', atMs: 1000}});
	t.is(runner.getKnownAtMs(), undefined);
	await follow([noop], 1, {confirmedForMs: 40, reading});
	t.is(runner.getKnownAtMs(), 960);
	clock.advance(5000);
	t.is(runner.getKnownAtMs(), 960);
	await runner.stop();
});
