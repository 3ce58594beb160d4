import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {createReadForwarder} from '../../read-forwarder.js';

const waitForTick = async () => new Promise<void>(resolve => {
	process.nextTick(resolve);
});

const openForwarder = () => {
	const forwarded: string[] = [];
	const state = {takesMore: true, isRead: true};
	const socket = {
		destroyed: false,
		on: () => undefined,
		pause() {
			state.isRead = false;
		},
		resume() {
			state.isRead = true;
		},
	};
	const forwarder = createReadForwarder({
		socket: socket as unknown as Socket,
		forward(bytes) {
			forwarded.push(bytes.toString());

			return state.takesMore;
		},
	});

	return {forwarder, forwarded, state};
};

test('what is read in one turn is handed on in one piece', async t => {
	const {forwarder, forwarded} = openForwarder();

	for (const text of ['a', 'b']) {
		forwarder.push(Buffer.from(text));
	}

	t.deepEqual(forwarded, []);
	await waitForTick();
	forwarder.push(Buffer.from('c'));
	forwarder.flush();
	await waitForTick();
	t.deepEqual(forwarded, ['ab', 'c']);
});

test('a connection whose receiver is paused is not read, and nothing is handed on until it takes more', async t => {
	const {forwarder, forwarded, state} = openForwarder();
	state.takesMore = false;
	forwarder.push(Buffer.from('a'));
	await waitForTick();
	t.false(state.isRead);
	forwarder.push(Buffer.from('b'));
	await waitForTick();
	t.deepEqual(forwarded, ['a']);
	forwarder.resume();
	t.deepEqual(forwarded, ['a', 'b']);
	t.false(state.isRead);
	state.takesMore = true;
	forwarder.resume();
	t.true(state.isRead);
});

test('the end is told once all has been handed on, and does not keep the connection from being read', async t => {
	const {forwarder, forwarded, state} = openForwarder();
	let ends = 0;
	const onEnd = () => {
		ends++;
	};

	state.takesMore = false;
	forwarder.push(Buffer.from('a'));
	await waitForTick();
	forwarder.push(Buffer.from('b'));
	forwarder.end(onEnd);
	t.true(state.isRead);
	t.is(ends, 0);
	state.takesMore = true;
	forwarder.resume();
	t.deepEqual(forwarded, ['a', 'b']);
	t.is(ends, 1);
	const other = openForwarder();
	other.forwarder.push(Buffer.from('a'));
	other.forwarder.end(onEnd);
	t.deepEqual(other.forwarded, ['a']);
	t.is(ends, 2);
});
