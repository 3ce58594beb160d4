import test from 'ava';
import {
	callAndValidate, createLinkCommands, isFindPiecesMessage, isJoinMessage, isPollStateMessage, LinkFaultKind, LinkMessageKind, ReplyError, type LinkFault, type LinkReply,
} from '../../index.js';

const createTestCommands = () => {
	const faults: LinkFault[] = [];
	const commands = createLinkCommands({
		onFault(fault) {
			faults.push(fault);
		},
	});
	const dispatch = (message: unknown) => {
		let answer: LinkReply | undefined;
		commands.dispatch(message, reply => {
			answer = reply;
		});

		return answer;
	};

	return {commands, dispatch, faults};
};

test('a handler receives only messages that its guard accepts', t => {
	const {commands, dispatch, faults} = createTestCommands();
	const handled: unknown[] = [];
	commands.registerCommand(LinkMessageKind.Join, isJoinMessage, ({reply, ...message}) => {
		handled.push(message);
		reply?.({kind: 'noted'});

		return true;
	});
	const good = {
		kind: LinkMessageKind.Join, id: 'a', name: 'b', address: 'c',
	};
	t.deepEqual(dispatch(good), {kind: 'noted'});

	for (const bad of [7, null, undefined, [], 'join', {}, {kind: 7}, {kind: {}}, {kind: 'x'.repeat(100)}]) {
		t.is(dispatch(bad)?.kind, 'error');
		t.is(faults.at(-1)?.fault, LinkFaultKind.InvalidMessage);
	}

	for (const field of ['id', 'name', 'address']) {
		for (const value of [undefined, 7, null, Number.NaN, [], {}, 'x'.repeat(5000), Object.create({length: 1}) as unknown]) {
			t.is(dispatch({...good, [field]: value})?.kind, 'error');
			t.is(faults.at(-1)?.fault, LinkFaultKind.Malformed);
		}
	}

	t.deepEqual(handled, [good]);
});

test('a message of an unknown kind, as from a newer version, is answered with an error and reported', t => {
	const {dispatch, faults} = createTestCommands();
	t.deepEqual(dispatch({kind: 'teleport', anything: 1}), {kind: 'error', message: 'teleport: not_served'});
	t.deepEqual(faults, [{fault: LinkFaultKind.UnsupportedKind, kind: 'teleport'}]);
	t.is(dispatch({kind: '__proto__'})?.kind, 'error');
});

test('an error thrown by a handler affects only its message', t => {
	const {commands, dispatch, faults} = createTestCommands();
	const unregister = commands.registerCommand(LinkMessageKind.PollState, isPollStateMessage, () => {
		throw new RangeError('defect');
	});
	t.is(dispatch({kind: LinkMessageKind.PollState, publicVersion: 1})?.kind, 'error');
	t.like(faults.at(-1), {fault: LinkFaultKind.HandlerFailed, kind: LinkMessageKind.PollState});
	unregister();
	t.is(dispatch({kind: LinkMessageKind.PollState, publicVersion: 1})?.kind, 'error');
	t.is(faults.at(-1)?.fault, LinkFaultKind.UnsupportedKind);
});

test('arrays are limited in length, and each element is checked', t => {
	t.true(isFindPiecesMessage({hashes: ['a']}));
	t.false(isFindPiecesMessage({hashes: Array.from({length: 1001}, () => 'a')}));
	t.false(isFindPiecesMessage({hashes: ['a', 7]}));
	t.false(isFindPiecesMessage({hashes: {length: 0}}));
});

test('an invalid reply fails its call', async t => {
	for (const reply of [undefined, null, 7, {}, {kind: 'hello?'}, {kind: 'pieces', held: [['a']]}, {kind: 'state', publicVersion: '1', controlAddresses: []}]) {
		await t.throwsAsync(callAndValidate({call: async () => reply}, {address: 'a', message: {kind: LinkMessageKind.ReadPublished}, timeoutMs: 1}), {instanceOf: ReplyError});
	}

	t.deepEqual(await callAndValidate({call: async () => ({kind: 'noted'})}, {address: 'a', message: {kind: LinkMessageKind.ReadPublished}, timeoutMs: 1}), {kind: 'noted'});
});
