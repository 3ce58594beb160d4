import test from 'ava';
import {
	createReplica, EffectKind, isReadConfirmed, MessageKind, ReplicaRole, stepReplica, type Effect, type Member, type Message, type ReplicaState,
} from '../../index.js';

const members: readonly Member[] = ['a', 'b', 'c'].map(id => ({
	id, name: id, address: `${id}:1`, isVoter: true,
}));

// Three replicas of one first group; messages arrive at once, but from and to those that are cut off.
const createTrio = () => {
	const states = new Map<string, ReplicaState>(members.map(({id}) => [id, createReplica({
		id, nowMs: 0, snapshot: {index: 0, term: 0, members},
	})]));
	const cutOff = new Set<string>();

	const step = (id: string, message: Message, nowMs: number) => {
		const next = stepReplica(states.get(id)!, message, nowMs);
		states.set(id, next.state);
		deliver(id, next.effects, nowMs);
	};

	const deliver = (from: string, effects: readonly Effect[], nowMs: number) => {
		for (const effect of effects) {
			if (effect.kind === EffectKind.Send && !cutOff.has(from) && !cutOff.has(effect.to)) {
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
		states, cutOff, step, runUntil, listLeaders: () => [...states.values()].filter(state => state.role === ReplicaRole.Leader),
	};
};

test('exactly one group comes of seeds that begin with the same members', t => {
	const trio = createTrio();
	trio.runUntil(0, 3000);
	t.is(trio.listLeaders().length, 1);
	t.is(new Set([...trio.states.values()].map(state => state.leaderId)).size, 1);
});

test('a read is confirmed by answers to what was sent after it, and by nothing older', t => {
	const trio = createTrio();
	trio.runUntil(0, 3000);
	const {id} = trio.listLeaders()[0]!;
	t.false(isReadConfirmed(trio.states.get(id)!, 3005));
	trio.step(id, {kind: MessageKind.Confirm}, 3006);
	t.true(isReadConfirmed(trio.states.get(id)!, 3005));
});

test('a leader that was cut off, or stood still, confirms no read, though its own clock says that it leads', t => {
	const trio = createTrio();
	trio.runUntil(0, 3000);
	const {id} = trio.listLeaders()[0]!;
	trio.cutOff.add(id);
	// Its clock stands at 3000 meanwhile: it is not stepped.
	const others = members.filter(member => member.id !== id);

	for (let nowMs = 3010; nowMs <= 6000; nowMs += 10) {
		for (const other of others) {
			trio.step(other.id, {kind: MessageKind.Tick}, nowMs);
		}
	}

	t.is(trio.listLeaders().length, 2);
	trio.cutOff.clear();
	trio.step(id, {kind: MessageKind.Confirm}, 3002);
	t.false(isReadConfirmed(trio.states.get(id)!, 3001));
});
