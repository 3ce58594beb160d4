import http, {type Agent, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {AttemptOutcome, headerNames, ExecutionStatus} from '@fescuestair/protocol';
import {
	createByteCollector, parseAddress, processReadPacer, watchInterimResponses,
} from '@fescuestair/transport';
import {AttemptError} from './attempt-error.js';

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
};

type CallOptions = {
	/** `undefined` for a new connection. */
	readonly agent: Agent | undefined;
	readonly address: string;
	readonly timeoutMs: number;
	/** Ends the call; its reason is an `AttemptError`. */
	readonly signal?: AbortSignal | undefined;
	/** Called with each part of the response that arrives. */
	readonly onHeard?: (() => void) | undefined;
	/** Called with the status and the headers of the response, before its body is read. */
	readonly onResponseHead: (status: number, headers: IncomingHttpHeaders) => void;
};

const connectTimeoutMs = 1500;
/** The longest answer of a service. */
const maxAnswerBytes = 16_000_000;
const minFinalStatus = 200;
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
itself says so. Node's own client is used, and not undici, because undici takes a reset for the end of a response that has no length.
*/
export async function callService(options: CallOptions, call: ServiceCall): Promise<ServiceResponse> {
	const response = await sendCall(options, call);

	if (response.headers[headerNames.ran] === ExecutionStatus.NotRun && response.status >= 500) {
		throw new AttemptError(AttemptOutcome.Refused, `the service says that it did not run: status ${response.status}`, ExecutionStatus.NotRun);
	}

	return {
		status: response.status,
		contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
		body: response.body,
	};
}

type RawResponse = {readonly status: number; readonly headers: IncomingHttpHeaders; readonly body: Uint8Array};

async function sendCall({agent, address, timeoutMs, signal, onHeard, onResponseHead}: CallOptions, {method, path, headers, body}: ServiceCall): Promise<RawResponse> {
	const {host, port} = parseAddress(address);
	let isSent = false;
	let isSettled = false;
	let timer: NodeJS.Timeout | undefined;
	let connectTimer: NodeJS.Timeout | undefined;
	let cancel: () => void = () => undefined;

	try {
		return await new Promise<RawResponse>((resolve, reject) => {
			const request = http.request({
				host, port, method, path, agent: agent ?? false, headers: {...headers, ...(body.length > 0 && {'content-length': body.length})},
			});

			const finish = (response: RawResponse) => {
				isSettled = true;
				resolve(response);
			};

			// A connection that is kept serves other calls already.
			const fail = (error: AttemptError) => {
				if (!isSettled) {
					isSettled = true;
					reject(error);
					request.destroy();
				}
			};

			const failConnection = (reason: string) => {
				fail(isSent ? new AttemptError(AttemptOutcome.ConnectionLost, reason) : new AttemptError(AttemptOutcome.NotSent, reason, ExecutionStatus.NotRun));
			};

			const failInvalid = (reason: string) => {
				fail(new AttemptError(AttemptOutcome.Invalid, reason));
			};

			cancel = () => {
				fail(signal!.reason as AttemptError);
			};

			timer = setTimeout(() => {
				fail(new AttemptError(AttemptOutcome.Silent, `no whole answer in ${Math.ceil(timeoutMs)} ms`, isSent ? ExecutionStatus.Unknown : ExecutionStatus.NotRun));
			}, timeoutMs);
			connectTimer = setTimeout(() => {
				if (!isSent) {
					failConnection('no connection in time');
				}
			}, connectTimeoutMs);
			signal?.addEventListener('abort', cancel);
			request.on('socket', socket => {
				const markSent = () => {
					isSent = true;
				};

				if (socket.connecting) {
					socket.once('connect', markSent);
				} else {
					markSent();
				}
			});
			request.on('error', (error: NodeJS.ErrnoException) => {
				failConnection(`${error.code ?? 'unknown'}: ${error.message}`);
			});
			watchInterimResponses(request, () => {
				failInvalid('too many interim responses');
			});
			request.on('response', response => {
				onHeard?.();

				// Node's client takes any three digits.
				if ((response.statusCode ?? 0) < minFinalStatus) {
					failInvalid(`an answer with status ${response.statusCode}`);

					return;
				}

				onResponseHead(response.statusCode ?? 0, response.headers);
				readResponse(response, {
					resolve: finish, failConnection, failInvalid, onHeard, isUnframed: isUnframed(method, response.statusCode ?? 0, response.headers),
				});
			});
			request.on('close', () => {
				failConnection('the connection closed without an answer');
			});
			request.end(body.length === 0 ? undefined : body);

			if (signal?.aborted === true) {
				cancel();
			}
		});
	} finally {
		clearTimeout(timer);
		clearTimeout(connectTimer);
		signal?.removeEventListener('abort', cancel);
	}
}

type ResponseReading = {
	readonly resolve: (response: RawResponse) => void;
	readonly failConnection: (reason: string) => void;
	readonly failInvalid: (reason: string) => void;
	readonly onHeard: (() => void) | undefined;
	readonly isUnframed: boolean;
};

function readResponse(response: IncomingMessage, {resolve, failConnection, failInvalid, onHeard, isUnframed: endsWithConnection}: ResponseReading): void {
	const collector = createByteCollector({maxBytes: maxAnswerBytes});
	const {socket} = response;
	const recordPiece = processReadPacer.open(socket);

	if (endsWithConnection) {
		// A reset that is read together with the last bytes is reported as the end of the body, but leaves a socket without a peer. Node keeps the address of a
		// peer that was read before, so nothing else may read it.
		socket.prependListener('end', () => {
			if (socket.remoteAddress === undefined) {
				failConnection('the connection was reset');
			}
		});
	}

	response.on('data', (chunk: Uint8Array) => {
		onHeard?.();
		recordPiece();

		if (!collector.push(chunk)) {
			failInvalid('the answer is too large');
		}
	});
	response.on('end', () => {
		if (response.complete) {
			resolve({status: response.statusCode ?? 0, headers: response.headers, body: collector.take()});
		} else {
			failConnection('the answer was cut short');
		}
	});
	response.on('error', (error: NodeJS.ErrnoException) => {
		failConnection(`${error.code ?? 'unknown'}: ${error.message}`);
	});
	response.on('close', () => {
		failConnection('the answer was cut short');
	});
}

function isUnframed(method: string, status: number, headers: IncomingHttpHeaders): boolean {
	const hasNoBody = method === 'HEAD' || statusesWithoutBody.has(status);

	return !hasNoBody && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
