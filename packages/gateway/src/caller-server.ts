import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Logger} from '@fescuestair/runtime';
import {type CallerLimits} from '@fescuestair/traffic';
import {
	admitRequests, registerClientErrors, registerIdleTimeouts, waitForReads,
} from '@fescuestair/transport';
import {cancelResponse, sendLocalResponse} from './exchange.js';
import {maxTimerMs} from './max-timer-ms.js';

export type CallerServerOptions = {
	/** Handles one request until its response has ended. */
	readonly handleRequest: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
	readonly log: Logger;
	/** When callers that are refused during the close should return; by default almost at once, since other gateways accept them. */
	readonly computeReturnMs?: () => number;
	/** Interval of the check for heads that are late. */
	readonly checkIntervalMs?: number;
};

export type CallerServer = {
	readonly server: http.Server;
	/** Responses that have not been sent completely. */
	readonly activeResponses: ReadonlySet<ServerResponse>;
	/** Sets how long a caller may take for a head, and stay idle. */
	readonly applyLimits: (limits: Pick<CallerLimits, 'headerTimeoutMs' | 'idleTimeoutMs'>) => void;
	/** Answers what has no answer yet, aborts begun answers and closes all connections; ended answers get a short time to reach their callers. */
	readonly close: () => Promise<void>;
};

/** Bound of the HTTP parser; the limit of the configuration is checked separately. */
const maxParsedHeaderBytes = 65_536;
const defaultCheckIntervalMs = 30_000;
/** Time for answers that have ended to reach their callers before a close. */
const flushTimeoutMs = 400;
const flushPollMs = 10;
/** Time for requests on connections that were opened shortly before a close. */
const lateRequestsMs = 150;
const defaultReturnMs = 50;

/**
Creates the HTTP server for callers. Bytes that are no request end their connection, but only after the answers to the requests before them.

@example
```
const {server} = createCallerServer({handleRequest, log});
server.listen(8005, '10.1.0.40');
```
*/
export function createCallerServer({
	handleRequest, log, computeReturnMs = () => defaultReturnMs, checkIntervalMs = defaultCheckIntervalMs,
}: CallerServerOptions): CallerServer {
	const activeResponses = new Set<ServerResponse>();
	let isClosing = false;
	const server = http.createServer({
		maxHeaderSize: maxParsedHeaderBytes, requestTimeout: 0, keepAlive: true, connectionsCheckingInterval: checkIntervalMs,
	});

	registerIdleTimeouts(server);
	registerClientErrors(server, {
		onError(reason, running) {
			log.info('invalid or incomplete HTTP request', {reason, running});
		},
		rejectBody(response, status) {
			sendLocalResponse(response, {status, message: 'the body is invalid', shouldClose: true});
		},
	});

	server.on('request', admitRequests((request, response) => {
		// Its head was refused as late, or the answer before it closes the connection.
		if (!request.socket.writable) {
			log.info('a request is not handled, since its connection was ended before', {target: request.url});

			return;
		}

		activeResponses.add(response);
		response.once('close', () => {
			activeResponses.delete(response);
		});

		if (isClosing) {
			refuseStopping(response, computeReturnMs());

			return;
		}

		handleRequest(request, response).catch((error: unknown) => {
			log.error('unexpected error after a request was served', {reason: error instanceof Error ? error.stack : String(error)});

			if (!response.writableEnded) {
				cancelResponse(response);
			}
		});
	}));

	return {
		server,
		activeResponses,
		applyLimits({headerTimeoutMs, idleTimeoutMs}) {
			server.headersTimeout = toTimeout(headerTimeoutMs);
			server.keepAliveTimeout = toTimeout(idleTimeoutMs);
		},
		async close() {
			isClosing = true;
			await waitForReads();

			for (const response of activeResponses) {
				if (!response.headersSent) {
					answerUnfinished(response, computeReturnMs());
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

			// From here on no caller connects. Those that just have, and whose requests arrive now, are told to use another gateway.
			server.close();

			for (let waitedMs = 0; waitedMs < lateRequestsMs && await hasConnections(server); waitedMs += flushPollMs) {
				await sleep(flushPollMs);
			}

			server.closeAllConnections();
		},
	};
}

// A request that is not whole can't have been sent to an instance.
function answerUnfinished(response: ServerResponse, returnMs: number): void {
	if (response.req.complete) {
		sendLocalResponse(response, {status: 502, message: 'the gateway stopped before there was an answer', shouldClose: true});
	} else {
		refuseStopping(response, returnMs);
	}
}

function refuseStopping(response: ServerResponse, retryAfterMs: number): void {
	sendLocalResponse(response, {
		status: 503, message: 'this gateway stops', retryAfterMs, shouldClose: true,
	});
}

async function hasConnections(server: http.Server): Promise<boolean> {
	return new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error === null && count > 0);
		});
	});
}

// Node throws at the end of an answer where its time-out is out of range. 0 means none.
function toTimeout(limitMs: number): number {
	return Math.trunc(Math.min(maxTimerMs, Math.max(0, limitMs)));
}
