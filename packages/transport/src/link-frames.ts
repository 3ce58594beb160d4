import {Buffer} from 'node:buffer';
import {type Duplex} from 'node:stream';
import {Packr} from 'msgpackr';
import {BaseError} from '@fescuestair/core';
import {isPackedValue} from './check-packed.js';
import {maxFrameBytes} from './link-timing.js';

/** What a frame on a link is for. */
export enum FrameKind {
	OneWay = 0,
	Call = 1,
	Reply = 2,
	Heartbeat = 3,
}

/** One frame: its kind, the number of the call it belongs to, its body. */
export type Frame = readonly [kind: FrameKind, callId: number, body: unknown];

/** A peer sent what is no frame: its link ends. */
export class BrokenFrameError extends BaseError {
	constructor(reason: string) {
		super('broken_frame', reason);
	}
}

/** A socket that carries frames. */
export type FrameChannel = {
	readonly write: (frame: Frame) => void;
	readonly getBacklogBytes: () => number;
	/** Bytes of a frame that has not come whole yet. */
	readonly getIncompleteBytes: () => number;
};

export type FrameChannelOptions = {
	readonly onFrame: (frame: Frame) => void;
	/** Largest frame that is taken; a larger one is refused by the length that it names. */
	readonly maxBytes?: number;
	/** Whether this many more bytes of incomplete frames may be held. */
	readonly canHold?: (bytes: number) => boolean;
};

const lengthBytes = 4;
const codec = new Packr({useRecords: false});
const isKnownKind = new Set<unknown>(Object.values(FrameKind));

/**
Puts frames on a socket: a length of four bytes, then a list in MessagePack. The first frame that breaks a rule ends the socket with a
`BrokenFrameError`; nothing of it reaches a handler. Frames written in one turn of the event loop leave in one write.

@example
```
const channel = openFrameChannel(socket, {onFrame: ([kind, callId, body]) => handle(body)});
channel.write([FrameKind.OneWay, 0, {kind: 'loads'}]);
```
*/
export function openFrameChannel(socket: Duplex, {onFrame, maxBytes = maxFrameBytes, canHold = () => true}: FrameChannelOptions): FrameChannel {
	let chunks: Buffer[] = [];
	let heldBytes = 0;
	let wantedBytes = lengthBytes;
	let isCorked = false;

	const refuse = (reason: string) => {
		chunks = [];
		heldBytes = 0;
		socket.destroy(new BrokenFrameError(reason));
	};

	const takeFrames = (bytes: Buffer): Buffer => {
		let position = 0;

		while (bytes.length - position >= lengthBytes && !socket.destroyed) {
			const end = position + lengthBytes + bytes.readUInt32BE(position);

			if (end - position - lengthBytes > maxBytes) {
				refuse(`a frame of ${end - position - lengthBytes} bytes, over the limit of ${maxBytes}`);
				break;
			}

			if (end > bytes.length) {
				break;
			}

			const frame = decodeFrame(bytes.subarray(position + lengthBytes, end));
			position = end;

			if (frame === undefined) {
				refuse('bytes that are no frame');
				break;
			}

			onFrame(frame);
		}

		return bytes.subarray(position);
	};

	socket.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
		heldBytes += chunk.length;

		if (heldBytes < wantedBytes) {
			if (!canHold(heldBytes)) {
				refuse('too many bytes of incomplete frames are held');
			}

			return;
		}

		const rest = takeFrames(chunks.length === 1 ? chunk : Buffer.concat(chunks, heldBytes));

		if (socket.destroyed) {
			return;
		}

		chunks = rest.length === 0 ? [] : [rest];
		heldBytes = rest.length;
		wantedBytes = lengthBytes + (rest.length >= lengthBytes ? rest.readUInt32BE(0) : 0);
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
		getBacklogBytes: () => socket.writableLength,
		getIncompleteBytes: () => heldBytes,
	};
}

/** Encodes a frame with its length before it. */
export function encodeFrame(frame: Frame): Buffer {
	const body = codec.pack(frame);
	const bytes = Buffer.allocUnsafe(lengthBytes + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, lengthBytes);

	return bytes;
}

function decodeFrame(bytes: Buffer): Frame | undefined {
	if (!isPackedValue(bytes)) {
		return undefined;
	}

	try {
		const frame: unknown = codec.unpack(bytes);

		return isFrame(frame) ? frame : undefined;
	} catch {
		// The link ends with its reason in the log; what the decoder found wrong adds nothing to it.
		return undefined;
	}
}

function isFrame(value: unknown): value is Frame {
	return Array.isArray(value) && value.length === 3 && isKnownKind.has(value[0])
		&& Number.isSafeInteger(value[1]) && value[1] >= 0;
}
