import test from 'ava';
import {
	createReplica, EntryKind, MessageKind, PeerMessageKind, ReplicaRole, stepReplica, type PeerMessage, type ReplicaState,
} from '../../index.js';
import {createGroup, createMember, runGroup} from './group.js';

function chooseRoles(group: ReturnType<typeof createGroup>) {
	const leader = group.findLeader()!.state.id;
	const [between, cutOff] = ['a', 'b', 'c'].filter(id => id !== leader) as [string, string];
	const isCut = (letter: {from: string; to: string}) => [letter.from, letter.to].includes(leader) && [letter.from, letter.to].includes(cutOff);

	return {leader, between, isCut};
}

test('a replica that hears the leader gives no vote to one that does not', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const {leader, isCut} = chooseRoles(group);

	for (let step = 0; step < 300; step++) {
		runGroup(group, {forMs: 20, isCut});
		t.deepEqual(group.findLeaseHolders(), [leader]);
	}
});

test('a restarted replica gives no vote while the lease it answered may run', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const {between, isCut} = chooseRoles(group);

	for (let step = 0; step < 300; step++) {
		runGroup(group, {forMs: 20, isCut});
		t.true(group.findLeaseHolders().length <= 1, `at ${group.nowMs}`);
		group.crash(between);
		group.restart(between);
	}
});

test('an entry of an earlier term is not committed by counting copies', t => {
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
	t.is(state.commitIndex, 0, 'three of five hold index 2, yet a later leader may still replace it');
	accept('b', 3);
	accept('c', 3);
	t.is(state.commitIndex, 3);
});
