import test from 'ava';
import {type Hello} from '@fescuestair/instances';
import {createGreeter} from '../../index.js';

const addresses = ['a', 'b', 'c', 'd', 'e'];

// Coordinators that answer at once, but for those that are down.
const openGreeter = (down: ReadonlySet<string> = new Set()) => {
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

				const news = {
					cursor: {bootId: `boot-${address}`, revision: asked.length}, notes: [], coordinators: [], gateways: [],
				};

				return {kind: 'hello', reply: {news: hello.newsAfter && news}};
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

	const greet = async (knowsNothing: boolean) => {
		asked.length = 0;
		greeter.greetAll(addresses, {knowsNothing});
		await new Promise(resolve => {
			setImmediate(resolve);
		});

		return asked.filter(({hello}) => hello.newsAfter !== undefined);
	};

	return {
		greet, asked, replied, lost,
	};
};

test('all hear of the daemon in each round, and two in turns are asked for news, from where they were left', async t => {
	const {greet, asked} = openGreeter();
	const first = await greet(false);
	t.deepEqual(asked.map(({address}) => address), addresses);
	t.deepEqual(first.map(({address, hello}) => [address, hello.newsAfter?.revision]), [['a', 0], ['b', 0]]);
	await greet(false);
	const third = await greet(false);
	t.deepEqual(third.map(({address, hello}) => [address, hello.newsAfter?.bootId]), [['a', 'boot-a'], ['e', undefined]]);
});

test('a daemon that knows nothing asks all for news', async t => {
	const {greet} = openGreeter();
	const news = await greet(true);
	t.is(news.length, addresses.length);
});

test('those that do not answer are said, and asked again from the beginning', async t => {
	const {greet, lost, replied} = openGreeter(new Set(['a']));
	await greet(true);
	t.deepEqual(lost, ['a']);
	t.deepEqual(replied, ['b', 'c', 'd', 'e']);
	const again = await greet(true);
	t.is(again.find(({address}) => address === 'a')?.hello.newsAfter?.revision, 0);
});
