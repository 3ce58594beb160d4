import test from 'ava';
import {MessageKind, PeerMessageKind, type ReplicaState} from '../../index.js';
import {createGroup} from './group.js';

// Delivers all letters, and returns the most entries that one of them held.
const deliverAll = (group: ReturnType<typeof createGroup>): number => {
	let most = 0;

	for (let turn = 0; group.letters.length > 0 && turn < 500; turn++) {
		const {message} = group.letters[0]!;
		most = Math.max(most, message.kind === PeerMessageKind.Append ? message.entries.length : 0);
		group.deliver(0);
	}

	return most;
};

test('a member that was away is sent large commands in messages that a link takes, and catches up', t => {
	const group = createGroup(['a', 'b', 'c']);

	while (group.findLeader() === undefined) {
		group.nowMs += 50;

		for (const id of ['a', 'b', 'c']) {
			group.send(id, {kind: MessageKind.Tick});
		}

		deliverAll(group);
	}

	const leaderId = group.findLeader()!.state.id;
	const awayId = ['a', 'b', 'c'].find(id => id !== leaderId)!;
	group.crash(awayId);
	const text = 'x'.repeat(4_000_000);

	for (let number = 0; number < 12; number++) {
		group.send(leaderId, {kind: MessageKind.Propose, proposalId: `p${number}`, command: {version: number, text}});
		deliverAll(group);
	}

	group.restart(awayId);
	const getIndex = (id: string) => {
		const {state}: {readonly state: ReplicaState} = group.nodes.get(id)!;

		return state.log.entries.at(-1)?.index;
	};

	let most = 0;

	for (let turn = 0; getIndex(awayId) !== getIndex(leaderId) && turn < 200; turn++) {
		group.nowMs += 50;
		group.send(leaderId, {kind: MessageKind.Tick});
		most = Math.max(most, deliverAll(group));
	}

	t.true(most > 1);
	t.true(most <= 4, 'sixteen million characters of text at most');
	t.is(getIndex(awayId), getIndex(leaderId));
});
