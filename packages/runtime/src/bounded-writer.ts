import fs from 'node:fs';
import {Buffer} from 'node:buffer';

export type BoundedWriterOptions = {
	/** Writes bytes and calls back with an error, or how many were written. */
	readonly write?: (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;
	/** Bytes that wait at most; lines beyond are dropped and counted. */
	readonly maxWaitingBytes?: number;
};

const standardOutput = 1;
const defaultMaxWaitingBytes = 1_000_000;
const retryMs = 20;

/**
Creates a writer of lines that never blocks and never waits: lines are written together in the background, and where the reader is too
slow the newest are dropped and their number is said once there is room.

@example
```
const write = createBoundedWriter();
write('{"message":"started"}\n');
```
*/
export function createBoundedWriter(options: BoundedWriterOptions = {}): (line: string) => void {
	const {
		maxWaitingBytes = defaultMaxWaitingBytes,
		write = (bytes, done) => {
			fs.write(standardOutput, bytes, (error, written) => {
				done(error ?? undefined, written);
			});
		},
	} = options;
	let waiting: string[] = [];
	let waitingBytes = 0;
	let dropped = 0;
	let isWriting = false;

	const writeAll = (bytes: Buffer) => {
		write(bytes, (error, written) => {
			if (error !== undefined) {
				// A pipe that is full for now is tried again; one without a reader takes nothing any more.
				if ((error as NodeJS.ErrnoException).code === 'EAGAIN') {
					setTimeout(writeAll, retryMs, bytes).unref();
				} else {
					finish();
				}
			} else if (written < bytes.length) {
				writeAll(bytes.subarray(written));
			} else {
				finish();
			}
		});
	};

	const finish = () => {
		isWriting = false;
		start();
	};

	const start = () => {
		if (isWriting || waiting.length === 0) {
			return;
		}

		isWriting = true;
		const lines = waiting;
		waiting = [];
		waitingBytes = 0;

		if (dropped > 0) {
			lines.push(`${JSON.stringify({level: 'warn', message: 'log lines were dropped', dropped})}\n`);
			dropped = 0;
		}

		writeAll(Buffer.from(lines.join('')));
	};

	return line => {
		if (waitingBytes + line.length > maxWaitingBytes) {
			dropped++;

			return;
		}

		waiting.push(line);
		waitingBytes += line.length;
		// Lines of one turn of the event loop share a write.
		setImmediate(start);
	};
}
