import test from 'ava';
import {createSystemClock} from '@fescuestair/core';
import {HelloKind, type Hello} from '@fescuestair/instances';
import {createHelloClient} from '../../index.js';

// A hello client whose coordinators answer at once, except those in `unreachable`; those in `invalidReplies` send an invalid reply.
const createTestClient = ({unreachable = new Set(), invalidReplies = new Map()}: {readonly unreachable?: ReadonlySet<string>; readonly invalidReplies?: ReadonlyMap<string, unknown>} = {}) => {
	const sentHellos: Array<{readonly address: string; readonly hello: Hello}> = [];
	const replied: string[] = [];
	const lost: string[] = [];
	const helloClient = createHelloClient({
		clock: createSystemClock(),
		timeoutMs: 1000,
		links: {
			async call(address, message) {
				const {hello} = message as {readonly hello: Hello};
				sentHellos.push({address, hello});

				if (unreachable.has(address)) {
					throw new Error('no answer');
				}

				return invalidReplies.has(address)
					? invalidReplies.get(address)
					: {
						kind: 'hello', reply: {news: hello.newsAfter && {cursor: {bootId: `boot-${address}`, revision: sentHellos.length}, notes: []}, isCurrent: true},
					};
			},
		},
		getHello: () => ({card: undefined as never, publishedRevision: 3, configVersion: 2}),
		onReply(address) {
			replied.push(address);
		},
		onFailure(address) {
			lost.push(address);
		},
	});

	const sendHello = async (address: string, shouldRequestUpdates?: boolean) => {
		helloClient.sendHello(address, {greeting: HelloKind.Visitor, ...(shouldRequestUpdates !== undefined && {wantsUpdates: shouldRequestUpdates})});
		await new Promise(resolve => {
			setImmediate(resolve);
		});

		return sentHellos.at(-1)?.hello.newsAfter;
	};

	return {
		helloClient, sendHello, replied, lost,
	};
};

test('updates are requested from the cursor of the last reply, per coordinator', async t => {
	const {sendHello, replied} = createTestClient();
	t.deepEqual(await sendHello('a'), {bootId: undefined, revision: 0});
	t.deepEqual(await sendHello('b'), {bootId: undefined, revision: 0});
	t.deepEqual(await sendHello('a'), {bootId: 'boot-a', revision: 1});
	t.is(await sendHello('a', false), undefined);
	t.deepEqual(replied, ['a', 'b', 'a', 'a']);
});

test('a coordinator that does not answer is reported, and the next hello requests all updates', async t => {
	const {sendHello, helloClient, lost, replied} = createTestClient({unreachable: new Set(['a'])});
	await sendHello('a');
	t.deepEqual([lost, replied], [['a'], []]);
	t.false(helloClient.isAwaitingReply('a'));
	t.deepEqual(await sendHello('a'), {bootId: undefined, revision: 0});
});

test('any invalid reply is reported as a failure', async t => {
	for (const reply of [
		7,
		null,
		[],
		{kind: 'hello'},
		{kind: 'hello', reply: 7},
		{kind: 'hello', reply: {isCurrent: 'yes'}},
		{kind: 'other'},
		{kind: 'hello', reply: {isCurrent: true, news: {cursor: {revision: -1}, notes: []}}},
		{kind: 'hello', reply: {isCurrent: true, published: {revision: Number.NaN}}},
		{kind: 'hello', reply: {isCurrent: true, fleet: {renewals: [['i-1', 1, 1, Number.POSITIVE_INFINITY]], coordinators: [], gateways: 1}}},
	]) {
		const {sendHello, lost, replied} = createTestClient({invalidReplies: new Map([['a', reply]])});
		await sendHello('a');
		t.deepEqual([lost, replied], [['a'], []], 'invalid reply');
	}
});
