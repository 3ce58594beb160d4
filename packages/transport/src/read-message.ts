import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {BaseError} from '@fescuestair/core';
import {createByteCollector} from './byte-collector.js';
import {processReadPacer} from './read-pacer.js';

/** The connection of a message closed before its body was complete. */
export class IncompleteMessageError extends BaseError {
	constructor() {
		super('incomplete_message', 'the connection closed before the body was complete');
	}
}

/** The longest body that callers and instances send. */
const maxExpectedBytes = 16_000_000;
const longBytes = 524_288;

export type MessageReadOptions = {
	/** Decides from the number of bytes so far, with those that have just arrived, and from the memory before they are taken, whether to go on. */
	readonly canTake: (size: number, memoryBytes: number) => boolean;
	readonly signal?: AbortSignal;
	/** Bytes at the most. A long body whose length is not announced takes the memory of the longest one at once, so that it is not copied again and again. */
	readonly maxBytes?: number;
};

/**
Reads a message body to its end; returns `undefined` as soon as it may not go on, and leaves the rest unread. Throws if the connection is lost before the end, or with the reason of
the signal.

@example
```
const body = await readMessage(request, {canTake: size => size <= 4_194_304});
```
*/
export async function readMessage(message: IncomingMessage, {canTake, signal, maxBytes = 0}: MessageReadOptions): Promise<Buffer | undefined> {
	const collector = createByteCollector();
	const announcedBytes = Number(message.headers['content-length'] ?? 0);

	if (announcedBytes <= maxExpectedBytes) {
		collector.expect(announcedBytes);
	}

	const recordPiece = processReadPacer.open(message.socket);

	return new Promise((resolve, reject) => {
		const finish = (settle: () => void) => {
			message.off('data', onData);
			message.off('end', onEnd);
			message.off('error', onError);
			message.off('close', onClose);
			signal?.removeEventListener('abort', onAbort);
			settle();
		};

		const onData = (chunk: Buffer) => {
			recordPiece();

			if (canTake(collector.countBytes() + chunk.length, collector.countMemoryBytes())) {
				if (maxBytes > 0 && announcedBytes === 0 && collector.countBytes() >= longBytes) {
					collector.expect(maxBytes);
				}

				collector.push(chunk);
			} else {
				message.pause();
				finish(() => {
					resolve(undefined);
				});
			}
		};

		const onEnd = () => {
			finish(() => {
				resolve(collector.take());
			});
		};

		const onError = (error: Error) => {
			finish(() => {
				reject(error);
			});
		};

		const onClose = () => {
			onError(new IncompleteMessageError());
		};

		const onAbort = () => {
			onError(signal!.reason as Error);
		};

		message.on('data', onData);
		message.on('end', onEnd);
		message.on('error', onError);
		message.on('close', onClose);
		signal?.addEventListener('abort', onAbort);

		if (signal?.aborted === true) {
			onAbort();
		} else if (message.readableEnded) {
			onEnd();
		} else if (message.destroyed) {
			onClose();
		}
	});
}
