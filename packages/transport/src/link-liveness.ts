import {type Socket} from 'node:net';
import {createSystemClock, type Clock} from '@fescuestair/core';
import {
	BrokenFrameError, FrameKind, type Frame, type FrameChannel,
} from './link-frames.js';
import {
	frameTimeoutMs, heartbeatMs, idleMs, silenceMs,
} from './link-timing.js';

/** A link end as it is looked at from time to time. */
type WatchedEnd = {
	readonly socket: Socket;
	readonly channel: FrameChannel;
	/** Since when a frame has been incomplete. */
	incompleteSinceMs: number | undefined;
	readonly check: (nowMs: number) => void;
};

/** Looks at all link ends of a process by one timer, which runs while there are any. */
export type LinkWatch = {
	/** Watches the side that opened a link: what has been sent must be followed by something received, if only the answer to a heartbeat. */
	readonly watchOpener: (socket: Socket, channel: FrameChannel) => WatchedChannel;
	/** Ends the accepting side of a link that has received nothing for long: the other side would have asked or closed. */
	readonly watchAcceptor: (socket: Socket, channel: FrameChannel) => void;
	/** Bytes of incomplete frames at all watched ends. */
	readonly sumIncompleteBytes: () => number;
};

/** A channel that notices when nothing is answered. */
export type WatchedChannel = FrameChannel & {readonly noteReceived: () => void};

/**
Creates the watch of a process' links. The sockets' own idle timeouts do not do: what is written counts as activity there.

@example
```
const watch = createLinkWatch();
const channel = watch.watchOpener(socket, openFrameChannel(socket, {onFrame}));
```
*/
export function createLinkWatch(clock: Clock = createSystemClock()): LinkWatch {
	const ends = new Set<WatchedEnd>();
	let timer: NodeJS.Timeout | undefined;

	const checkFrame = (end: WatchedEnd, nowMs: number) => {
		if (end.channel.getIncompleteBytes() === 0) {
			end.incompleteSinceMs = undefined;
		} else {
			end.incompleteSinceMs ??= nowMs;

			if (nowMs - end.incompleteSinceMs >= frameTimeoutMs) {
				end.socket.destroy(new BrokenFrameError('a frame that did not come whole in time'));
			}
		}
	};

	const checkAll = () => {
		const nowMs = clock.readMonotonicMs();

		for (const end of ends) {
			checkFrame(end, nowMs);
			end.check(nowMs);
		}
	};

	const addEnd = (end: WatchedEnd) => {
		ends.add(end);
		timer ??= setInterval(checkAll, heartbeatMs);
		end.socket.on('close', () => {
			ends.delete(end);

			if (ends.size === 0) {
				clearInterval(timer);
				timer = undefined;
			}
		});
	};

	return {
		watchOpener(socket, channel) {
			let unansweredSinceMs: number | undefined;
			let idleDeadlineMs = clock.readMonotonicMs() + idleMs;

			const check = (nowMs: number) => {
				if (unansweredSinceMs === undefined) {
					if (nowMs >= idleDeadlineMs) {
						socket.destroy();
					}
				} else if (nowMs >= unansweredSinceMs + silenceMs) {
					socket.destroy(new Error('silent'));
				} else if (nowMs >= unansweredSinceMs + heartbeatMs) {
					channel.write([FrameKind.Heartbeat, 0, undefined]);
				}
			};

			addEnd({
				socket, channel, check, incompleteSinceMs: undefined,
			});

			return {
				...channel,
				write(frame: Frame) {
					unansweredSinceMs ??= clock.readMonotonicMs();
					channel.write(frame);
				},
				noteReceived() {
					unansweredSinceMs = undefined;
					idleDeadlineMs = clock.readMonotonicMs() + idleMs;
				},
			};
		},
		watchAcceptor(socket, channel) {
			let receivedBytes = -1;
			let idleDeadlineMs = 0;

			const check = (nowMs: number) => {
				if (socket.bytesRead !== receivedBytes) {
					receivedBytes = socket.bytesRead;
					idleDeadlineMs = nowMs + (2 * idleMs);
				} else if (nowMs >= idleDeadlineMs) {
					socket.destroy();
				}
			};

			addEnd({
				socket, channel, check, incompleteSinceMs: undefined,
			});
		},
		sumIncompleteBytes() {
			let bytes = 0;

			for (const {channel} of ends) {
				bytes += channel.getIncompleteBytes();
			}

			return bytes;
		},
	};
}
