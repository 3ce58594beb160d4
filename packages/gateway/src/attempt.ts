import {Buffer} from 'node:buffer';
import http, {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {parseAddress} from '@fescuestair/transport';
import {type UpstreamAnswer, type UpstreamCodec} from './codecs.js';
import {type UpstreamAgent} from './upstream-agent.js';

/** How one sending of a request to one instance ended. */
export enum AttemptEnd {
	/** The whole answer came. */
	Complete = 'complete',
	/** It did not run there and never will: it never left, or the instance says so. */
	NotRun = 'not_run',
	/** It was sent, and no whole answer came: it may have run. */
	Broken = 'broken',
}

export type AttemptHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Names and values in turn, as they came. */
	readonly rawHeaders: readonly string[];
	readonly answer: UpstreamAnswer;
	/** Whether the answer says where it ends; one that does not ends with its connection, which tells nothing of whether it is whole. */
	readonly isFramed: boolean;
};

export type AttemptResult = {
	readonly end: AttemptEnd;
	/** Why it did not end well, for the log. */
	readonly reason: string;
	readonly head: AttemptHead | undefined;
	/** The body where it was not passed on as it came. */
	readonly body: Buffer;
	/** No connection could be made. */
	readonly isUnreachable: boolean;
	/** The connection ended from the other side before the whole answer had come. */
	readonly isCutOff: boolean;
	/** Time for which a new connection was awaited; `undefined` where one was at hand. */
	readonly connectMs: number | undefined;
};

export type AttemptOptions = {
	readonly address: string;
	readonly agent: UpstreamAgent;
	readonly codec: UpstreamCodec;
	readonly requestId: string;
	readonly method: string;
	readonly target: string;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Buffer;
	/** Takes bytes of a successful answer as they come; absent where the whole is awaited. Returns false to pause, until `resume`. */
	readonly onData?: (bytes: Buffer, head: AttemptHead) => boolean;
	readonly onHead?: (head: AttemptHead) => void;
	/** Anything came from the instance. */
	readonly onBytes: () => void;
};

export type Attempt = {
	readonly result: Promise<AttemptResult>;
	/** Ends it; the instance is told by the close of its connection. */
	readonly cancel: (reason: string) => void;
	readonly resume: () => void;
};

/** A connection to a silent instance that is not made within this is given up: some hundred times the way there and back. */
const connectTimeoutMs = 400;
/** The answers of plain calls are awaited whole up to this size. */
const maxBufferedBytes = 4_194_304;

/**
Sends a request to one instance. Its answer counts only with the id of this request; a connection that ends early never makes an answer
look whole.

@example
```
const attempt = startAttempt({address: '10.0.0.9:8080', agent, codec, requestId, method: 'GET', target: '/', headers: [], body, onBytes});
const {end} = await attempt.result;
```
*/
export function startAttempt(options: AttemptOptions): Attempt {
	const {
		address, agent, codec, requestId, method, target, headers, body, onData, onHead, onBytes,
	} = options;
	const {host, port} = parseAddress(address);
	const chunks: Buffer[] = [];
	let size = 0;
	let isSent = false;
	let head: AttemptHead | undefined;
	let incoming: IncomingMessage | undefined;
	let settle: (result: AttemptResult) => void;
	let isSettled = false;
	let connectMs: number | undefined;
	const result = new Promise<AttemptResult>(resolve => {
		settle = resolve;
	});

	const finish = (end: AttemptEnd, reason: string, {isUnreachable = false, isCutOff = false} = {}) => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(connectTimer);
		settle({
			end, reason, head, body: Buffer.concat(chunks), isUnreachable, isCutOff, connectMs,
		});
	};

	const fail = (reason: string, {isCutOff = false} = {}) => {
		finish(isSent ? AttemptEnd.Broken : AttemptEnd.NotRun, reason, {isUnreachable: !isSent, isCutOff: isSent && isCutOff});
		request.destroy();
	};

	// The other side ended the connection.
	const failCutOff = (reason: string) => {
		fail(reason, {isCutOff: true});
	};

	const request = http.request({
		host, port, method, path: target, headers, agent, setHost: false,
	});
	const connectTimer = setTimeout(() => {
		if (!isSent) {
			fail('no connection in time');
		}
	}, connectTimeoutMs);

	const noteSent = () => {
		isSent = true;
		clearTimeout(connectTimer);
	};

	request.on('socket', (socket: Socket) => {
		if (socket.connecting) {
			const startedAtMs = performance.now();
			connectMs = 0;
			socket.once('connect', () => {
				connectMs = performance.now() - startedAtMs;
				noteSent();
			});
		} else {
			noteSent();
		}
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		// What follows a whole answer is no part of it.
		if (incoming?.complete !== true) {
			failCutOff(error.code ?? error.message);
		}
	});
	request.on('response', response => {
		incoming = response;
		onBytes();
		head = {
			status: response.statusCode ?? 0,
			headers: response.headers,
			rawHeaders: response.rawHeaders,
			answer: codec.decodeAnswer(response.statusCode ?? 0, response.headers),
			isFramed: response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined,
		};

		if (head.answer.requestId !== requestId) {
			head = undefined;
			fail('an answer to another request');

			return;
		}

		if (head.answer.idleMs !== undefined) {
			agent.noteIdleMs(head.answer.idleMs);
		}

		onHead?.(head);
		const isPassedOn = onData !== undefined && head.status >= 200 && head.status < 300;
		response.on('data', (bytes: Buffer) => {
			onBytes();

			if (isSettled) {
				return;
			}

			if (isPassedOn) {
				if (!onData(bytes, head!)) {
					response.pause();
				}

				return;
			}

			size += bytes.length;
			chunks.push(bytes);

			if (size > maxBufferedBytes) {
				fail('the answer is too large');
			}
		});
		response.on('end', () => {
			if (response.complete) {
				finish(head!.answer.isNotRun ? AttemptEnd.NotRun : AttemptEnd.Complete, head!.answer.isNotRun ? `refused with ${head!.status}` : '');
			} else {
				failCutOff('the answer was cut short');
			}
		});
		response.on('error', (error: NodeJS.ErrnoException) => {
			failCutOff(error.code ?? error.message);
		});
		response.on('close', () => {
			if (!response.complete) {
				failCutOff('the answer was cut short');
			}
		});
	});
	request.on('close', () => {
		if (incoming === undefined) {
			failCutOff('the connection closed without an answer');
		}
	});
	request.end(body);

	return {
		result,
		cancel(reason) {
			fail(reason);
		},
		resume() {
			incoming?.resume();
		},
	};
}
