import {type IncomingHttpHeaders} from 'node:http';
import {type Agent} from 'undici';
import {AttemptEnd, headerNames, Ran} from '@fescuestair/protocol';
import {AttemptError, isConnectError} from './attempt-error.js';

/** A call of a plain service, as it is passed on. */
export type ServiceCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** What the service answered, whole. */
export type ServiceAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

type CallOptions = {
	readonly agent: Agent;
	readonly address: string;
	readonly timeoutMs: number;
	/** Told of the head of the answer. */
	readonly noteHead: (status: number, headers: IncomingHttpHeaders) => void;
};

const passedHeaders = ['content-type', 'accept', 'accept-language', headerNames.idempotencyKey];

/** Chooses the caller's headers that a service gets; the key of the caller is not among them. */
export function pickHeaders(headers: IncomingHttpHeaders): Record<string, string> {
	const picked: Record<string, string> = {};

	for (const name of passedHeaders) {
		const value = headers[name];

		if (typeof value === 'string') {
			picked[name] = value;
		}
	}

	return picked;
}

/**
Calls a service once. Throws an `AttemptError` whose `ran` is `not_run` only where nothing can have been sent, or where
the service itself says so.
*/
export async function callService({agent, address, timeoutMs: givenMs, noteHead}: CallOptions, call: ServiceCall): Promise<ServiceAnswer> {
	const timeoutMs = Math.ceil(givenMs);

	try {
		const response = await agent.request({
			origin: `http://${address}`,
			path: call.path,
			method: call.method,
			headers: call.headers,
			body: call.body.length === 0 ? undefined : call.body,
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
		});
		noteHead(response.statusCode, response.headers);
		const body = await response.body.bytes();

		if (response.headers[headerNames.ran] === Ran.NotRun && response.statusCode >= 500) {
			throw new AttemptError(AttemptEnd.Refused, `the service says that it did not run: status ${response.statusCode}`, Ran.NotRun);
		}

		return {status: response.statusCode, contentType: String(response.headers['content-type'] ?? 'application/octet-stream'), body};
	} catch (error) {
		throw describeFailure(error);
	}
}

function describeFailure(error: unknown): AttemptError {
	if (error instanceof AttemptError) {
		return error;
	}

	const {code = 'unknown', message, name} = error as NodeJS.ErrnoException;

	if (isConnectError(error)) {
		return new AttemptError(AttemptEnd.NotSent, code, Ran.NotRun);
	}

	const isSilent = name === 'TimeoutError' || code.endsWith('_TIMEOUT');

	return new AttemptError(isSilent ? AttemptEnd.Silent : AttemptEnd.ConnectionLost, `${code}: ${message}`);
}
