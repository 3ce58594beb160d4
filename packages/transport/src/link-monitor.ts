import {type Socket} from 'node:net';
import {createSystemClock, type Clock} from '@fescuestair/core';
import {
	InvalidFrameError, FrameKind, type Frame, type FrameChannel,
} from './link-frames.js';
import {
	frameTimeoutMs, heartbeatIntervalMs, idleTimeoutMs, livenessTimeoutMs,
} from './link-constants.js';
import {waitForReads} from './wait-for-reads.js';

/** One side of a link, as the monitor checks it periodically. */
type MonitoredEndpoint = {
	readonly socket: Socket;
	readonly channel: FrameChannel;
	/** Time of the first of the latest consecutive checks that found an incomplete frame. */
	incompleteSinceMs: number | undefined;
	readonly check: (nowMs: number) => void;
};

/** Checks the liveness of all links of a process. One timer serves all of them and runs only while there are links. */
export type LinkMonitor = {
	/** Monitors the side that opened a link: closes it if a message sent is not followed by any bytes, at least the answer to a heartbeat. */
	readonly watchClientSide: (socket: Socket, channel: FrameChannel) => MonitoredChannel;
	/** Monitors the accepting side: closes a link that has received nothing for a long time, since a live peer would have sent a heartbeat or closed it. */
	readonly watchServerSide: (socket: Socket, channel: FrameChannel) => void;
	/** Bytes of incomplete frames that all monitored links hold. */
	readonly sumIncompleteBytes: () => number;
};

/** A channel whose sent and received frames are recorded for the monitor. */
export type MonitoredChannel = FrameChannel & {readonly recordReceived: () => void};

/**
Creates the monitor of a process' links. The idle timeout of sockets is not used: it counts writes as activity and so misses a peer that no
longer answers.

@example
```
const monitor = createLinkMonitor();
const channel = monitor.watchClientSide(socket, openFrameChannel(socket, {onFrame}));
```
*/
export function createLinkMonitor(clock: Clock = createSystemClock()): LinkMonitor {
	const endpoints = new Set<MonitoredEndpoint>();
	let timer: NodeJS.Timeout | undefined;

	const checkIncompleteFrame = (endpoint: MonitoredEndpoint, nowMs: number) => {
		if (endpoint.channel.getIncompleteFrameBytes() === 0) {
			endpoint.incompleteSinceMs = undefined;
		} else {
			endpoint.incompleteSinceMs ??= nowMs;

			if (nowMs - endpoint.incompleteSinceMs >= frameTimeoutMs) {
				endpoint.socket.destroy(new InvalidFrameError(`frame incomplete past the time limit of ${frameTimeoutMs} ms`));
			}
		}
	};

	const checkAll = () => {
		const nowMs = clock.readMonotonicMs();

		for (const endpoint of endpoints) {
			checkIncompleteFrame(endpoint, nowMs);
			endpoint.check(nowMs);
		}
	};

	const addEndpoint = (endpoint: MonitoredEndpoint) => {
		endpoints.add(endpoint);
		timer ??= setInterval(checkAll, heartbeatIntervalMs);
		endpoint.socket.on('close', () => {
			endpoints.delete(endpoint);

			if (endpoints.size === 0) {
				clearInterval(timer);
				timer = undefined;
			}
		});
	};

	return {
		watchClientSide(socket, channel) {
			let unansweredSinceMs: number | undefined;
			let idleDeadlineMs = clock.readMonotonicMs() + idleTimeoutMs;
			let receivedBytes = 0;

			const check = (nowMs: number) => {
				// The peer sends, though its frame is not complete: frames that take too long end for that reason.
				if (socket.bytesRead !== receivedBytes) {
					receivedBytes = socket.bytesRead;
					unansweredSinceMs = unansweredSinceMs === undefined ? undefined : nowMs;
				}

				if (unansweredSinceMs === undefined) {
					if (nowMs >= idleDeadlineMs) {
						socket.destroy();
					}
				} else if (nowMs >= unansweredSinceMs + livenessTimeoutMs) {
					void endUnlessRead(socket, new Error('silent'));
				} else if (nowMs >= unansweredSinceMs + heartbeatIntervalMs) {
					channel.write([FrameKind.Heartbeat, 0, undefined]);
				}
			};

			addEndpoint({
				socket, channel, check, incompleteSinceMs: undefined,
			});

			return {
				...channel,
				write(frame: Frame) {
					unansweredSinceMs ??= clock.readMonotonicMs();
					channel.write(frame);
				},
				recordReceived() {
					unansweredSinceMs = undefined;
					receivedBytes = socket.bytesRead;
					idleDeadlineMs = clock.readMonotonicMs() + idleTimeoutMs;
				},
			};
		},
		watchServerSide(socket, channel) {
			let receivedBytes = -1;
			let idleDeadlineMs = 0;

			const check = (nowMs: number) => {
				if (socket.bytesRead !== receivedBytes) {
					receivedBytes = socket.bytesRead;
					idleDeadlineMs = nowMs + (2 * idleTimeoutMs);
				} else if (nowMs >= idleDeadlineMs) {
					socket.destroy();
				}
			};

			addEndpoint({
				socket, channel, check, incompleteSinceMs: undefined,
			});
		},
		sumIncompleteBytes() {
			let bytes = 0;

			for (const {channel} of endpoints) {
				bytes += channel.getIncompleteFrameBytes();
			}

			return bytes;
		},
	};
}

// What arrived while this process stood still has not been read yet.
async function endUnlessRead(socket: Socket, error: Error): Promise<void> {
	const {bytesRead} = socket;
	await waitForReads();

	if (socket.bytesRead === bytesRead) {
		socket.destroy(error);
	}
}
