import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {createByteCollector, getReadGate, ReadHold} from '@fescuestair/transport';

/** Hands on what is read from a connection, all of one turn of the event loop in one piece. */
export type ReadForwarder = {
	readonly push: (bytes: Uint8Array) => void;
	/** Hands on at once what waits for the end of the turn, unless the receiver is paused. */
	readonly flush: () => void;
	/** Calls a function once all has been handed on. The connection serves other requests from now on, so it is read again in any case. */
	readonly end: (onForwarded: () => void) => void;
	/** Tells that the paused receiver takes more. */
	readonly resume: () => void;
};

export type ReadForwarderOptions = {
	readonly socket: Socket;
	/** Returns false where the receiver is to be paused until `resume`. */
	readonly forward: (bytes: Buffer) => boolean;
};

/**
Creates a forwarder. While its receiver is paused, the connection is not read.

@example
```
const forwarder = createReadForwarder({socket: response.socket, forward: bytes => caller.write(bytes)});
response.on('data', forwarder.push);
caller.on('drain', forwarder.resume);
```
*/
export function createReadForwarder({socket, forward}: ReadForwarderOptions): ReadForwarder {
	const unread = createByteCollector();
	let isPaused = false;
	let isFlushScheduled = false;
	let onEnd: (() => void) | undefined;

	const flush = () => {
		isFlushScheduled = false;

		if (!isPaused && unread.countBytes() > 0 && !forward(unread.take())) {
			isPaused = true;

			if (onEnd === undefined) {
				getReadGate(socket).hold(ReadHold.Backpressure);
			}
		}
	};

	return {
		push(bytes) {
			unread.push(bytes);

			if (!isFlushScheduled) {
				isFlushScheduled = true;
				process.nextTick(flush);
			}
		},
		flush,
		end(onForwarded) {
			onEnd = onForwarded;

			if (isPaused) {
				getReadGate(socket).release(ReadHold.Backpressure);

				return;
			}

			flush();

			if (!isPaused) {
				onForwarded();
			}
		},
		resume() {
			if (!isPaused) {
				return;
			}

			isPaused = false;
			flush();

			if (isPaused) {
				return;
			}

			if (onEnd === undefined) {
				getReadGate(socket).release(ReadHold.Backpressure);
			} else {
				onEnd();
			}
		},
	};
}
