import fs from 'node:fs';
import {Buffer} from 'node:buffer';

export type BoundedWriterOptions = {
	/** Writes bytes and calls back with an error, or with the number of bytes written; default is standard output. */
	readonly write?: (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;
	/** Maximum length of the lines that wait for the next write, in UTF-16 code units; further lines are dropped and counted. */
	readonly maxBufferedCharacters?: number;
};

const standardOutputDescriptor = 1;
const defaultMaxBufferedCharacters = 1_000_000;
const retryDelayMs = 20;

/**
Creates a non-blocking line writer: lines are buffered and written in batches in the background. When the reader is too slow and the
buffer is full, new lines are dropped; the next batch ends with a line that gives their number.

@example
```
const write = createBoundedWriter();
write('{"message":"started"}\n');
```
*/
export function createBoundedWriter(options: BoundedWriterOptions = {}): (line: string) => void {
	const {
		maxBufferedCharacters = defaultMaxBufferedCharacters,
		write = (bytes, done) => {
			fs.write(standardOutputDescriptor, bytes, (error, written) => {
				done(error ?? undefined, written);
			});
		},
	} = options;
	let bufferedLines: string[] = [];
	let bufferedCharacters = 0;
	let droppedCount = 0;
	let isWriting = false;

	const writeAll = (bytes: Buffer) => {
		write(bytes, (error, written) => {
			if (error !== undefined) {
				// EAGAIN means that the pipe is full: the write is retried. On other errors, such as a closed pipe, the batch is discarded.
				if ((error as NodeJS.ErrnoException).code === 'EAGAIN') {
					setTimeout(writeAll, retryDelayMs, bytes).unref();
				} else {
					finishWrite();
				}
			} else if (written < bytes.length) {
				writeAll(bytes.subarray(written));
			} else {
				finishWrite();
			}
		});
	};

	const finishWrite = () => {
		isWriting = false;
		startWrite();
	};

	const startWrite = () => {
		if (isWriting || bufferedLines.length === 0) {
			return;
		}

		isWriting = true;
		const lines = bufferedLines;
		bufferedLines = [];
		bufferedCharacters = 0;

		if (droppedCount > 0) {
			lines.push(`${JSON.stringify({level: 'warn', message: 'log lines were dropped', dropped: droppedCount})}\n`);
			droppedCount = 0;
		}

		writeAll(Buffer.from(lines.join('')));
	};

	return line => {
		if (bufferedCharacters + line.length > maxBufferedCharacters) {
			droppedCount++;

			return;
		}

		bufferedLines.push(line);
		bufferedCharacters += line.length;
		// Lines of the same event loop iteration are written in one batch.
		setImmediate(startWrite);
	};
}
