import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Agent} from 'undici';
import {AttemptOutcome, headerNames, ExecutionStatus} from '@fescuestair/protocol';
import {AttemptError, isConnectError} from './attempt-error.js';

/** A request to a plain service, as it is forwarded. */
export type ServiceCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** The complete response of a service. */
export type ServiceResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** Whether the end of the body was told by the close of the connection alone, so that it may have been cut. */
	readonly isUnframed: boolean;
};

type CallOptions = {
	readonly agent: Agent;
	readonly address: string;
	readonly timeoutMs: number;
	/** Ends the call; its reason is an `AttemptError`. */
	readonly signal?: AbortSignal | undefined;
	/** Called with each part of the response that arrives. */
	readonly onHeard?: (() => void) | undefined;
	/** Called with the status and the headers of the response, before its body is read. */
	readonly onResponseHead: (status: number, headers: IncomingHttpHeaders) => void;
};

const statusesWithoutBody = new Set([204, 304]);
const forwardedHeaders = ['content-type', 'accept', 'accept-language', headerNames.idempotencyKey];

/** Picks the headers that are forwarded to a service; the caller's API key (`authorization`) is not. */
export function pickForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
	const picked: Record<string, string> = {};

	for (const name of forwardedHeaders) {
		const value = headers[name];

		if (typeof value === 'string') {
			picked[name] = value;
		}
	}

	return picked;
}

/**
Sends a request to a service once. Throws an `AttemptError` whose `ran` is `not_run` only if nothing can have been sent, or if the service
itself says so.
*/
export async function callService(options: CallOptions, call: ServiceCall): Promise<ServiceResponse> {
	const {agent, address, signal, onHeard, onResponseHead} = options;
	const timeoutMs = Math.ceil(options.timeoutMs);

	try {
		const response = await agent.request({
			origin: `http://${address}`,
			path: call.path,
			method: call.method,
			headers: call.headers,
			body: call.body.length === 0 ? undefined : call.body,
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.any([AbortSignal.timeout(timeoutMs), ...(signal === undefined ? [] : [signal])]),
		});
		onHeard?.();
		onResponseHead(response.statusCode, response.headers);
		const chunks: Uint8Array[] = [];

		for await (const chunk of response.body) {
			onHeard?.();
			chunks.push(chunk as Uint8Array);
		}

		const body = Buffer.concat(chunks);

		if (response.headers[headerNames.ran] === ExecutionStatus.NotRun && response.statusCode >= 500) {
			throw new AttemptError(AttemptOutcome.Refused, `the service says that it did not run: status ${response.statusCode}`, ExecutionStatus.NotRun);
		}

		return {
			status: response.statusCode,
			contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
			body,
			isUnframed: isUnframed(call.method, response.statusCode, response.headers),
		};
	} catch (error) {
		throw toAttemptError(error);
	}
}

function isUnframed(method: string, status: number, headers: IncomingHttpHeaders): boolean {
	const hasNoBody = method === 'HEAD' || statusesWithoutBody.has(status);

	return !hasNoBody && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

function toAttemptError(error: unknown): AttemptError {
	if (error instanceof AttemptError) {
		return error;
	}

	const {code = 'unknown', message, name} = error as NodeJS.ErrnoException;

	if (isConnectError(error)) {
		return new AttemptError(AttemptOutcome.NotSent, code, ExecutionStatus.NotRun);
	}

	const isTimeout = name === 'TimeoutError' || code.endsWith('_TIMEOUT');

	return new AttemptError(isTimeout ? AttemptOutcome.Silent : AttemptOutcome.ConnectionLost, `${code}: ${message}`);
}
