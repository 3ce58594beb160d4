import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';
import {createBoundedWriter} from './bounded-writer.js';

/** The logger of a process. */
export type Log = ConsolaInstance;

type LogOptions = {
	/** Stands in every line. */
	readonly instance: string;
	readonly level?: number;
	readonly isTerminal?: boolean;
	/** Takes a line; standard output, without ever waiting for it, where none is given. */
	readonly writeLine?: (line: string) => void;
};

const defaultLevel = 3;

/**
Creates a logger: JSON lines, or text for people where the output is a terminal. Fields go in one object after the
message; keys and bodies are never logged.

@example
```
createLog({instance: 'entry-1'}).info('request refused', {requestId, organisation, code});
```
*/
export function createLog({instance, level = defaultLevel, isTerminal = process.stdout.isTTY, writeLine}: LogOptions): Log {
	if (isTerminal) {
		return createConsola({level}).withTag(instance);
	}

	const write = writeLine ?? getStandardWriter();

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

let standardWriter: ((line: string) => void) | undefined;

// One writer a process, whatever number of loggers.
function getStandardWriter(): (line: string) => void {
	standardWriter ??= createBoundedWriter();

	return standardWriter;
}
