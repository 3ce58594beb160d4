import test from 'ava';
import {MessageKind, PeerMessageKind, type ReplicaState} from '../../index.js';
import {createGroup} from './group.js';

// Delivers all messages in flight and returns the largest number of entries in one of them.
const deliverAll = (group: ReturnType<typeof createGroup>): number => {
	let maxEntryCount = 0;

	for (let round = 0; group.inFlight.length > 0 && round < 500; round++) {
		const {message} = group.inFlight[0]!;
		maxEntryCount = Math.max(maxEntryCount, message.kind === PeerMessageKind.Append ? message.entries.length : 0);
		group.deliver(0);
	}

	return maxEntryCount;
};

test('a member that was down receives large commands in messages of limited size, and catches up', t => {
	const group = createGroup(['a', 'b', 'c']);

	while (group.findLeader() === undefined) {
		group.nowMs += 50;

		for (const id of ['a', 'b', 'c']) {
			group.send(id, {kind: MessageKind.Tick});
		}

		deliverAll(group);
	}

	const leaderId = group.findLeader()!.state.id;
	const downId = ['a', 'b', 'c'].find(id => id !== leaderId)!;
	group.crash(downId);
	const text = 'x'.repeat(4_000_000);

	for (let number = 0; number < 12; number++) {
		group.send(leaderId, {kind: MessageKind.Propose, proposalId: `p${number}`, command: {version: number, text}});
		deliverAll(group);
	}

	group.restart(downId);
	const getIndex = (id: string) => {
		const {state}: {readonly state: ReplicaState} = group.nodes.get(id)!;

		return state.log.entries.at(-1)?.index;
	};

	let maxEntryCount = 0;

	for (let round = 0; getIndex(downId) !== getIndex(leaderId) && round < 200; round++) {
		group.nowMs += 50;
		group.send(leaderId, {kind: MessageKind.Tick});
		maxEntryCount = Math.max(maxEntryCount, deliverAll(group));
	}

	t.true(maxEntryCount > 1);
	t.true(maxEntryCount <= 4, 'at most sixteen million characters of text in a message');
	t.is(getIndex(downId), getIndex(leaderId));
});
