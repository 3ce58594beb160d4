import {type Socket} from 'node:net';
import {createSystemClock} from '@fescuestair/core';
import {FrameKind, type Frame, type FrameChannel} from './link-frames.js';
import {heartbeatMs, idleMs, silenceMs} from './link-timing.js';

/** A channel that notices when nothing is answered. */
export type WatchedChannel = FrameChannel & {readonly noteReceived: () => void};

/**
Watches the side of a link that opened it. What has been sent must be followed by something received, if only the answer
to a heartbeat; else the socket is destroyed. A link without traffic sends nothing and is closed after a while. The
socket's own idle timeout does not do: what is written counts as activity there.
*/
export function watchSilence(socket: Socket, channel: FrameChannel): WatchedChannel {
	const clock = createSystemClock();
	let unansweredSinceMs: number | undefined;
	let idleDeadlineMs = clock.readMonotonicMs() + idleMs;

	const timer = setInterval(() => {
		const nowMs = clock.readMonotonicMs();

		if (unansweredSinceMs === undefined) {
			if (nowMs >= idleDeadlineMs) {
				socket.destroy();
			}
		} else if (nowMs >= unansweredSinceMs + silenceMs) {
			socket.destroy(new Error('silent'));
		} else if (nowMs >= unansweredSinceMs + heartbeatMs) {
			channel.write([FrameKind.Heartbeat, 0, undefined]);
		}
	}, heartbeatMs);

	socket.on('close', () => {
		clearInterval(timer);
	});

	return {
		write(frame: Frame) {
			unansweredSinceMs ??= clock.readMonotonicMs();
			channel.write(frame);
		},
		getBacklogBytes: channel.getBacklogBytes,
		noteReceived() {
			unansweredSinceMs = undefined;
			idleDeadlineMs = clock.readMonotonicMs() + idleMs;
		},
	};
}

/** Ends the accepting side of a link that has received nothing for long: the other side would have asked or closed. */
export function endWhenIdle(socket: Socket): void {
	let receivedBytes = -1;

	const timer = setInterval(() => {
		if (socket.bytesRead === receivedBytes) {
			socket.destroy();
		}

		receivedBytes = socket.bytesRead;
	}, 2 * idleMs);

	socket.on('close', () => {
		clearInterval(timer);
	});
}
