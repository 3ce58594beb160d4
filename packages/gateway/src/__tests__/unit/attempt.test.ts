import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	AttemptEnd, startAttempt, UpstreamAgent, type AttemptOptions, type UpstreamCodec,
} from '../../index.js';

const codec: UpstreamCodec = {
	encodeDispatch: () => [],
	decodeAnswer: (status, headers) => ({
		requestId: headers['x-id'] as string | undefined, isNotRun: status === 421, load: undefined, idleMs: undefined, isLeaving: false, askedRestMs: undefined,
	}),
};

/** An upstream that answers each request with bytes of the test's choice. */
async function openUpstream(t: ExecutionContext, answer: (socket: Socket, requests: number) => void) {
	const sockets = new Set<Socket>();
	let connections = 0;
	let requests = 0;
	const server = net.createServer(socket => {
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			requests++;
			answer(socket, requests);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new UpstreamAgent({maxConnections: 4});
	t.teardown(() => {
		agent.destroy();
		server.close();

		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const {port} = server.address() as {readonly port: number};

	return {
		agent,
		countConnections: () => connections,
		send: async (overrides: Partial<AttemptOptions> = {}) => startAttempt({
			address: `127.0.0.1:${port}`, agent, codec, requestId: 'r1', method: 'POST', target: '/a/b', headers: ['Host', 'h'],
			body: Buffer.from('question'), onBytes: () => undefined, ...overrides,
		}).result,
	};
}

const head = (lines: readonly string[]) => `HTTP/1.1 200 OK\r\nX-Id: r1\r\n${lines.map(line => `${line}\r\n`).join('')}\r\n`;

test('a whole answer is complete, and its connection is used again', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.write(`${head(['Content-Length: 4'])}good`);
	});
	const first = await upstream.send();
	t.is(first.end, AttemptEnd.Complete);
	t.is(first.body.toString(), 'good');
	await sleep(20);
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	t.is(upstream.countConnections(), 1);
});

test('an answer to another request counts for nothing', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 4\r\n\r\ngood');
	});
	const result = await upstream.send();
	t.is(result.end, AttemptEnd.Broken);
	t.is(result.head, undefined);
});

test('an answer without length is whole where its connection ends, and broken where it is reset', async t => {
	const upstream = await openUpstream(t, (socket, requests) => {
		socket.write(`${head(['Connection: close'])}part`, () => {
			setTimeout(() => {
				if (requests === 1) {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			}, 20);
		});
	});
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	t.like(await upstream.send(), {end: AttemptEnd.Broken});
});

test('an answer that ends early is broken', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.end(`${head(['Content-Length: 40'])}too short`);
	});
	t.like(await upstream.send(), {end: AttemptEnd.Broken});
});

test('bytes after a whole answer belong to no request: their connection is not used again', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.write(`${head(['Content-Length: 4'])}good`);
		setTimeout(() => {
			socket.write(`${head(['Content-Length: 5'])}extra`);
		}, 20);
	});
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	await sleep(60);
	const second = await upstream.send();
	t.is(second.end, AttemptEnd.Complete);
	t.is(second.body.toString(), 'good');
	t.is(upstream.countConnections(), 2);
});

test('what was refused by the instance, or never left, did not run', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.write('HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n');
	});
	const refused = await upstream.send();
	t.is(refused.end, AttemptEnd.NotRun);
	t.false(refused.isUnreachable);
	const unreachable = await upstream.send({address: '127.0.0.1:1'});
	t.is(unreachable.end, AttemptEnd.NotRun);
	t.true(unreachable.isUnreachable);
});

test('a connection that ends without an answer may have run the request', async t => {
	const upstream = await openUpstream(t, socket => {
		socket.destroy();
	});
	t.like(await upstream.send(), {end: AttemptEnd.Broken});
});

/** Writes for as long as the other side takes it; returns how much was taken. */
const writeWithoutEnd = (socket: Socket, bytes: Buffer, taken: {bytes: number}) => {
	const write = () => {
		while (!socket.destroyed && socket.write(bytes)) {
			taken.bytes += bytes.length;
		}

		taken.bytes += bytes.length;
	};

	socket.on('drain', write);
	write();
};

test('a head without end is cut off, and so is a body that is awaited whole', async t => {
	const taken = {bytes: 0};
	const endless = await openUpstream(t, socket => {
		socket.write('HTTP/1.1 200 OK\r\nX-Id: r1\r\n');
		writeWithoutEnd(socket, Buffer.from(`X-Filler: ${'x'.repeat(1000)}\r\n`), taken);
	});
	t.like(await endless.send(), {end: AttemptEnd.Broken, isUnreachable: false});

	const nonsense = await openUpstream(t, socket => {
		writeWithoutEnd(socket, Buffer.alloc(10_000, 'nonsense '), taken);
	});
	t.like(await nonsense.send(), {end: AttemptEnd.Broken, isUnreachable: false});
	t.true(taken.bytes < 20_000_000, 'what is on its way when the connection ends, and no more');

	const body = {bytes: 0};
	const chunked = await openUpstream(t, socket => {
		socket.write(head(['Transfer-Encoding: chunked']));
		writeWithoutEnd(socket, Buffer.from(`2710\r\n${'x'.repeat(10_000)}\r\n`), body);
	});
	t.like(await chunked.send(), {end: AttemptEnd.Broken, reason: 'the answer is too large'});
	t.true(body.bytes < 40_000_000);
});

test('what may not be sent again uses no connection that its instance may have forgotten', async t => {
	// An instance that forgets idle connections: it resets whatever comes on one.
	const lastAtMs = new Map<Socket, number>();
	const upstream = await openUpstream(t, socket => {
		const restedMs = performance.now() - (lastAtMs.get(socket) ?? performance.now());
		lastAtMs.set(socket, performance.now());

		if (restedMs > 300) {
			socket.resetAndDestroy();
		} else {
			socket.write(`${head(['Content-Length: 4'])}good`);
		}
	});
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	await sleep(400);
	upstream.agent.closeRested(200);
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	t.is(upstream.countConnections(), 2);
	upstream.agent.closeRested(60_000);
	t.like(await upstream.send(), {end: AttemptEnd.Complete});
	t.is(upstream.countConnections(), 2, 'one that has just been used is used again');
});
