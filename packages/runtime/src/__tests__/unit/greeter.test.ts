import test from 'ava';
import {GreetingRole, type Hello} from '@fescuestair/instances';
import {createGreeter} from '../../index.js';

// Coordinators that answer at once, but for those that are down, and those that send what is no reply.
const openGreeter = ({down = new Set(), sick = new Map()}: {readonly down?: ReadonlySet<string>; readonly sick?: ReadonlyMap<string, unknown>} = {}) => {
	const asked: Array<{readonly address: string; readonly hello: Hello}> = [];
	const replied: string[] = [];
	const lost: string[] = [];
	const greeter = createGreeter({
		timeoutMs: 1000,
		links: {
			async call(address, message) {
				const {hello} = message as {readonly hello: Hello};
				asked.push({address, hello});

				if (down.has(address)) {
					throw new Error('no answer');
				}

				return sick.has(address)
					? sick.get(address)
					: {
						kind: 'hello', reply: {news: hello.newsAfter && {cursor: {bootId: `boot-${address}`, revision: asked.length}, notes: []}, isCurrent: true},
					};
			},
		},
		getHello: () => ({card: undefined as never, publishedRevision: 3, configVersion: 2}),
		onReply(address) {
			replied.push(address);
		},
		onLost(address) {
			lost.push(address);
		},
	});

	const greet = async (address: string, wantsNews?: boolean) => {
		greeter.greet(address, {greeting: GreetingRole.Visitor, ...(wantsNews !== undefined && {wantsNews})});
		await new Promise(resolve => {
			setImmediate(resolve);
		});

		return asked.at(-1)?.hello.newsAfter;
	};

	return {
		greeter, greet, replied, lost,
	};
};

test('each coordinator is asked for news from where it was left', async t => {
	const {greet, replied} = openGreeter();
	t.deepEqual(await greet('a'), {bootId: undefined, revision: 0});
	t.deepEqual(await greet('b'), {bootId: undefined, revision: 0});
	t.deepEqual(await greet('a'), {bootId: 'boot-a', revision: 1});
	t.is(await greet('a', false), undefined);
	t.deepEqual(replied, ['a', 'b', 'a', 'a']);
});

test('those that do not answer are said, and asked again from the beginning', async t => {
	const {greet, greeter, lost, replied} = openGreeter({down: new Set(['a'])});
	await greet('a');
	t.deepEqual([lost, replied], [['a'], []]);
	t.false(greeter.isAwaiting('a'));
	t.deepEqual(await greet('a'), {bootId: undefined, revision: 0});
});

test('a coordinator that answers with what is no reply counts as lost, whatever it is', async t => {
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
		const {greet, lost, replied} = openGreeter({sick: new Map([['a', reply]])});
		await greet('a');
		t.deepEqual([lost, replied], [['a'], []], 'no reply');
	}
});
