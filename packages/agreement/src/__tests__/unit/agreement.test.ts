import test from 'ava';
import fc from 'fast-check';
import {
	EntryKind, isLeaseHeld, MessageKind, ReplicaRole,
} from '../../index.js';
import {
	createGroup, createMember, runGroup, type Group,
} from './group.js';

const runCount = 300;
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

enum Action {
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

type RandomStep = {readonly action: Action; readonly choice: number; readonly elapsedMs: number};

function performStep(group: Group, ids: readonly string[], step: RandomStep, count: number): void {
	const id = ids[step.choice % ids.length]!;
	const position = group.inFlight.length === 0 ? 0 : step.choice % group.inFlight.length;

	switch (step.action) {
		case Action.Tick: {
			group.nowMs += step.elapsedMs;

			for (const other of ids) {
				group.send(other, {kind: MessageKind.Tick});
			}

			break;
		}

		case Action.Deliver: {
			group.deliver(position);
			break;
		}

		case Action.Drop: {
			group.inFlight.splice(position, 1);
			break;
		}

		case Action.Duplicate: {
			const envelope = group.inFlight[position];

			if (envelope !== undefined) {
				group.inFlight.push(envelope);
			}

			break;
		}

		case Action.Propose: {
			propose(group, id, `p${count}`);
			break;
		}

		case Action.Crash: {
			group.crash(id);
			break;
		}

		case Action.Restart: {
			group.restart(id);
			break;
		}

		case Action.Compact: {
			group.compact(id);
			break;
		}

		case Action.Transfer: {
			group.send(id, {kind: MessageKind.TransferLeadership});
			break;
		}
	}
}

const weightedActions = [
	{arbitrary: fc.constant(Action.Tick), weight: 6},
	{arbitrary: fc.constant(Action.Deliver), weight: 24},
	{arbitrary: fc.constant(Action.Drop), weight: 2},
	{arbitrary: fc.constant(Action.Duplicate), weight: 2},
	{arbitrary: fc.constant(Action.Propose), weight: 4},
	{arbitrary: fc.constant(Action.Crash), weight: 1},
	{arbitrary: fc.constant(Action.Restart), weight: 2},
	{arbitrary: fc.constant(Action.Compact), weight: 1},
	{arbitrary: fc.constant(Action.Transfer), weight: 1},
];

const randomSteps = fc.array(
	fc.record({action: fc.oneof(...weightedActions), choice: fc.nat(1000), elapsedMs: fc.integer({min: 10, max: 400})}),
	{minLength: 150, maxLength: 400},
);

for (const size of [3, 5]) {
	test(`${size} replicas never apply different values or hold two leases when messages are lost, delayed or duplicated and replicas restart`, t => {
		const ids = ['a', 'b', 'c', 'd', 'e'].slice(0, size);
		let appliedCount = 0;

		fc.assert(fc.property(randomSteps, sequence => {
			const group = createGroup(ids);
			runGroup(group, {forMs: 2000});

			for (const [count, step] of sequence.entries()) {
				performStep(group, ids, step, count);

				if (group.findLeaseHolders().length > 1) {
					throw new Error(`two lease holders at ${group.nowMs} ms: ${group.findLeaseHolders().join(', ')}`);
				}
			}

			for (const id of ids) {
				group.restart(id);
			}

			group.inFlight.length = 0;
			runGroup(group, {forMs: 6000});
			propose(group, getLeaderId(group), 'last');
			runGroup(group, {forMs: 1000});
			appliedCount += group.applied.size;

			return [...group.nodes.values()].every(node => node.values.length === group.applied.size) && isApplied(group, 'last');
		}), {numRuns: runCount, seed});
		t.true(appliedCount > runCount * 4);
	});
}

test('a partitioned leader gives up its lease before another leader is elected', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	let didOverlap = false;

	for (let step = 0; step < 200; step++) {
		runGroup(group, {forMs: 20, isDropped: envelope => envelope.from === old || envelope.to === old});
		didOverlap ||= group.findLeaseHolders().length > 1;
	}

	t.false(didOverlap);
	t.not(getLeaderId(group), old);
	t.false(group.nodes.get(old)!.state.role === ReplicaRole.Leader);
	const {term} = group.findLeader()!.state;
	runGroup(group, {forMs: 3000});
	t.is(group.findLeader()!.state.term, term, 'the old leader does not force an election when it returns');
});

test('a leader that was suspended for longer than its lease holds no lease when it resumes', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	const suspended = group.nodes.get(old)!;
	group.nodes.delete(old);
	runGroup(group, {forMs: 5000});
	group.nodes.set(old, suspended);
	t.false(isLeaseHeld(suspended.state, group.nowMs));
	t.is(group.findLeaseHolders().length, 1);
});

test('a group elects another leader and commits when its leader can send but not receive', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	const isDropped = (envelope: {from: string; to: string}) => envelope.to === old;
	runGroup(group, {forMs: 5000, isDropped});
	const newLeader = getLeaderId(group);
	t.not(newLeader, old);
	propose(group, newLeader, 'after');
	runGroup(group, {forMs: 1000, isDropped});
	t.true(isApplied(group, 'after'));
});

test('nothing is committed without a majority', t => {
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

test('a replica that lost its disk rejoins under a new id, and the crash of another member right after it loses no entries', t => {
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

test('a wiped replica without members neither becomes leader nor creates a group of its own', t => {
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

test('a leader that is stopped transfers its leadership at once', t => {
	const group = createGroup(['a', 'b', 'c']);
	runGroup(group, {forMs: 2000});
	const old = getLeaderId(group);
	group.send(old, {kind: MessageKind.TransferLeadership});
	runGroup(group, {forMs: 100});
	t.is(group.findLeaseHolders().length, 1);
	t.not(getLeaderId(group), old);
});

test('the first member creates the group and promotes learners to voters', t => {
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
