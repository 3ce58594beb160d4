import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Organisation, type Route} from '@fescuestair/traffic';
import {type CallerRequest} from './codecs.js';

/** Who made the refusal or the failure, and whether the request ran. */
export enum Outcome {
	Answered = 'answered',
	/** Not run, and never will be. */
	Refused = 'refused',
	/** Sent, and without a whole answer. */
	Failed = 'failed',
	/** The caller left. */
	Left = 'left',
	/** The configuration does not allow it, or it is no proper request. */
	Rejected = 'rejected',
}

/** One request of a caller, read whole. */
export type Exchange = {
	readonly requestId: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly caller: CallerRequest;
	readonly route: Route;
	readonly organisation: Organisation | undefined;
	readonly body: Buffer;
	readonly startedAtMs: number;
	/** When the caller, or the route, gives up. */
	readonly deadlineMs: number;
};

export type ExchangeEnd = {
	readonly outcome: Outcome;
	readonly status: number;
	readonly reason: string;
};

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'proxy-authorization',
]);

/** Lists the headers to pass on, names and values in turn; those that the connection header names stay behind too. */
export function filterHeaders(rawHeaders: readonly string[], isPassed: (name: string) => boolean): string[] {
	const named = new Set<string>();

	for (let position = 0; position < rawHeaders.length; position += 2) {
		if (rawHeaders[position]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[position + 1]!.split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	const passed: string[] = [];

	for (let position = 0; position < rawHeaders.length; position += 2) {
		const name = rawHeaders[position]!.toLowerCase();

		if (!connectionHeaders.has(name) && !named.has(name) && isPassed(name)) {
			passed.push(rawHeaders[position]!, rawHeaders[position + 1]!);
		}
	}

	return passed;
}

/** Sends a small answer of the system's own. */
export function sendOwnAnswer(response: ServerResponse, {status, message, retryAfterMs, isClosing = false}: {
	readonly status: number;
	readonly message: string;
	readonly retryAfterMs?: number;
	readonly isClosing?: boolean;
}): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();

		return;
	}

	const body = JSON.stringify({error: message});
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': String(body.length),
		...(retryAfterMs !== undefined && {'retry-after': (retryAfterMs / 1000).toFixed(2)}),
		...(isClosing && {connection: 'close'}),
	});
	response.end(body);
}
