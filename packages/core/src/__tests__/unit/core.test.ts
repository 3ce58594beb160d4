import test from 'ava';
import {
	CommandPriority, createCommandRegistry, createId, createManualClock, createActor, pickByRendezvous, rankByRendezvous, readIdTimeMs,
} from '../../index.js';

test('a message that an effect sends is handled after the current message', t => {
	const seen: string[] = [];
	const actor = createActor<number, number, number>({
		initialState: 0,
		clock: createManualClock(),
		transition: (state, message) => ({state: state + 1, effects: [message]}),
		perform(effect) {
			seen.push(`start ${effect}`);

			if (effect === 1) {
				actor.send(2);
			}

			seen.push(`end ${effect}`);
		},
		onFailure(error) {
			throw error as Error;
		},
	});
	actor.send(1);
	t.deepEqual(seen, ['start 1', 'end 1', 'start 2', 'end 2']);
	t.is(actor.getState(), 2);
});

test('the error of a transition that throws is reported through onFailure', async t => {
	const error = await new Promise(resolve => {
		const actor = createActor<number, number, number>({
			initialState: 0,
			clock: createManualClock(),
			transition() {
				throw new Error('defect');
			},
			perform: () => undefined,
			onFailure: resolve,
		});
		actor.send(1);
	});
	t.is((error as Error).message, 'defect');
});

test('handlers run by priority until one handles the command, and can be unregistered', t => {
	const registry = createCommandRegistry<{kind: 'a'; id: number}>();
	const seen: string[] = [];
	registry.registerCommand('a', () => {
		seen.push('low');

		return true;
	}, CommandPriority.Low);
	const unregister = registry.registerCommand('a', () => {
		seen.push('high');

		return true;
	}, CommandPriority.High);
	registry.dispatchCommand({kind: 'a', id: 1});
	unregister();
	registry.dispatchCommand({kind: 'a', id: 1});
	t.deepEqual(seen, ['high', 'low']);
});

test('removing a name moves only the keys that were assigned to it', t => {
	const names = ['a', 'b', 'c', 'd'];

	for (let index = 0; index < 200; index++) {
		const before = rankByRendezvous(`key-${index}`, names);
		const after = rankByRendezvous(`key-${index}`, names.filter(name => name !== before[3]));
		t.deepEqual(after, before.slice(0, 3));
	}
});

test('pickByRendezvous returns the first name of the ranking', t => {
	const names = ['a', 'b', 'c', 'd'];

	for (let index = 0; index < 200; index++) {
		t.is(pickByRendezvous(`key-${index}`, names), rankByRendezvous(`key-${index}`, names)[0]);
	}

	t.is(pickByRendezvous('key', []), undefined);
});

test('the time of creation can be read from an identifier', t => {
	t.is(readIdTimeMs(createId('r', 1_796_000_000_123)), 1_796_000_000_123);
	t.is(readIdTimeMs('r-short'), undefined);
});
