import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import process from 'node:process';
import {once} from 'node:events';
import {PassThrough} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {isBoundedMessagePackValue} from '../../message-pack-bounds.js';
import {createLinks, createLinkServer, LinkLostError} from '../../index.js';
import {
	InvalidFrameError, encodeFrame, FrameKind, openFrameChannel, type Frame,
} from '../../link-frames.js';

const codec = new Packr({useRecords: false});

const openServer = async (t: ExecutionContext) => {
	const errors: Error[] = [];
	const messages: unknown[] = [];
	const server = await createLinkServer({
		listen: {host: '127.0.0.1', port: 0},
		getKeys: undefined,
		onMessage(message, reply) {
			messages.push(message);
			reply?.('done');
		},
		onError(error) {
			errors.push(error);
		},
	});
	t.teardown(async () => server.close());

	return {errors, messages, port: server.port};
};

const openRaw = async (t: ExecutionContext, port: number): Promise<Socket> => {
	const socket = net.connect(port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
	});
	socket.on('error', () => undefined);
	await once(socket, 'connect');

	return socket;
};

const withLength = (body: Buffer, length = body.length) => {
	const bytes = Buffer.alloc(4);
	bytes.writeUInt32BE(length);

	return Buffer.concat([bytes, body]);
};

test('values that the codec packs are accepted; truncated values, trailing bytes and lengths past the end are rejected', t => {
	fc.assert(fc.property(fc.jsonValue({maxDepth: 5}), value => {
		const packed = codec.pack(value);
		t.true(isBoundedMessagePackValue(packed));
		t.false(isBoundedMessagePackValue(packed.subarray(0, -1)));
		t.false(isBoundedMessagePackValue(Buffer.concat([packed, Buffer.from([0])])));
	}), {seed: 5, numRuns: 500});

	for (const value of [undefined, new Uint8Array(300), 'x'.repeat(70_000), 1.5, 2 ** 40, -3, new Date(7), Array.from({length: 70_000}, () => 1)]) {
		t.true(isBoundedMessagePackValue(codec.pack(value)));
	}

	for (const bytes of [[0xDD, 0x01, 0xFF, 0xFF, 0xFF], [0xDF, 0xFF, 0xFF, 0xFF, 0xFF], [0x92, 0xDC, 0xFF, 0xFF, 0x01], [0xDB, 0xFF, 0xFF, 0xFF, 0xFF], [0xC1], []]) {
		t.false(isBoundedMessagePackValue(Buffer.from(bytes)));
	}

	t.false(isBoundedMessagePackValue(Buffer.concat([Buffer.alloc(5000, 0x91), Buffer.from([1])])), 'nested too deeply');
});

test('invalid bytes close their link and affect no other', async t => {
	const {errors, messages, port} = await openServer(t);
	const good = encodeFrame([FrameKind.OneWay, 0, 'good']);
	const bad: Buffer[] = [
		withLength(codec.pack(7)),
		withLength(codec.pack({length: 3})),
		withLength(codec.pack([9, 0, 'kind'])),
		withLength(codec.pack([0, -1, 'call'])),
		withLength(codec.pack([0, Number.NaN, 'call'])),
		withLength(codec.pack([0, 0])),
		withLength(codec.pack([0, 0, 1, 2])),
		withLength(codec.pack(null)),
		withLength(Buffer.from([0xDD, 0x01, 0xFF, 0xFF, 0xFF])),
		withLength(Buffer.alloc(5000, 0x91)),
		withLength(Buffer.alloc(0)),
		withLength(Buffer.from('GET /'), 0xFF_FF_FF_FF),
		Buffer.from('GET / HTTP/1.1\r\nHost: x\r\n\r\n'),
	];

	for (const [position, bytes] of bad.entries()) {
		const socket = await openRaw(t, port);
		socket.write(Buffer.concat([good, bytes, good]));
		await once(socket, 'close');
		t.is(messages.length, position + 1, 'frames before the invalid bytes are handled, those after are not');
		t.true(errors.at(-1) instanceof InvalidFrameError);
	}

	const links = createLinks({getKeys: undefined});
	t.is(await links.call(`127.0.0.1:${port}`, 1, 5000), 'done');
	links.close();
});

test('randomly corrupted frames neither end the process nor exhaust its memory', async t => {
	const {messages, port} = await openServer(t);
	const samples = fc.sample(fc.tuple(fc.nat(2 ** 16), fc.nat(255), fc.jsonValue({maxDepth: 3})), {seed: 17, numRuns: 2000});
	const rssBefore = process.memoryUsage().rss;

	for (let start = 0; start < samples.length; start += 50) {
		await Promise.all(samples.slice(start, start + 50).map(async ([offset, byte, body]) => {
			const bytes = encodeFrame([FrameKind.Call, 1, body]);
			bytes[offset % bytes.length] = byte;
			const socket = await openRaw(t, port);
			socket.end(bytes);
			socket.resume();
			await once(socket, 'close');
		}));
	}

	t.true(messages.length > 0);
	// Sockets and their buffers take some memory; a single array allocated with the length that its header claims takes hundreds of MB.
	t.true(process.memoryUsage().rss - rssBefore < 200_000_000);
});

test('frames are decoded the same however their bytes are split into chunks', t => {
	fc.assert(fc.property(fc.array(fc.jsonValue(), {maxLength: 6}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (bodies, cuts) => {
		const socket = new PassThrough();
		const frames: Frame[] = [];
		openFrameChannel(socket, {
			onFrame(frame) {
				frames.push(frame);
			},
		});
		const bytes = Buffer.concat(bodies.map((body, index) => encodeFrame([FrameKind.Call, index, body])));

		for (let position = 0, index = 0; position < bytes.length; index++) {
			const end = position + cuts[index % cuts.length]!;
			socket.emit('data', bytes.subarray(position, end));
			position = end;
		}

		t.deepEqual(frames, bodies.map((body, index) => [FrameKind.Call, index, codec.unpack(codec.pack(body)) as unknown]));
	}), {seed: 3, numRuns: 200});
});

test('a frame over the size limit is rejected by its length, and the bytes of incomplete frames are limited', t => {
	for (const [bytes, canBuffer] of [[withLength(Buffer.alloc(1), 1001), () => true], [withLength(Buffer.alloc(1), 1000), (bufferedBytes: number) => bufferedBytes < 5]] as const) {
		const socket = new PassThrough();
		const errors: Error[] = [];
		socket.on('error', error => {
			errors.push(error);
		});
		openFrameChannel(socket, {maxFrameBytes: 1000, canBuffer, onFrame: () => t.fail()});
		socket.emit('data', bytes.subarray(0, 4));
		socket.emit('data', bytes.subarray(4));
		t.true(socket.destroyed);
	}
});

test('an invalid reply closes the link and rejects the call with the reason', async t => {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.write(withLength(codec.pack(['what'])));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const links = createLinks({getKeys: undefined});
	t.teardown(() => {
		links.close();
	});
	const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	await t.throwsAsync(links.call(address, 1, 60_000), {instanceOf: LinkLostError, message: /no frame/v});
	await sleep(0);
	await t.throwsAsync(links.call(address, 2, 60_000), {instanceOf: LinkLostError});
});
