import {type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {waitForReads} from './wait-for-reads.js';

export type ClientErrorOptions = {
	/** Called once for each connection with bytes that are no request, with the number of answers that still run on it. */
	readonly onError: (reason: string, running: number) => void;
	/** Answers a request whose body is invalid, and whose answer has not begun; closes the connection with it. */
	readonly rejectBody: (response: ServerResponse, status: number) => void;
};

/** Time for a caller to read the answer to an invalid request before its connection is closed. */
const lingerMs = 1000;
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
const statusLineByCode: ReadonlyMap<string | undefined, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	[timeoutCode, '408 Request Timeout'],
]);
const defaultStatusLine = '400 Bad Request';

/**
Lets bytes that are no request end their connection only after the answers to the requests before them. Node's own handling writes into the answer that is being sent, or ends it.

@example
```
registerClientErrors(server, {onError: (reason, running) => log.info('invalid HTTP request', {reason, running}), rejectBody});
```
*/
export function registerClientErrors(server: Server, {onError, rejectBody}: ClientErrorOptions): void {
	/** By connection, the responses that have not been sent completely, in the order of their requests. */
	const responsesBySocket = new WeakMap<Socket, Set<ServerResponse>>();
	const requestCounts = new WeakMap<Socket, number>();
	const failedSockets = new WeakSet<Socket>();

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

	const countRequests = (socket: Socket) => requestCounts.get(socket) ?? 0;

	server.on('request', ({socket}, response) => {
		const responses = responsesBySocket.get(socket) ?? registerConnection(socket);
		responses.add(response);
		requestCounts.set(socket, countRequests(socket) + 1);
		// Only a late head can be followed by a request, which is answered since its refusal has not been sent.
		failedSockets.delete(socket);
		response.once('close', () => {
			responses.delete(response);
		});
	});

	const handleError = (error: NodeJS.ErrnoException, socket: Socket) => {
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
		onError(error.code ?? error.message, responses.size);
		const current = [...responses].at(-1);

		// The invalid bytes are in the body of a request, which is the last one on its connection. It is answered after those before it.
		if (current?.req.complete === false) {
			if (!current.headersSent) {
				rejectBody(current, Number.parseInt(statusLine, 10));
			}

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
	};

	// What arrived while this process stood still has not been read yet.
	const handleLate = async (error: NodeJS.ErrnoException, socket: Socket) => {
		const requestCount = countRequests(socket);
		await waitForReads();

		if (countRequests(socket) === requestCount) {
			handleError(error, socket);
		}
	};

	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (error.code === timeoutCode) {
			void handleLate(error, socket);
		} else {
			handleError(error, socket);
		}
	});
}

function endConnection(socket: Socket, statusLine: string): void {
	if (socket.writable) {
		socket.end(`HTTP/1.1 ${statusLine}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
		socket.setTimeout(lingerMs, () => {
			socket.destroy();
		});
	}
}
