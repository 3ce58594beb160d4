import test from 'ava';
import fc from 'fast-check';
import {
	EntryKind, isLeaseHeld, MessageKind, ReplicaRole,
} from '../../index.js';
import {
	createGroup, createMember, runGroup, type Group,
} from './group.js';

const runs = 300;
const seed = 20_261_204;

function propose(group: Group, id: string, proposalId: string): void {
	group.send(id, {kind: MessageKind.Propose, proposalId, command: proposalId});
}

function getLeaderId(group: Group): string {
	return group.findLeader()?.state.id ?? 'none';
}

function isApplied(group: Group, proposalId: string): boolean {
	return [...group.applied.values()].some(value => String(value).includes(`"${proposalId}"`));
}

enum Act {
	Tick,
	Deliver,
	Drop,
	Duplicate,
	Propose,
	Crash,
	Restart,
	Compact,
	Transfer,
}

type Move = {readonly act: Act; readonly pick: number; readonly ms: number};

function play(group: Group, ids: readonly string[], move: Move, count: number): void {
	const id = ids[move.pick % ids.length]!;
	const position = group.letters.length === 0 ? 0 : move.pick % group.letters.length;

	switch (move.act) {
		case Act.Tick: {
			group.nowMs += move.ms;

			for (const other of ids) {
				group.send(other, {kind: MessageKind.Tick});
			}

			break;
		}

		case Act.Deliver: {
			group.deliver(position);
			break;
		}

		case Act.Drop: {
			group.letters.splice(position, 1);
			break;
		}

		case Act.Duplicate: {
			const letter = group.letters[position];

			if (letter !== undefined) {
				group.letters.push(letter);
			}

			break;
		}

		case Act.Propose: {
			propose(group, id, `p${count}`);
			break;
		}

		case Act.Crash: {
			group.crash(id);
			break;
		}

		case Act.Restart: {
			group.restart(id);
			break;
		}

		case Act.Compact: {
			group.compact(id);
			break;
		}

		case Act.Transfer: {
			group.send(id, {kind: MessageKind.TransferLeadership});
			break;
		}
	}
}

const weightedActs = [
	{arbitrary: fc.constant(Act.Tick), weight: 6},
	{arbitrary: fc.constant(Act.Deliver), weight: 24},
	{arbitrary: fc.constant(Act.Drop), weight: 2},
	{arbitrary: fc.constant(Act.Duplicate), weight: 2},
	{arbitrary: fc.constant(Act.Propose), weight: 4},
	{arbitrary: fc.constant(Act.Crash), weight: 1},
	{arbitrary: fc.constant(Act.Restart), weight: 2},
	{arbitrary: fc.constant(Act.Compact), weight: 1},
	{arbitrary: fc.constant(Act.Transfer), weight: 1},
];

const moves = fc.array(
	fc.record({act: fc.oneof(...weightedActs), pick: fc.nat(1000), ms: fc.integer({min: 10, max: 400})}),
	{minLength: 150, maxLength: 400},
);

for (const size of [3, 5]) {
	test(`${size} replicas never apply different values, nor hold two leases, whatever is lost, late, doubled or restarted`, t => {
		const ids = ['a', 'b', 'c', 'd', 'e'].slice(0, size);
		let appliedCount = 0;

		fc.assert(fc.property(moves, sequence => {
			const group = createGroup(ids);
			runGroup(group, {forMs: 2000});

			for (const [count, move] of sequence.entries()) {
				play(group, ids, move, count);

				if (group.findLeaseHolders().length > 1) {
					throw new Error(`two leases at ${group.nowMs}: ${group.findLeaseHolders().join(', ')}`);
				}
			}

			for (const id of ids) {
				group.restart(id);
			}

			group.letters.length = 0;
			runGroup(group, {forMs: 6000});
			propose(group, getLeaderId(group), 'last');
			runGroup(group, {forMs: 1000});
			appliedCount += group.applied.size;

			return [...group.nodes.values()].every(node => node.values.length === group.applied.size) && isApplied(group, 'last');
		}), {numRuns: runs, seed});
		t.true(appliedCount > runs * 4);
	});
}

test('a leader cut off in silence stops answering before another is elected', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	let didOverlap = false;

	for (let step = 0; step < 200; step++) {
		runGroup(group, {forMs: 20, isCut: letter => letter.from === old || letter.to === old});
		didOverlap ||= group.findLeaseHolders().length > 1;
	}

	t.false(didOverlap);
	t.not(getLeaderId(group), old);
	t.false(group.nodes.get(old)!.state.role === ReplicaRole.Leader);
	const {term} = group.findLeader()!.state;
	runGroup(group, {forMs: 3000});
	t.is(group.findLeader()!.state.term, term, 'the return of the old leader disturbs nobody');
});

test('a leader frozen for long holds no lease when it wakes', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	const frozen = group.nodes.get(old)!;
	group.nodes.delete(old);
	runGroup(group, {forMs: 5000});
	group.nodes.set(old, frozen);
	t.false(isLeaseHeld(frozen.state, group.nowMs));
	t.is(group.findLeaseHolders().length, 1);
});

test('a cut in one direction leaves the group able to commit', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	const isCut = (letter: {from: string; to: string}) => letter.to === old;
	runGroup(group, {forMs: 5000, isCut});
	const fresh = getLeaderId(group);
	t.not(fresh, old);
	propose(group, fresh, 'after');
	runGroup(group, {forMs: 1000, isCut});
	t.true(isApplied(group, 'after'));
});

test('without a majority nothing is committed', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const leader = getLeaderId(group);

	for (const id of ['a', 'b', 'c'].filter(other => other !== leader)) {
		group.crash(id);
	}

	propose(group, leader, 'lost');
	runGroup(group, {forMs: 3000});
	t.false(isApplied(group, 'lost'));
	t.is(group.findLeaseHolders().length, 0);
});

test('a replica that lost its disk rejoins under a new id, and a second loss right after loses nothing', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const leader = getLeaderId(group);
	const [lost, other] = ['a', 'b', 'c'].filter(id => id !== leader) as [string, string];

	for (let index = 0; index < 20; index++) {
		propose(group, leader, `early-${index}`);
	}

	runGroup(group, {forMs: 1000});
	group.compact(leader);
	group.wipe(lost, 'fresh');
	const {members} = group.nodes.get(leader)!.state;
	group.send(leader, {
		kind: MessageKind.ChangeMembers,
		proposalId: 'replace',
		members: [...members, {...createMember('fresh', false), replaces: lost}],
	});
	runGroup(group, {forMs: 2000});
	t.deepEqual(group.nodes.get(leader)!.state.members.map(member => member.id).toSorted(), [leader, other, 'fresh'].toSorted());
	t.true(group.nodes.get(leader)!.state.members.every(member => member.isVoter));
	group.crash(other);
	propose(group, leader, 'late');
	runGroup(group, {forMs: 2000});
	t.true(isApplied(group, 'late'));
	t.deepEqual(group.nodes.get('fresh')!.values, group.nodes.get(leader)!.values);
});

test('a wiped replica without members neither votes itself into office nor opens a group of its own', t => {
	const group = createGroup(['a', 'b', 'c']);
	group.wipe('a', 'fresh');
	group.crash('b');
	group.crash('c');
	runGroup(group, {forMs: 10_000});
	t.is(group.nodes.get('fresh')!.state.role, ReplicaRole.Follower);
	t.is(group.nodes.get('fresh')!.state.term, 0);
});

test('members change one at a time', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const leader = getLeaderId(group);
	const {members} = group.nodes.get(leader)!.state;
	group.send(leader, {kind: MessageKind.ChangeMembers, proposalId: 'two', members: [...members, createMember('d'), createMember('e')]});
	t.false(group.accepted.has('two'));
	group.send(leader, {kind: MessageKind.ChangeMembers, proposalId: 'one', members: [...members, createMember('d', false)]});
	group.send(leader, {kind: MessageKind.ChangeMembers, proposalId: 'next', members: [...members, createMember('e', false)]});
	t.true(group.accepted.has('one'));
	t.false(group.accepted.has('next'));
});

test('a leader that is stopped hands over at once', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	group.send(old, {kind: MessageKind.TransferLeadership});
	runGroup(group, {forMs: 100});
	t.is(group.findLeaseHolders().length, 1);
	t.not(getLeaderId(group), old);
});

test('the first member opens the group and takes learners in', t => {
	const group = createGroup([]);
	group.wipe('x', 'a');
	group.wipe('y', 'b');
	group.send('a', {kind: MessageKind.ChangeMembers, proposalId: 'init', members: [createMember('a')]});
	runGroup(group, {forMs: 1000});
	t.is(getLeaderId(group), 'a');
	group.send('a', {kind: MessageKind.ChangeMembers, proposalId: 'add', members: [createMember('a'), createMember('b', false)]});
	runGroup(group, {forMs: 1000});
	t.true(group.nodes.get('b')!.state.members.every(member => member.isVoter));
	t.is(group.nodes.get('b')!.state.log.entries.at(-1)?.payload.kind, EntryKind.Members);
});
