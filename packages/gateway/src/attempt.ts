import {Buffer} from 'node:buffer';
import http, {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {BodyFraming, describeRunEvidence, type RunEvidence} from '@fescuestair/streams';
import {
	createByteCollector, parseAddress, processReadPacer, waitForReads, watchInterimResponses,
} from '@fescuestair/transport';
import {type UpstreamResponseMetadata, type UpstreamCodec} from './codecs.js';
import {createReadForwarder, type ReadForwarder} from './read-forwarder.js';
import {type UpstreamAgent} from './upstream-agent.js';

/** How one attempt to run a request on one instance ended. */
export enum AttemptCompletion {
	/** The complete response was received. */
	Complete = 'complete',
	/** The instance did not execute the request and never will: it was not sent, or the instance reports so. */
	NotRun = 'not_run',
	/** The request was sent, but no complete response was received: it may have been executed. */
	Incomplete = 'broken',
}

export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	readonly answer: UpstreamResponseMetadata;
	readonly framing: BodyFraming;
};

export type AttemptResult = {
	readonly end: AttemptCompletion;
	/** Why the attempt did not complete, for the log; empty where it did. */
	readonly reason: string;
	readonly head: ResponseHead | undefined;
	/** The buffered body; empty where the body was handed to `onData`. */
	readonly body: Buffer;
	/** Whether it got a connection, so that the instance may have seen it. */
	readonly isSent: boolean;
	/** No connection could be established. */
	readonly isUnreachable: boolean;
	/** The instance closed or reset the connection before the response was complete. */
	readonly isConnectionLost: boolean;
	/** Why this gateway cancelled the attempt; `undefined` where it ended by itself. */
	readonly cancelledFor: RunEvidence | undefined;
	/** Time taken to establish a new connection; `undefined` where a pooled connection was reused. */
	readonly connectMs: number | undefined;
};

export type AttemptOptions = {
	readonly address: string;
	readonly agent: UpstreamAgent;
	readonly codec: UpstreamCodec;
	readonly requestId: string;
	readonly method: string;
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer;
	/**
	Receives the body of a 2xx response of an instance that ran the request, all that was read at once in one call; without it the body is buffered. Returns false to pause until
	`resume`.
	*/
	readonly onData?: (bytes: Buffer, head: ResponseHead) => boolean;
	readonly onHead?: (head: ResponseHead) => void;
	/** Called with the memory that the buffered body takes, in bytes, whenever that changes. */
	readonly onBuffer?: (memoryBytes: number) => void;
	/** Called whenever the instance sends anything. */
	readonly onBytes: () => void;
	/** Called once the request has a connection, with the time at which that was opened, on the monotonic clock. */
	readonly onConnection?: (openedAtMs: number) => void;
};

export type Attempt = {
	readonly result: Promise<AttemptResult>;
	/** Cancels the attempt; the instance learns of it by the close of the connection. The reason for the log follows from the evidence, if none is given. */
	readonly cancel: (evidence: RunEvidence, reason?: string) => void;
	readonly resume: () => void;
};

/** Time limit for establishing a connection: some hundred times the round-trip time. */
const connectTimeoutMs = 400;
const chunkedEncoding = 'chunked';
const emptyBody = Buffer.alloc(0);
/** When connections were opened, or were first used here, on the monotonic clock. */
const openedTimes = new WeakMap<Socket, number>();
const minFinalStatus = 200;
const noContentStatus = 204;
const notModifiedStatus = 304;
/** Upper bound for a response body that is buffered, as those of plain calls are. */
const maxBufferedBytes = 4_194_304;

/**
Sends a request to one instance. A response is accepted only if it carries the id of this request. A connection that closes early never
results in a complete response, except where the response has neither Content-Length nor chunked encoding.

@example
```
const attempt = startAttempt({address: '10.0.0.9:8080', agent, codec, requestId, method: 'GET', target: '/', headers: [], body, onBytes});
const {end} = await attempt.result;
```
*/
export function startAttempt(options: AttemptOptions): Attempt {
	const {
		address, agent, codec, requestId, method, target, headers, body, onData, onHead, onBuffer, onBytes, onConnection,
	} = options;
	const {host, port} = parseAddress(address);
	const collector = createByteCollector({maxBytes: maxBufferedBytes});
	/** Where the body is handed to `onData`. */
	let forwarder: ReadForwarder | undefined;
	let isSent = false;
	/** Whether no connection has been given to it yet: the bound on connections says nothing about the instance. */
	let isQueued = true;
	let head: ResponseHead | undefined;
	let incoming: IncomingMessage | undefined;
	let settle: (result: AttemptResult) => void;
	let isSettled = false;
	let connectMs: number | undefined;
	let cancelledFor: RunEvidence | undefined;
	const result = new Promise<AttemptResult>(resolve => {
		settle = resolve;
	});

	const finish = (end: AttemptCompletion, reason: string, {isUnreachable = false, isConnectionLost = false} = {}) => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(connectTimer);
		settle({
			end, reason, head, body: end === AttemptCompletion.Incomplete ? emptyBody : collector.take(), isSent, isUnreachable, isConnectionLost, cancelledFor, connectMs,
		});
	};

	const fail = (reason: string, {isConnectionLost = false} = {}) => {
		finish(isSent ? AttemptCompletion.Incomplete : AttemptCompletion.NotRun, reason, {
			isUnreachable: !isSent && !isQueued && cancelledFor === undefined, isConnectionLost: isSent && isConnectionLost,
		});
		request.destroy();
	};

	// The instance closed or reset the connection.
	const failConnectionLost = (reason: string) => {
		forwarder?.flush();
		fail(reason, {isConnectionLost: true});
	};

	const request = http.request({
		host, port, method, path: target, headers, agent, setHost: false,
	});
	const failUnlessSent = async () => {
		await waitForReads();

		if (!isSent) {
			fail(isQueued ? 'all connections to the instance are in use' : 'no connection in time');
		}
	};

	const connectTimer = setTimeout(() => {
		void failUnlessSent();
	}, connectTimeoutMs);

	const markSent = (socket: Socket) => {
		isSent = true;
		clearTimeout(connectTimer);
		const openedAtMs = openedTimes.get(socket) ?? performance.now();
		openedTimes.set(socket, openedAtMs);
		onConnection?.(openedAtMs);
	};

	request.on('socket', (socket: Socket) => {
		isQueued = false;

		if (socket.connecting) {
			const startedAtMs = performance.now();
			connectMs = 0;
			socket.once('connect', () => {
				connectMs = performance.now() - startedAtMs;
				markSent(socket);
			});
		} else {
			markSent(socket);
		}
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		// An error after the complete response does not affect it.
		if (incoming?.complete !== true) {
			failConnectionLost(error.code ?? error.message);
		}
	});
	watchInterimResponses(request, () => {
		fail('too many interim responses');
	});
	request.on('response', response => {
		incoming = response;
		onBytes();

		if ((response.statusCode ?? 0) < minFinalStatus) {
			fail(`an answer with status ${response.statusCode}`);

			return;
		}

		head = {
			status: response.statusCode ?? 0,
			headers: response.headers,
			rawHeaders: response.rawHeaders,
			answer: codec.decodeResponse(response.statusCode ?? 0, response.headers),
			framing: getFraming(method, response),
		};

		if (head.answer.requestId !== requestId) {
			head = undefined;
			fail('an answer to another request');

			return;
		}

		if (head.answer.idleTimeoutMs !== undefined) {
			agent.setIdleTimeoutMs(head.answer.idleTimeoutMs);
		}

		if (head.framing === BodyFraming.Close) {
			// A reset that is read together with the last bytes is reported as the end of the body, but leaves a socket without a peer. Node keeps the address of a
			// peer that was read before, so nothing else may read it.
			const {socket} = response;
			socket.prependListener('end', () => {
				if (socket.remoteAddress === undefined) {
					failConnectionLost('the connection was reset');
				}
			});
		}

		if (head.framing === BodyFraming.Length) {
			collector.expect(Number(response.headers['content-length'] ?? 0));
		}

		onHead?.(head);

		if (onData !== undefined && head.status >= 200 && head.status < 300 && !head.answer.isNotRun) {
			forwarder = createReadForwarder({socket: response.socket, forward: bytes => isSettled || onData(bytes, head!)});
		}

		const recordPiece = processReadPacer.open(response.socket);
		response.on('data', (bytes: Buffer) => {
			recordPiece();
			onBytes();

			if (isSettled) {
				return;
			}

			if (forwarder !== undefined) {
				forwarder.push(bytes);

				return;
			}

			const memoryBytes = collector.countMemoryBytes();

			if (!collector.push(bytes)) {
				fail('the answer is too large');
			} else if (collector.countMemoryBytes() !== memoryBytes) {
				onBuffer?.(collector.countMemoryBytes());
			}
		});
		response.on('end', () => {
			if (!response.complete) {
				failConnectionLost('the answer was cut short');
			} else if (forwarder === undefined) {
				finish(head!.answer.isNotRun ? AttemptCompletion.NotRun : AttemptCompletion.Complete, head!.answer.isNotRun ? `refused with ${head!.status}` : '');
			} else {
				forwarder.end(() => {
					finish(AttemptCompletion.Complete, '');
				});
			}
		});
		response.on('error', (error: NodeJS.ErrnoException) => {
			failConnectionLost(error.code ?? error.message);
		});
		response.on('close', () => {
			if (!response.complete) {
				failConnectionLost('the answer was cut short');
			}
		});
	});
	request.on('close', () => {
		if (incoming === undefined) {
			failConnectionLost('the connection closed without an answer');
		}
	});
	request.end(body);

	return {
		result,
		cancel(evidence, reason = describeRunEvidence(evidence)) {
			cancelledFor ??= evidence;
			fail(reason);
		},
		resume() {
			forwarder?.resume();
		},
	};
}

// Responses without a body end with their head. A body whose last transfer encoding is not the chunked one ends with its connection.
function getFraming(method: string, {statusCode, headers}: IncomingMessage): BodyFraming {
	const encodings = headers['transfer-encoding'];

	if (method === 'HEAD' || statusCode === noContentStatus || statusCode === notModifiedStatus) {
		return BodyFraming.Length;
	}

	if (encodings !== undefined) {
		return encodings.split(',').at(-1)!.trim().toLowerCase() === chunkedEncoding ? BodyFraming.Chunks : BodyFraming.Close;
	}

	return headers['content-length'] === undefined ? BodyFraming.Close : BodyFraming.Length;
}
