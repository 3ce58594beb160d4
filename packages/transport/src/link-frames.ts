import {Buffer} from 'node:buffer';
import {type Duplex} from 'node:stream';
import {Packr} from 'msgpackr';
import {BaseError} from '@fescuestair/core';
import {createByteCollector} from './byte-collector.js';
import {isBoundedMessagePackValue} from './message-pack-bounds.js';
import {defaultMaxFrameBytes} from './link-constants.js';

/** Kinds of frames on a link. */
export enum FrameKind {
	OneWay = 0,
	Call = 1,
	Reply = 2,
	Heartbeat = 3,
}

/** One frame; `callId` matches a reply to its call and is 0 in other frames. */
export type Frame = readonly [kind: FrameKind, callId: number, body: unknown];

/** A peer sent an invalid frame; its link is closed. */
export class InvalidFrameError extends BaseError {
	constructor(reason: string) {
		super('broken_frame', reason);
	}
}

/** Sends frames on a socket and reports how many bytes it buffers. */
export type FrameChannel = {
	readonly write: (frame: Frame) => void;
	readonly getSendBacklogBytes: () => number;
	/** Bytes received so far of a frame that is not complete yet. */
	readonly getIncompleteFrameBytes: () => number;
};

export type FrameChannelOptions = {
	readonly onFrame: (frame: Frame) => void;
	/** Largest frame that is accepted; a larger one is rejected as soon as its length has been read. */
	readonly maxFrameBytes?: number;
	/** Returns whether to go on buffering an incomplete frame of which this many bytes have arrived. */
	readonly canBuffer?: (bytes: number) => boolean;
};

const lengthBytes = 4;
const codec = new Packr({useRecords: false});
const knownKinds = new Set<unknown>(Object.values(FrameKind));

/**
Sends and receives frames on a socket. A frame is a length of four bytes, then an array in MessagePack. The first invalid frame destroys the
socket with an `InvalidFrameError` and is not passed on. Frames written in one turn of the event loop are sent in one write.

@example
```
const channel = openFrameChannel(socket, {onFrame: ([kind, callId, body]) => handle(body)});
channel.write([FrameKind.OneWay, 0, {kind: 'loads'}]);
```
*/
export function openFrameChannel(socket: Duplex, {onFrame, maxFrameBytes = defaultMaxFrameBytes, canBuffer = () => true}: FrameChannelOptions): FrameChannel {
	const collector = createByteCollector();
	let requiredBytes = lengthBytes;
	let isCorked = false;

	const closeWithError = (reason: string) => {
		collector.take();
		socket.destroy(new InvalidFrameError(reason));
	};

	const readFrames = (bytes: Buffer): Buffer => {
		let position = 0;

		while (bytes.length - position >= lengthBytes && !socket.destroyed) {
			const end = position + lengthBytes + bytes.readUInt32BE(position);

			if (end - position - lengthBytes > maxFrameBytes) {
				closeWithError(`a frame of ${end - position - lengthBytes} bytes is over the limit of ${maxFrameBytes}`);
				break;
			}

			if (end > bytes.length) {
				break;
			}

			const frame = decodeFrame(bytes.subarray(position + lengthBytes, end));
			position = end;

			if (frame === undefined) {
				closeWithError('bytes that are no frame');
				break;
			}

			onFrame(frame);
		}

		return bytes.subarray(position);
	};

	socket.on('data', (chunk: Buffer) => {
		if (collector.countBytes() + chunk.length < requiredBytes) {
			collector.push(chunk);

			if (!canBuffer(collector.countMemoryBytes())) {
				closeWithError('too many bytes are held for incomplete frames');
			}

			return;
		}

		const isChunkWhole = collector.countBytes() === 0;

		if (!isChunkWhole) {
			collector.push(chunk);
		}

		const rest = readFrames(isChunkWhole ? chunk : collector.take());

		if (socket.destroyed) {
			return;
		}

		collector.push(rest);
		requiredBytes = lengthBytes + (rest.length >= lengthBytes ? rest.readUInt32BE(0) : 0);
		collector.expect(requiredBytes);
	});

	const uncork = () => {
		isCorked = false;
		socket.uncork();
	};

	return {
		write(frame) {
			if (!isCorked) {
				isCorked = true;
				socket.cork();
				setImmediate(uncork);
			}

			socket.write(encodeFrame(frame));
		},
		getSendBacklogBytes: () => socket.writableLength,
		getIncompleteFrameBytes: collector.countMemoryBytes,
	};
}

/** Encodes a frame, preceded by its length. */
export function encodeFrame(frame: Frame): Buffer {
	const body = codec.pack(frame);
	const bytes = Buffer.allocUnsafe(lengthBytes + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, lengthBytes);

	return bytes;
}

function decodeFrame(bytes: Buffer): Frame | undefined {
	if (!isBoundedMessagePackValue(bytes)) {
		return undefined;
	}

	try {
		const frame: unknown = codec.unpack(bytes);

		return isFrame(frame) ? frame : undefined;
	} catch {
		// The link is closed and the invalid frame is logged; the error of the decoder would add nothing.
		return undefined;
	}
}

function isFrame(value: unknown): value is Frame {
	return Array.isArray(value) && value.length === 3 && knownKinds.has(value[0])
		&& Number.isSafeInteger(value[1]) && value[1] >= 0;
}
