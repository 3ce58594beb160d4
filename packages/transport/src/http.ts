import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {
	formatRefusal, getRefusalStatus, headerNames, ExecutionStatus, RefusalCode, RefusalError, type Refusal,
} from '@fescuestair/protocol';
import {IncompleteMessageError, readMessage} from './read-message.js';
import {processReadPacer} from './read-pacer.js';

export type BodyLimits = {
	readonly maxBytes: number;
	/** Time for the whole body to arrive. */
	readonly timeoutMs: number;
};

/** Twice the longest body that is accepted anywhere. */
const maxDiscardedBytes = 32_000_000;

function createBodyRefusal(code: RefusalCode, message: string): RefusalError {
	return new RefusalError({code, message, ran: ExecutionStatus.NotRun});
}

/**
Reads a request body completely; throws a `RefusalError` if it exceeds the limits.

@example
```
const body = await readBody(request, {maxBytes: 1_000_000, timeoutMs: 10_000});
```
*/
export async function readBody(request: IncomingMessage, {maxBytes, timeoutMs}: BodyLimits): Promise<Uint8Array> {
	const contentLength = Number(request.headers['content-length'] ?? 0);

	if (contentLength > maxBytes) {
		throw createBodyRefusal(RefusalCode.TooLarge, `the body may have at most ${maxBytes} bytes`);
	}

	const abort = new AbortController();
	const timer = setTimeout(() => {
		abort.abort(createBodyRefusal(RefusalCode.TooSlow, `the body did not arrive within ${timeoutMs} ms`));
	}, timeoutMs);

	try {
		const body = await readMessage(request, {canTake: size => size <= maxBytes, signal: abort.signal});

		if (body === undefined) {
			throw createBodyRefusal(RefusalCode.TooLarge, `the body may have at most ${maxBytes} bytes`);
		}

		return body;
	} catch (error) {
		throw error instanceof IncompleteMessageError ? createBodyRefusal(RefusalCode.BadRequest, 'the connection closed before the body had arrived') : error;
	} finally {
		clearTimeout(timer);
	}
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length, ...headers});
	response.end(body);
}

/**
Whether the connection of a refused request may go on behind the rest of its body, as far as its head tells. Otherwise it has to be closed; while the caller still sends, it is
reset so, and the reset may overtake the refusal.

@example
```
sendLocalResponse(response, {status: 404, message: 'no route', shouldClose: !canDiscardBody(request)});
dropBody(response);
```
*/
export function canDiscardBody({complete, headers}: IncomingMessage): boolean {
	return complete || Number(headers['content-length'] ?? 0) <= maxDiscardedBytes;
}

/**
Reads the rest of the body of a refused request and discards it. Closes the connection of one in chunks that is longer than any that is accepted, after the refusal and the answers
before it.
*/
export function dropBody(response: ServerResponse): void {
	const {req: request} = response;
	const recordPiece = processReadPacer.open(request.socket);
	let size = 0;

	const closeConnection = () => {
		request.socket.destroy();
	};

	request.on('data', (chunk: Uint8Array) => {
		recordPiece();
		size += chunk.length;

		if (size <= maxDiscardedBytes) {
			return;
		}

		if (response.writableFinished) {
			closeConnection();
		} else {
			request.pause();
			response.once('finish', closeConnection);
		}
	});
	request.resume();
}

/** Sends a refusal. Discards the rest of the request body or closes the connection, and destroys it if headers have been sent already. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();

		return;
	}

	const body = Buffer.from(formatRefusal(refusal, requestId));
	response.writeHead(getRefusalStatus(refusal), {
		'content-type': 'application/json',
		'content-length': body.length,
		[headerNames.requestId]: requestId,
		[headerNames.ran]: refusal.ran,
		...(refusal.retryAfterSeconds !== undefined && {'retry-after': String(refusal.retryAfterSeconds)}),
		...(!canDiscardBody(response.req) && {connection: 'close'}),
	});
	response.end(body);
	dropBody(response);
}
