import test from 'ava';
import {
	MessageKind, PeerMessageKind, planMembershipChange, ReplicaRole, stepReplica,
} from '../../index.js';
import {createGroup, createMember, runGroup} from './group.js';

/** A leader with two followers, of which one comes back with an empty disk under the id that it had. */
function createGroupWithLostLog() {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const leader = group.findLeader()!.state.id;
	const [lost, other] = ['a', 'b', 'c'].filter(id => id !== leader) as [string, string];
	group.send(leader, {kind: MessageKind.Propose, proposalId: 'before', command: 'before'});
	runGroup(group, {forMs: 500});
	group.wipe(lost, lost);

	return {
		group, leader, lost, other,
	};
}

test('a follower whose log ends before what it has acknowledged counts neither for the lease nor for reads or entries', t => {
	const {group, leader, other} = createGroupWithLostLog();
	runGroup(group, {forMs: 500});
	t.deepEqual(group.findLeaseHolders(), [leader], 'the other follower still counts');
	group.crash(other);
	group.send(leader, {kind: MessageKind.Propose, proposalId: 'after', command: 'after'});
	runGroup(group, {forMs: 3000});
	t.deepEqual(group.findLeaseHolders(), []);
	t.false([...group.applied.values()].some(value => String(value).includes('"after"')));
});

test('a follower whose log ends before what it has acknowledged is replaced by a new member', t => {
	const {group, leader, lost, other} = createGroupWithLostLog();
	runGroup(group, {forMs: 3000});
	const {state} = group.nodes.get(leader)!;
	const candidate = {...createMember('fresh', false), address: 'elsewhere:1'};
	const members = planMembershipChange({
		members: state.members, candidates: [candidate], nowMs: group.nowMs, wantedVoters: 3, lostMs: 2500,
		getLastHeardAtMs: id => id === leader ? group.nowMs : Math.max(0, state.progress.get(id)!.ackedSentAtMs),
	});
	t.is(members?.at(-1)?.replaces, lost);
	group.wipe('nobody', 'fresh');
	group.send(leader, {kind: MessageKind.ChangeMembers, proposalId: 'replace', members: members!});
	runGroup(group, {forMs: 2000});
	t.deepEqual(group.nodes.get(leader)!.state.members.map(member => member.id).toSorted(), [leader, other, 'fresh'].toSorted());
});

test('a late rejection of an append that was sent before the follower had caught up does not show a lost log', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const leader = group.findLeader()!.state.id;
	const [slow, other] = ['a', 'b', 'c'].filter(id => id !== leader) as [string, string];
	const late: typeof group.inFlight = [];

	// The follower misses entries and rejects the appends after them; its rejections arrive once it has caught up.
	for (let count = 0; count < 5; count++) {
		group.send(leader, {kind: MessageKind.Propose, proposalId: `p${count}`, command: count});
		runGroup(group, {
			forMs: 200, isDropped(envelope) {
				if (envelope.from === slow) {
					late.push(envelope);
				}

				return envelope.from === slow || (envelope.to === slow && count < 3);
			},
		});
	}

	t.true(late.length > 0);
	runGroup(group, {forMs: 1000});
	group.inFlight.push(...late);
	runGroup(group, {forMs: 1000});
	group.crash(other);
	runGroup(group, {forMs: 3000});
	t.deepEqual(group.findLeaseHolders(), [leader], 'the follower counts');
});

test('the vote of a follower whose log ends before what it has acknowledged does not count', t => {
	const {group, leader, lost, other} = createGroupWithLostLog();
	runGroup(group, {forMs: 500});
	const {state} = group.nodes.get(leader)!;

	for (const [role, isPreVote] of [[ReplicaRole.PreCandidate, true], [ReplicaRole.Candidate, false]] as const) {
		const candidate = {...state, role, votes: new Set([leader])};
		const countVote = (from: string) => stepReplica(candidate, {
			kind: MessageKind.Peer, from, message: {
				kind: PeerMessageKind.VoteReply, isPreVote, term: isPreVote ? state.term + 1 : state.term, isGranted: true,
			},
		}, group.nowMs).state;
		t.is(countVote(lost).role, role);
		t.not(countVote(other).role, role);
	}
});
