import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Logger} from '@fescuestair/runtime';
import {cancelResponse, sendLocalResponse} from './exchange.js';

export type CallerServerOptions = {
	/** Handles one request until its response has ended. */
	readonly handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
	readonly log: Logger;
	/** Interval of the check for heads that are late. */
	readonly checkIntervalMs?: number;
};

export type CallerServer = {
	readonly server: http.Server;
	/** Responses that have not been sent completely. */
	readonly activeResponses: ReadonlySet<ServerResponse>;
	/** Answers what has no answer yet, aborts begun answers and closes all connections; ended answers get a short time to reach their callers. */
	readonly close: () => Promise<void>;
};

/** Bound of the HTTP parser; the limit of the configuration is checked separately. */
const maxParsedHeaderBytes = 65_536;
const defaultCheckIntervalMs = 30_000;
/** Time for a caller to read the answer to an invalid request before its connection is closed. */
const lingerMs = 1000;
const statusLineByCode: ReadonlyMap<string | undefined, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);
/** Time for answers that have ended to reach their callers before a close. */
const flushTimeoutMs = 400;
const flushPollMs = 10;
/** Callers may retry almost at once, since other gateways accept them. */
const stoppingRetryAfterMs = 50;
const defaultStatusLine = '400 Bad Request';

/**
Creates the HTTP server for callers. Bytes that are no request end their connection, but only after the answers to the requests before them.

@example
```
const {server} = createCallerServer({handleRequest, log});
server.listen(8005, '10.1.0.40');
```
*/
export function createCallerServer({handleRequest, log, checkIntervalMs = defaultCheckIntervalMs}: CallerServerOptions): CallerServer {
	const activeResponses = new Set<ServerResponse>();
	/** By connection, the responses that have not been sent completely, in the order of their requests. */
	const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
	const failedSockets = new WeakSet<Socket>();
	let isClosing = false;
	const server = http.createServer({
		maxHeaderSize: maxParsedHeaderBytes, requestTimeout: 0, keepAlive: true, connectionsCheckingInterval: checkIntervalMs,
	});

	const registerConnection = (socket: Socket) => {
		const responses = new Set<ServerResponse>();
		responsesBySocket.set(socket, responses);

		// Node tells the response that is being sent; those that wait behind it learn nothing.
		socket.once('close', () => {
			for (const response of [...responses].filter(one => one.socket === null && !one.closed)) {
				response.destroy();
				response.emit('close');
			}
		});

		return responses;
	};

	server.on('request', (request, response) => {
		const {socket} = request;
		const responses = responsesBySocket.get(socket) ?? registerConnection(socket);
		responses.add(response);
		activeResponses.add(response);
		response.once('close', () => {
			responses.delete(response);
			activeResponses.delete(response);
		});

		if (isClosing) {
			refuseStopping(response);

			return;
		}

		handleRequest(request, response).catch((error: unknown) => {
			log.error('unexpected error after a request was served', {reason: error instanceof Error ? error.stack : String(error)});

			if (!response.writableEnded) {
				cancelResponse(response);
			}
		});
	});

	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();

			return;
		}

		if (failedSockets.has(socket)) {
			return;
		}

		failedSockets.add(socket);
		const statusLine = statusLineByCode.get(error.code) ?? defaultStatusLine;
		const responses = responsesBySocket.get(socket) ?? new Set();
		log.info('invalid or incomplete HTTP request', {reason: error.code ?? error.message, running: responses.size});
		const current = [...responses].at(-1);

		if (current?.req.complete === false) {
			rejectBody(current, statusLine);

			return;
		}

		for (const response of responses) {
			response.once('close', () => {
				if (responses.size === 0) {
					endConnection(socket, statusLine);
				}
			});
		}

		if (responses.size === 0) {
			endConnection(socket, statusLine);
		}
	});

	return {
		server,
		activeResponses,
		async close() {
			isClosing = true;

			for (const response of activeResponses) {
				if (!response.headersSent) {
					answerUnfinished(response);
				} else if (!response.writableEnded) {
					cancelResponse(response);
				}
			}

			// The server stays open meanwhile: it takes connections whose response was ended for idle, and closes them.
			for (let waitedMs = 0; waitedMs < flushTimeoutMs && activeResponses.size > 0; waitedMs += flushPollMs) {
				await sleep(flushPollMs);
			}

			for (const response of activeResponses) {
				cancelResponse(response);
			}

			server.close();
			server.closeAllConnections();
		},
	};
}

// A request that is not whole can't have been sent to an instance.
function answerUnfinished(response: ServerResponse): void {
	if (response.req.complete) {
		sendLocalResponse(response, {status: 502, message: 'the gateway stopped before there was an answer', shouldClose: true});
	} else {
		refuseStopping(response);
	}
}

function refuseStopping(response: ServerResponse): void {
	sendLocalResponse(response, {
		status: 503, message: 'this gateway stops', retryAfterMs: stoppingRetryAfterMs, shouldClose: true,
	});
}

// The invalid bytes are in the body of a request, which is the last one on its connection. It is answered after those before it.
function rejectBody(response: ServerResponse, statusLine: string): void {
	if (!response.headersSent) {
		sendLocalResponse(response, {status: Number.parseInt(statusLine, 10), message: 'the body is invalid', shouldClose: true});
	}
}

function endConnection(socket: Socket, statusLine: string): void {
	if (socket.writable) {
		socket.end(`HTTP/1.1 ${statusLine}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
		socket.setTimeout(lingerMs, () => {
			socket.destroy();
		});
	}
}
