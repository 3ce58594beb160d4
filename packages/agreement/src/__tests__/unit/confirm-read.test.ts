import test from 'ava';
import {
	createReplica, EffectKind, isReadConfirmed, MessageKind, ReplicaRole, stepReplica, type Effect, type Member, type Message, type ReplicaState,
} from '../../index.js';

const members: readonly Member[] = ['a', 'b', 'c'].map(id => ({
	id, name: id, address: `${id}:1`, isVoter: true,
}));

// Three replicas that start with the same members. Messages are delivered at once, except from and to partitioned replicas.
const createThreeReplicas = () => {
	const states = new Map<string, ReplicaState>(members.map(({id}) => [id, createReplica({
		id, nowMs: 0, snapshot: {index: 0, term: 0, members},
	})]));
	const partitionedIds = new Set<string>();

	const step = (id: string, message: Message, nowMs: number) => {
		const next = stepReplica(states.get(id)!, message, nowMs);
		states.set(id, next.state);
		deliver(id, next.effects, nowMs);
	};

	const deliver = (from: string, effects: readonly Effect[], nowMs: number) => {
		for (const effect of effects) {
			if (effect.kind === EffectKind.Send && !partitionedIds.has(from) && !partitionedIds.has(effect.to)) {
				step(effect.to, {kind: MessageKind.Peer, from, message: effect.message}, nowMs);
			}
		}
	};

	const runUntil = (fromMs: number, toMs: number) => {
		for (let nowMs = fromMs; nowMs <= toMs; nowMs += 10) {
			for (const {id} of members) {
				step(id, {kind: MessageKind.Tick}, nowMs);
			}
		}
	};

	return {
		states, partitionedIds, step, runUntil, listLeaders: () => [...states.values()].filter(state => state.role === ReplicaRole.Leader),
	};
};

test('replicas that start with the same members form exactly one group', t => {
	const group = createThreeReplicas();
	group.runUntil(0, 3000);
	t.is(group.listLeaders().length, 1);
	t.is(new Set([...group.states.values()].map(state => state.leaderId)).size, 1);
});

test('a read is confirmed only by replies to messages that were sent after it', t => {
	const group = createThreeReplicas();
	group.runUntil(0, 3000);
	const {id} = group.listLeaders()[0]!;
	t.false(isReadConfirmed(group.states.get(id)!, 3005));
	group.step(id, {kind: MessageKind.ConfirmLeadership}, 3006);
	t.true(isReadConfirmed(group.states.get(id)!, 3005));
});

test('a leader that was partitioned or suspended confirms no read, although it leads by its own clock', t => {
	const group = createThreeReplicas();
	group.runUntil(0, 3000);
	const {id} = group.listLeaders()[0]!;
	group.partitionedIds.add(id);
	// The leader is not stepped, so its clock stays at 3000.
	const others = members.filter(member => member.id !== id);

	for (let nowMs = 3010; nowMs <= 6000; nowMs += 10) {
		for (const other of others) {
			group.step(other.id, {kind: MessageKind.Tick}, nowMs);
		}
	}

	t.is(group.listLeaders().length, 2);
	group.partitionedIds.clear();
	group.step(id, {kind: MessageKind.ConfirmLeadership}, 3002);
	t.false(isReadConfirmed(group.states.get(id)!, 3001));
});
