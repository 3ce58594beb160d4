import test from 'ava';
import {
	createReplica, EntryKind, MessageKind, PeerMessageKind, ReplicaRole, stepReplica, type PeerMessage, type ReplicaState,
} from '../../index.js';
import {createGroup, createMember, runGroup} from './group.js';

// Cuts the link between the leader and one follower; the other follower stays connected to both.
function partitionFromLeader(group: ReturnType<typeof createGroup>) {
	const leader = group.findLeader()!.state.id;
	const [connected, partitioned] = ['a', 'b', 'c'].filter(id => id !== leader) as [string, string];
	const isDropped = (envelope: {from: string; to: string}) => [envelope.from, envelope.to].includes(leader)
		&& [envelope.from, envelope.to].includes(partitioned);

	return {leader, connected, isDropped};
}

test('a replica that receives heartbeats grants no vote to one that does not', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const {leader, isDropped} = partitionFromLeader(group);

	for (let step = 0; step < 300; step++) {
		runGroup(group, {forMs: 20, isDropped});
		t.deepEqual(group.findLeaseHolders(), [leader]);
	}
});

test('a restarted replica grants no vote while a lease that it acknowledged before may still be held', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const {connected, isDropped} = partitionFromLeader(group);

	for (let step = 0; step < 300; step++) {
		runGroup(group, {forMs: 20, isDropped});
		t.true(group.findLeaseHolders().length <= 1, `at ${group.nowMs}`);
		group.crash(connected);
		group.restart(connected);
	}
});

test('an entry of an earlier term is not committed just because a majority holds it', t => {
	const members = ['a', 'b', 'c', 'd', 'e'].map(id => createMember(id));
	let state: ReplicaState = createReplica({
		id: 'a',
		nowMs: 0,
		hardState: {term: 3, votedFor: undefined},
		entries: [
			{index: 1, term: 1, payload: {kind: EntryKind.Members, members}},
			{index: 2, term: 2, payload: {kind: EntryKind.Noop}},
		],
	});
	const nowMs = 5000;

	const receive = (from: string, message: PeerMessage) => {
		state = stepReplica(state, {kind: MessageKind.Peer, from, message}, nowMs).state;
	};

	state = stepReplica(state, {kind: MessageKind.Tick}, nowMs).state;

	for (const isPreVote of [true, false]) {
		for (const from of ['b', 'c']) {
			receive(from, {
				kind: PeerMessageKind.VoteReply, term: 4, isPreVote, isGranted: true,
			});
		}
	}

	t.is(state.role, ReplicaRole.Leader);

	const accept = (from: string, index: number) => {
		receive(from, {
			kind: PeerMessageKind.AppendReply, term: 4, isAccepted: true, index, rejectedIndex: 0, sentAtMs: nowMs,
		});
	};

	accept('b', 2);
	accept('c', 2);
	t.is(state.commitIndex, 0, 'three of five hold index 2, but a later leader may still overwrite it');
	accept('b', 3);
	accept('c', 3);
	t.is(state.commitIndex, 3);
});
