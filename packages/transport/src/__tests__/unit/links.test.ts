import net from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {
	createLinks, createLinkServer, LinkLostError, parseClusterKeys, type LinkHandler,
} from '../../index.js';

const keyLine = (id: string, digit: string) => `${id}:${digit.repeat(64)}`;
const oldKeys = parseClusterKeys(keyLine('old', 'a'), 'keys');
const bothKeys = parseClusterKeys(`${keyLine('new', 'b')}\n${keyLine('old', 'a')}`, 'keys');
const newKeys = parseClusterKeys(keyLine('new', 'b'), 'keys');

const echo: LinkHandler = (message, reply) => reply?.({echoed: message});

async function startServer(onMessage: LinkHandler = echo, keys = oldKeys) {
	return createLinkServer({listen: {host: '127.0.0.1', port: 0}, getKeys: () => keys, onMessage});
}

test('a call is answered over a link that both sides prove', async t => {
	const server = await startServer();
	const links = createLinks({getKeys: () => oldKeys});
	t.deepEqual(await links.call(`127.0.0.1:${server.port}`, {n: 1}, 5000), {echoed: {n: 1}});
	links.close();
	await server.close();
});

test('a process without the key gets nothing', async t => {
	const server = await startServer();
	const forged = parseClusterKeys(keyLine('old', 'c'), 'keys');

	for (const keys of [forged, newKeys]) {
		const links = createLinks({getKeys: () => keys});
		await t.throwsAsync(links.call(`127.0.0.1:${server.port}`, 'secret', 5000), {instanceOf: LinkLostError});
		links.close();
	}

	await server.close();
});

test('keys rotate without a stop', async t => {
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

test('a link that goes silent is given up and the next call takes a new one', async t => {
	const server = await startServer();
	let isSilent = false;
	const forwarder = net.createServer(client => {
		const upstream = net.connect(server.port, '127.0.0.1');
		const wasSilentFrom = isSilent;
		client.on('data', chunk => {
			if (!isSilent || wasSilentFrom) {
				upstream.write(chunk);
			}
		});
		upstream.on('data', chunk => {
			if (!isSilent || wasSilentFrom) {
				client.write(chunk);
			}
		});
		client.on('error', () => undefined).on('close', () => upstream.destroy());
		upstream.on('error', () => undefined).on('close', () => client.destroy());
	});
	forwarder.listen(0, '127.0.0.1');
	await once(forwarder, 'listening');
	const address = `127.0.0.1:${(forwarder.address() as net.AddressInfo).port}`;
	const links = createLinks({getKeys: () => oldKeys});
	t.deepEqual(await links.call(address, 1, 5000), {echoed: 1});
	// From here on the open connection passes nothing, while new ones work.
	isSilent = true;
	await t.throwsAsync(links.call(address, 2, 30_000), {instanceOf: LinkLostError});
	t.deepEqual(await links.call(address, 3, 5000), {echoed: 3});
	links.close();
	forwarder.close();
	await server.close();
});

test('all bad lines of a key file are reported, without their content', t => {
	const error = t.throws(() => parseClusterKeys('secretsecret\nok:aa\n', 'keys.txt'));
	t.true(error.message.includes('keys.txt:1'));
	t.true(error.message.includes('keys.txt:2'));
	t.false(error.message.includes('secretsecret'));
});
