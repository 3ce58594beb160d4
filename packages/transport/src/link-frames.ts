import {type Duplex} from 'node:stream';
import {PackrStream, UnpackrStream} from 'msgpackr';

/** What a frame on a link is for. */
export enum FrameKind {
	OneWay = 0,
	Call = 1,
	Reply = 2,
	Heartbeat = 3,
}

/** One frame: its kind, the number of the call it belongs to, its body. */
export type Frame = readonly [kind: FrameKind, callId: number, body: unknown];

/** A socket that carries frames. */
export type FrameChannel = {
	readonly write: (frame: Frame) => void;
	readonly getBacklogBytes: () => number;
};

/** Puts the library's codec on a socket. */
export function openFrameChannel(socket: Duplex, onFrame: (frame: Frame) => void): FrameChannel {
	const packer = new PackrStream({useRecords: false});
	const unpacker = new UnpackrStream({useRecords: false});
	packer.pipe(socket);
	socket.pipe(unpacker);
	unpacker.on('data', (frame: Frame) => {
		onFrame(frame);
	});

	// A peer that sends what is no MessagePack is cut off.
	unpacker.on('error', () => {
		socket.destroy();
	});

	return {
		write(frame) {
			packer.write(frame);
		},
		getBacklogBytes: () => socket.writableLength + packer.readableLength,
	};
}
