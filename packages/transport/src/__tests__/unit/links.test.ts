import net from 'node:net';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
	createLinks, createLinkServer, LinkLostError, parseClusterKeys, processCallerBudget, type LinkHandler,
} from '../../index.js';
import {livenessTimeoutMs} from '../../link-constants.js';

const keyLine = (id: string, digit: string) => `${id}:${digit.repeat(64)}`;
const oldKeys = parseClusterKeys(keyLine('old', 'a'), 'keys');
const bothKeys = parseClusterKeys(`${keyLine('new', 'b')}\n${keyLine('old', 'a')}`, 'keys');
const newKeys = parseClusterKeys(keyLine('new', 'b'), 'keys');

const echo: LinkHandler = (message, reply) => reply?.({echoed: message});

async function startServer(onMessage: LinkHandler = echo, keys = oldKeys) {
	return createLinkServer({listen: {host: '127.0.0.1', port: 0}, getKeys: () => keys, onMessage});
}

test('a call is answered over a link that both sides have authenticated', async t => {
	const server = await startServer();
	const links = createLinks({getKeys: () => oldKeys});
	t.deepEqual(await links.call(`127.0.0.1:${server.port}`, {n: 1}, 5000), {echoed: {n: 1}});
	links.close();
	await server.close();
});

test('a process without an accepted key cannot call', async t => {
	const server = await startServer();
	const unknownKeys = parseClusterKeys(keyLine('old', 'c'), 'keys');

	for (const keys of [unknownKeys, newKeys]) {
		const links = createLinks({getKeys: () => keys});
		await t.throwsAsync(links.call(`127.0.0.1:${server.port}`, 'secret', 5000), {instanceOf: LinkLostError});
		links.close();
	}

	await server.close();
});

// 700 connections that stopped before their handshake took as many descriptors, and delayed the stop.
test.serial('connections that do not begin a handshake count, give way to others, and do not delay the close', async t => {
	const maxConnections = 5;
	processCallerBudget.setLimits({maxConnections});
	t.teardown(() => {
		processCallerBudget.setLimits({maxConnections: 8000});
	});
	const server = await startServer();
	const clients = await Promise.all(Array.from({length: 20}, async () => {
		const client = net.connect(server.port, '127.0.0.1').on('error', () => undefined);
		await once(client, 'connect');
		client.resume();

		return client;
	}));
	const links = createLinks({getKeys: () => oldKeys});
	t.deepEqual(await links.call(`127.0.0.1:${server.port}`, 1, 5000), {echoed: 1});
	t.true(processCallerBudget.countConnections() <= maxConnections);
	// One with a frame is in use, and stays beside others that come.
	const later = net.connect(server.port, '127.0.0.1').on('error', () => undefined);
	await once(later, 'connect');
	t.deepEqual(await links.call(`127.0.0.1:${server.port}`, 2, 5000), {echoed: 2});
	links.close();
	await server.close();

	for (const client of [...clients, later]) {
		client.destroy();
	}

	// The sockets of this side close a moment later.
	while (processCallerBudget.countConnections() > 0) {
		await sleep(10);
	}
});

test('keys are rotated without a restart', async t => {
	let keys = oldKeys;
	const server = await createLinkServer({listen: {host: '127.0.0.1', port: 0}, getKeys: () => keys, onMessage: echo});
	const address = `127.0.0.1:${server.port}`;
	const oldLinks = createLinks({getKeys: () => oldKeys});
	const newLinks = createLinks({getKeys: () => newKeys});
	await oldLinks.call(address, 1, 5000);
	await t.throwsAsync(newLinks.call(address, 1, 5000));
	keys = bothKeys;
	t.deepEqual(await newLinks.call(address, 2, 5000), {echoed: 2});
	t.deepEqual(await oldLinks.call(address, 3, 5000), {echoed: 3});
	oldLinks.close();
	newLinks.close();
	await server.close();
});

test('a link that no longer answers is closed, and the next call opens a new one', async t => {
	const server = await startServer();
	let isSilent = false;
	const proxy = net.createServer(client => {
		const upstream = net.connect(server.port, '127.0.0.1');
		const wasOpenedSilent = isSilent;
		client.on('data', chunk => {
			if (!isSilent || wasOpenedSilent) {
				upstream.write(chunk);
			}
		});
		upstream.on('data', chunk => {
			if (!isSilent || wasOpenedSilent) {
				client.write(chunk);
			}
		});
		client.on('error', () => undefined).on('close', () => upstream.destroy());
		upstream.on('error', () => undefined).on('close', () => client.destroy());
	});
	proxy.listen(0, '127.0.0.1');
	await once(proxy, 'listening');
	const address = `127.0.0.1:${(proxy.address() as net.AddressInfo).port}`;
	const links = createLinks({getKeys: () => oldKeys});
	t.deepEqual(await links.call(address, 1, 5000), {echoed: 1});
	// From here on the proxy forwards nothing on the open connection, while new connections work.
	isSilent = true;
	await t.throwsAsync(links.call(address, 2, 30_000), {instanceOf: LinkLostError});
	t.deepEqual(await links.call(address, 3, 5000), {echoed: 3});
	links.close();
	proxy.close();
	await server.close();
});

// It blocks the process, so no other test may run beside it.
test.serial('a link is not taken for silent if its answer has arrived while this process stood still', async t => {
	const server = await startServer((message, reply) => {
		reply?.('accepted');

		if (message === 'stall') {
			setImmediate(() => {
				const endMs = performance.now() + livenessTimeoutMs + 500;

				while (performance.now() < endMs) {
					// The loop does not turn meanwhile.
				}
			});
		}
	});
	const address = `127.0.0.1:${server.port}`;
	const links = createLinks({getKeys: () => oldKeys});
	await links.call(address, 'first', 60_000);
	t.is(await links.call(address, 'stall', 60_000), 'accepted');
	links.close();
	await server.close();
});

test('a link is not taken for silent while a large answer arrives slowly', async t => {
	const text = 'x'.repeat(3_000_000);
	const server = await startServer((_message, reply) => reply?.(text));
	const proxy = net.createServer(client => {
		const upstream = net.connect(server.port, '127.0.0.1');
		client.pipe(upstream);
		upstream.on('data', async chunk => {
			upstream.pause();

			for (let position = 0; position < chunk.length; position += 50_000) {
				client.write(chunk.subarray(position, position + 50_000));
				await sleep(60);
			}

			upstream.resume();
		});
		client.on('error', () => undefined).on('close', () => upstream.destroy());
		upstream.on('error', () => undefined).on('close', () => client.destroy());
	});
	proxy.listen(0, '127.0.0.1');
	await once(proxy, 'listening');
	const links = createLinks({getKeys: () => oldKeys});
	const answer = await links.call(`127.0.0.1:${(proxy.address() as net.AddressInfo).port}`, 1, 60_000);
	t.true(answer === text);
	links.close();
	proxy.close();
	await server.close();
});

test('all invalid lines of a key file are reported, without their content', t => {
	const error = t.throws(() => parseClusterKeys('secretsecret\nok:aa\n', 'keys.txt'));
	t.true(error.message.includes('keys.txt:1'));
	t.true(error.message.includes('keys.txt:2'));
	t.false(error.message.includes('secretsecret'));
});
