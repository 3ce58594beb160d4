import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';
import {createBoundedWriter} from './bounded-writer.js';

/** The logger of a process. */
export type Logger = ConsolaInstance;

type LoggerOptions = {
	/** Name of this instance, included in every line. */
	readonly instance: string;
	readonly level?: number;
	readonly isTerminal?: boolean;
	/** Writes a line; default is a non-blocking writer to standard output. */
	readonly writeLine?: (line: string) => void;
};

const defaultLevel = 3;

/**
Creates a logger that writes JSON lines, or readable text if the output is a terminal. Fields are passed as one object after the
message. Keys and bodies must never be logged.

@example
```
createLogger({instance: 'entry-1'}).info('request refused', {requestId, organisation, code});
```
*/
export function createLogger({instance, level = defaultLevel, isTerminal = process.stdout.isTTY, writeLine}: LoggerOptions): Logger {
	if (isTerminal) {
		return createConsola({level}).withTag(instance);
	}

	const write = writeLine ?? getStandardOutputWriter();

	return createConsola({
		level,
		reporters: [{
			log(entry: LogObject) {
				write(`${formatLine(entry, instance)}\n`);
			},
		}],
	});
}

function formatLine(entry: LogObject, instance: string): string {
	const [message, ...rest] = entry.args as unknown[];
	const fields = Object.assign({}, ...rest.map(part => toFields(part))) as Record<string, unknown>;

	return JSON.stringify({
		time: entry.date.toISOString(), level: entry.type, instance, message: formatMessage(message), ...fields,
	});
}

function toFields(part: unknown): Record<string, unknown> {
	if (part instanceof Error) {
		return {error: part.message, stack: part.stack};
	}

	return typeof part === 'object' && part !== null ? part as Record<string, unknown> : {detail: String(part)};
}

function formatMessage(message: unknown): string {
	return message instanceof Error ? message.stack ?? message.message : String(message);
}

let standardOutputWriter: ((line: string) => void) | undefined;

// All loggers of the process share one writer, so that their lines do not interleave and one buffer limit applies to all of them.
function getStandardOutputWriter(): (line: string) => void {
	standardOutputWriter ??= createBoundedWriter();

	return standardOutputWriter;
}
