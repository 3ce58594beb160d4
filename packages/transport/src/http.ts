import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {
	formatRefusal, getRefusalStatus, headerNames, ExecutionStatus, RefusalCode, RefusalError, type Refusal,
} from '@fescuestair/protocol';
import {processCallerBudget} from './caller-budget.js';
import {countUnsent} from './count-unsent.js';
import {processReadPacer} from './read-pacer.js';
import {BodyReadEnd, createRequestBodies, type BodyRefusal} from './request-bodies.js';

export type BodyLimits = {
	readonly maxBytes: number;
	/** Time for the whole body to arrive. */
	readonly timeoutMs: number;
};

export type BodyReadOptions = {
	/** The body counts until this has been sent. */
	readonly response?: ServerResponse;
};

const bodies = createRequestBodies({budget: processCallerBudget});
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
export async function readBody(request: IncomingMessage, {maxBytes, timeoutMs}: BodyLimits, {response}: BodyReadOptions = {}): Promise<Uint8Array> {
	const abort = new AbortController();
	const timer = setTimeout(() => {
		abort.abort(createBodyRefusal(RefusalCode.TooSlow, `the body did not arrive within ${timeoutMs} ms`));
	}, timeoutMs);

	try {
		const read = await bodies.read(request, maxBytes, abort.signal);

		if (read.end !== BodyReadEnd.Complete) {
			throw describeRefusal(read.end, maxBytes);
		}

		if (response === undefined || response.closed) {
			read.release();
		} else {
			response.once('close', read.release);
		}

		return read.body;
	} finally {
		clearTimeout(timer);
	}
}

function describeRefusal(end: BodyRefusal, maxBytes: number): RefusalError {
	switch (end) {
		case BodyReadEnd.TooLarge: {
			return createBodyRefusal(RefusalCode.TooLarge, `the body may have at most ${maxBytes} bytes`);
		}

		case BodyReadEnd.NoRoom: {
			return createBodyRefusal(RefusalCode.Overloaded, 'the bodies of other requests leave no room for this one now');
		}

		case BodyReadEnd.CallerGone: {
			return createBodyRefusal(RefusalCode.BadRequest, 'the connection closed before the body had arrived');
		}
	}
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length, ...headers});
	response.end(body);
	countUnsent(response);
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
export function canDiscardBody({complete, headers}: IncomingMessage, maxBytes = maxDiscardedBytes): boolean {
	// How long one in chunks will be is not known: it is taken for ordinary, unless hardly anything may be read.
	const announcedBytes = Number(headers['content-length'] ?? (headers['transfer-encoding'] === undefined ? 0 : maxDiscardedBytes));

	return complete || announcedBytes <= maxBytes;
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
