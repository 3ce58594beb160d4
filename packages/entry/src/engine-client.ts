import {type IncomingHttpHeaders} from 'node:http';
import {type Agent} from 'undici';
import {
	AttemptOutcome, engineLoadSchema, headerNames, ExecutionStatus, type EngineLoad,
} from '@fescuestair/protocol';
import {
	AnswerEnd, BodyFraming, decideAnswerEnd, describeRunFault,
} from '@fescuestair/streams';
import {AttemptError, isConnectError} from './attempt-error.js';
import {
	createRunEventParser, type EngineEvent, type EventSink, type RunEventParser,
} from './engine-events.js';
import {type PieceImport} from './fetch-pieces.js';
import {tryParseJson} from './parse-json.js';

export type GenerateInput = {
	readonly requestId: string;
	readonly attempt: number;
	readonly organisation: string;
	readonly model: string;
	readonly weightVersion: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly priority: string;
	/** Text that earlier attempts generated; the engine continues after it. */
	readonly continueText: string;
	readonly fromOffset: number;
	/** Verified pieces that the engine has imported for this run. */
	readonly import: PieceImport | undefined;
};

export type EngineCall = {
	readonly agent: Agent;
	readonly address: string;
	readonly signal: AbortSignal;
	/** Called with each part of the response that arrives, heartbeats included. */
	readonly onHeard?: () => void;
	/** Called with the load that the engine reports in a response header. */
	readonly onLoad?: (load: EngineLoad) => void;
	/** Called when the response status and headers arrive. */
	readonly onResponseHead?: (status: number, headers: IncomingHttpHeaders) => void;
	/** Finds out from its headers why a response can't be part of the answer; it is not read then. */
	readonly findHeadFault?: (headers: IncomingHttpHeaders) => string | undefined;
};

const okStatus = 200;
const maxErrorCharacters = 65_536;
const firstRefusalStatus = 400;
const firstServerFailureStatus = 500;
/** After the last event of an answer, its response may take this long to end; the connection is closed otherwise. */
const drainTimeoutMs = 1000;
/** What an entry answers: a stream in chunks that ends with an event, whatever the engine's framing. */
const promisedAnswer = {status: okStatus, framing: BodyFraming.Chunks, missingBytes: undefined} as const;

/** Starts a run and reads its events; resolves once the last event has been passed to the sink. */
export async function generate(call: EngineCall, input: GenerateInput, sink: EventSink<EngineEvent>): Promise<void> {
	await readEventStream(call, {
		path: '/v1/generate',
		method: 'POST',
		headers: {'content-type': 'application/json', [headerNames.requestId]: input.requestId, [headerNames.organisation]: input.organisation},
		body: JSON.stringify(input),
	}, createRunEventParser(input.fromOffset, sink));
}

type ResumeInput = {
	readonly requestId: string;
	readonly organisation: string;
	readonly fromOffset: number;
};

/** Continues reading the events of a run that the engine still holds, over a new connection. */
export async function resume(call: EngineCall, {requestId, organisation, fromOffset}: ResumeInput, sink: EventSink<EngineEvent>): Promise<void> {
	await readEventStream(call, {
		path: `/v1/generate/${requestId}?from=${fromOffset}`,
		method: 'GET',
		headers: {[headerNames.organisation]: organisation},
		reset: true,
	}, createRunEventParser(fromOffset, sink));
}

/** Cancels a run whose events are no longer read. Best effort: callers do not await it, since the engine soon ends such a run itself. */
export async function cancel({agent, address}: Omit<EngineCall, 'signal'>, requestId: string, organisation: string): Promise<void> {
	try {
		const response = await agent.request({
			origin: `http://${address}`, path: `/v1/generate/${requestId}`, method: 'DELETE', headers: {[headerNames.organisation]: organisation},
		});
		await response.body.dump();
	} catch {
		// The engine is gone, and the run with it.
	}
}

type RunRequest = {
	readonly path: string;
	readonly method: 'GET' | 'POST';
	readonly headers: Record<string, string>;
	readonly body?: string;
	readonly reset?: boolean;
};

// Uses undici's dispatch callbacks instead of an async iterator over the body, since an entry passes on thousands of tokens per second. Its time-outs are off:
// silence does not end a run.
async function readEventStream({agent, address, signal, onHeard, onLoad, onResponseHead, findHeadFault}: EngineCall, request: RunRequest, parser: RunEventParser): Promise<void> {
	const decoder = new TextDecoder();
	let response: ResponseHead | undefined;
	let errorBody = '';
	let abort: () => void = () => undefined;
	let drainTimer: NodeJS.Timeout | undefined;
	let error: unknown;

	try {
		await new Promise<void>((resolve, reject) => {
			agent.dispatch({
				...request, origin: `http://${address}`, headersTimeout: 0, bodyTimeout: 0,
			}, {
				onRequestStart(controller) {
					abort = () => {
						controller.abort(new AttemptError(AttemptOutcome.Cancelled, 'cancelled'));
					};

					signal.addEventListener('abort', abort);

					if (signal.aborted) {
						abort();
					}
				},
				onResponseStart(controller, statusCode, headers) {
					onHeard?.();
					response = {status: statusCode, headers};
					onResponseHead?.(statusCode, headers);
					const load = parseLoadHeader(headers[headerNames.load]);

					if (load !== undefined) {
						onLoad?.(load);
					}

					const headFault = statusCode === okStatus ? findHeadFault?.(headers) : undefined;

					if (headFault !== undefined) {
						controller.abort(new AttemptError(AttemptOutcome.Invalid, headFault));
					}
				},
				onResponseData(controller, chunk) {
					onHeard?.();

					if (response?.status !== okStatus) {
						errorBody += decoder.decode(chunk, {stream: true});

						if (errorBody.length > maxErrorCharacters) {
							controller.abort(new Error('the body of the failure is too long'));
						}

						return;
					}

					const canAcceptMore = parser.parseChunk(chunk);

					if (parser.getFault() !== undefined) {
						controller.abort(new AttemptError(AttemptOutcome.Invalid, 'invalid event'));

						return;
					}

					if (!canAcceptMore) {
						controller.pause();
						void resumeWhenDrained(parser.waitForDrain(), controller);
					}

					if (parser.isEnded()) {
						// The caller does not wait for the end of the response, which an engine may never send.
						drainTimer ??= setTimeout(() => {
							controller.abort(new Error('the response went on after its last event'));
						}, drainTimeoutMs).unref();
						resolve();
					}
				},
				onResponseEnd() {
					clearTimeout(drainTimer);
					resolve();
				},
				onResponseError(_controller, error) {
					clearTimeout(drainTimer);
					reject(error);
				},
			});
		});
	} catch (caughtError) {
		error = caughtError;
	} finally {
		signal.removeEventListener('abort', abort);
	}

	requireWhole({error, response, errorBody}, parser);
}

type ResponseHead = {readonly status: number; readonly headers: IncomingHttpHeaders};

type RunEnd = {
	/** `undefined` where the response ended as its framing says. */
	readonly error: unknown;
	/** `undefined` where there was none. */
	readonly response: ResponseHead | undefined;
	readonly errorBody: string;
};

// Throws an `AttemptError` unless the run has made the answer whole.
function requireWhole({error, response, errorBody}: RunEnd, parser: RunEventParser): void {
	const eventFault = parser.getFault();
	const stream = parser.getResult();
	// The last event proves the answer, whatever becomes of the connection after it.
	const {end, fault} = decideAnswerEnd({begun: promisedAnswer, canRepeat: true}, {
		isComplete: error === undefined || parser.isEnded(), status: response?.status, framing: undefined, eventFault, stream,
	});

	if (end === AnswerEnd.Complete) {
		return;
	}

	if (response === undefined || (error instanceof AttemptError && eventFault === undefined)) {
		throw toAttemptError(error);
	}

	if (response.status > okStatus) {
		throw createRefusedError(response, errorBody);
	}

	if (eventFault === undefined && error !== undefined) {
		throw toAttemptError(error, response.status);
	}

	throw new AttemptError(eventFault === undefined ? AttemptOutcome.ConnectionLost : AttemptOutcome.Invalid, formatDetail(describeRunFault(fault!), response.status));
}

function formatDetail(reason: string, status: number | undefined): string {
	return status === undefined ? reason : `status ${status}: ${reason}`;
}

function parseLoadHeader(header: string | string[] | undefined): EngineLoad | undefined {
	return typeof header === 'string' ? engineLoadSchema.safeParse(tryParseJson(header)).data : undefined;
}

async function resumeWhenDrained(drained: Promise<void>, controller: {readonly resume: () => void}): Promise<void> {
	await drained;
	controller.resume();
}

// A 4xx says that the request was not accepted. After any other status the prompt may have run, unless the engine says that it did not.
function createRefusedError({status, headers}: ResponseHead, text: string): AttemptError {
	const isRejected = status >= firstRefusalStatus && status < firstServerFailureStatus;
	const ran = isRejected || headers[headerNames.ran] === ExecutionStatus.NotRun ? ExecutionStatus.NotRun : ExecutionStatus.Unknown;

	return new AttemptError(AttemptOutcome.Refused, `status ${status} ${parseErrorCode(text)}`, ran, status);
}

function parseErrorCode(text: string): string {
	const value = tryParseJson(text) as {readonly code?: unknown} | undefined;

	return typeof value?.code === 'string' ? value.code : '';
}

function toAttemptError(error: unknown, status?: number): AttemptError {
	if (error instanceof AttemptError) {
		return error;
	}

	const {code = 'unknown', message, name} = error as NodeJS.ErrnoException;

	if (name === 'AbortError') {
		return new AttemptError(AttemptOutcome.Cancelled, 'cancelled');
	}

	if (status === undefined && isConnectError(error)) {
		return new AttemptError(AttemptOutcome.NotSent, code, ExecutionStatus.NotRun);
	}

	return new AttemptError(AttemptOutcome.ConnectionLost, formatDetail(`${code}: ${message}`, status));
}
