import {type TLSSocket} from 'node:tls';
import {createSystemClock} from '@fescuestair/core';
import {FrameKind, type FrameChannel} from './link-frames.js';
import {heartbeatMs, silenceMs} from './link-timing.js';

/**
Sends heartbeats, and destroys the socket once nothing has been received for too long. The socket's own idle timeout
does not do: what is written counts as activity there.
*/
export function keepAlive(socket: TLSSocket, channel: FrameChannel): void {
	const clock = createSystemClock();
	let receivedBytes = 0;
	let silenceDeadlineMs = clock.readMonotonicMs() + silenceMs;

	const timer = setInterval(() => {
		const nowMs = clock.readMonotonicMs();

		if (socket.bytesRead !== receivedBytes) {
			receivedBytes = socket.bytesRead;
			silenceDeadlineMs = nowMs + silenceMs;
		}

		if (nowMs >= silenceDeadlineMs) {
			socket.destroy(new Error('silent'));

			return;
		}

		channel.write([FrameKind.Heartbeat, 0, undefined]);
	}, heartbeatMs);

	socket.on('close', () => {
		clearInterval(timer);
	});
}
