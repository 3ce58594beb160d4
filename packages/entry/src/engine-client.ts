import {errors, type Agent} from 'undici';
import {
	AttemptEnd, engineLoadSchema, headerNames, Ran, type EngineLoad,
} from '@fescuestair/protocol';
import {BaseError} from '@fescuestair/core';
import {createEventReader} from '@fescuestair/transport';
import {type Import} from './fetch-pieces.js';

/** One piece of an engine's answer. */
export type EngineEvent = {
	/** Tokens up to and including this event. */
	readonly offset: number;
	readonly text: string;
	/** Set on the last event. */
	readonly finishReason: string | undefined;
};

/** An attempt at an engine ended without the whole answer. */
export class AttemptError extends BaseError {
	constructor(readonly end: AttemptEnd, detail: string, readonly ran = Ran.Unknown) {
		super('attempt', detail);
	}
}

export type GenerateInput = {
	readonly requestId: string;
	readonly attempt: number;
	readonly organisation: string;
	readonly model: string;
	readonly weightVersion: string;
	readonly prompt: string;
	readonly maxTokens: number;
	readonly priority: string;
	/** Text that an earlier attempt has already produced; the answer goes on behind it. */
	readonly continueText: string;
	readonly fromOffset: number;
	/** Verified pieces that the engine has imported for this run. */
	readonly import: Import | undefined;
};

type Call = {
	readonly agent: Agent;
	readonly address: string;
	readonly signal: AbortSignal;
	/** Told of the load that came with the response. */
	readonly noteLoad?: (load: EngineLoad) => void;
};

const okStatus = 200;
const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Takes the events of an answer. No promise for each: an entry passes thousands a second. */
export type EventSink<Event> = {
	/** Tells whether there is room for more; if not, the stream is held back. */
	readonly take: (event: Event) => boolean;
	readonly waitForRoom: () => Promise<void>;
};

/** Starts a run and reads its events; resolves once the last has been taken. */
export async function generate(call: Call, input: GenerateInput, sink: EventSink<EngineEvent>): Promise<void> {
	await readRun(call, {
		path: '/v1/generate',
		method: 'POST',
		headers: {'content-type': 'application/json', [headerNames.requestId]: input.requestId, [headerNames.organisation]: input.organisation},
		body: JSON.stringify(input),
	}, createEventTaker(input.fromOffset, sink));
}

type ResumeInput = {
	readonly requestId: string;
	readonly organisation: string;
	readonly fromOffset: number;
};

/** Reads on in a run that the engine still has, over a new connection. */
export async function resume(call: Call, {requestId, organisation, fromOffset}: ResumeInput, sink: EventSink<EngineEvent>): Promise<void> {
	await readRun(call, {
		path: `/v1/generate/${requestId}?from=${fromOffset}`,
		method: 'GET',
		headers: {[headerNames.organisation]: organisation},
		reset: true,
	}, createEventTaker(fromOffset, sink));
}

/** Ends a run that nobody waits for any more. Not awaited by callers: the engine ends it by itself before long. */
export async function cancel({agent, address}: Omit<Call, 'signal'>, requestId: string, organisation: string): Promise<void> {
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

/** Takes pieces of the stream; tells whether the last event has come. */
type EventTaker = {
	/** Tells whether there is room for more. */
	readonly takeText: (text: string) => boolean;
	readonly waitForRoom: () => Promise<void>;
	readonly isWhole: () => boolean;
};

function createEventTaker(fromOffset: number, {take, waitForRoom}: EventSink<EngineEvent>): EventTaker {
	const read = createEventReader();
	let offset = fromOffset;
	let isWhole = false;

	const takeOne = (event: EngineEvent | undefined): boolean => {
		// Late and repeated events end where an earlier one already did.
		if (event === undefined || isWhole || (event.offset <= offset && event.finishReason === undefined)) {
			return true;
		}

		offset = event.offset;
		isWhole = event.finishReason !== undefined;

		return take(event);
	};

	return {
		takeText(text) {
			let hasRoom = true;

			for (const {id, data} of read(text)) {
				hasRoom = takeOne(parseEvent(id, data));
			}

			return hasRoom;
		},
		waitForRoom,
		isWhole: () => isWhole,
	};
}

// By the dispatcher's own callbacks and not by a stream's iterator: an entry passes thousands of tokens a second.
async function readRun({agent, address, signal, noteLoad}: Call, request: RunRequest, taker: EventTaker): Promise<void> {
	const decoder = new TextDecoder();
	let isOpen = false;
	let status = 0;
	let refusal = '';
	let abort: () => void = () => undefined;

	try {
		await new Promise<void>((resolve, reject) => {
			agent.dispatch({...request, origin: `http://${address}`}, {
				onRequestStart(controller) {
					abort = () => {
						controller.abort(new AttemptError(AttemptEnd.Cancelled, 'cancelled'));
					};

					signal.addEventListener('abort', abort);

					if (signal.aborted) {
						abort();
					}
				},
				onResponseStart(_controller, statusCode, headers) {
					isOpen = true;
					status = statusCode;
					const load = parseLoad(headers[headerNames.load]);

					if (load !== undefined) {
						noteLoad?.(load);
					}
				},
				onResponseData(controller, chunk) {
					const text = decoder.decode(chunk, {stream: true});

					if (status !== okStatus) {
						refusal += text;

						return;
					}

					if (!taker.takeText(text)) {
						controller.pause();
						void resumeAfter(taker.waitForRoom(), controller);
					}
				},
				onResponseEnd() {
					resolve();
				},
				onResponseError(_controller, error) {
					reject(error);
				},
			});
		});
	} catch (error) {
		throw describeFailure(error, isOpen);
	} finally {
		signal.removeEventListener('abort', abort);
	}

	if (status !== okStatus) {
		throw describeRefusal(status, refusal);
	}

	if (!taker.isWhole()) {
		throw new AttemptError(AttemptEnd.ConnectionLost, 'the stream ended before the answer was whole');
	}
}

function parseLoad(header: string | string[] | undefined): EngineLoad | undefined {
	return typeof header === 'string' ? engineLoadSchema.safeParse(parseJson(header)).data : undefined;
}

async function resumeAfter(room: Promise<void>, controller: {readonly resume: () => void}): Promise<void> {
	await room;
	controller.resume();
}

function parseEvent(id: string | undefined, data: string): EngineEvent | undefined {
	if (id === undefined || data === '') {
		return undefined;
	}

	const offset = Number(id);
	const value = parseJson(data);

	if (!isEventData(value) || !Number.isSafeInteger(offset)) {
		throw new AttemptError(AttemptEnd.ConnectionLost, 'the engine sent what is no event');
	}

	return {offset, text: value.text ?? '', finishReason: value.finishReason};
}

type EventData = {readonly text?: string; readonly finishReason?: string};

// By hand and not by schema: this runs for each token.
function isEventData(value: unknown): value is EventData {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {text, finishReason} = value as Record<string, unknown>;

	return (text === undefined || typeof text === 'string') && (finishReason === undefined || typeof finishReason === 'string');
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function describeRefusal(status: number, text: string): AttemptError {
	return new AttemptError(AttemptEnd.Refused, `status ${status} ${readCode(text)}`, Ran.NotRun);
}

function readCode(text: string): string {
	const value = parseJson(text) as {readonly code?: unknown} | undefined;

	return typeof value?.code === 'string' ? value.code : '';
}

function describeFailure(error: unknown, isOpen: boolean): AttemptError {
	if (error instanceof AttemptError) {
		return error;
	}

	const {code = 'unknown', message, name} = error as NodeJS.ErrnoException;

	if (name === 'AbortError') {
		return new AttemptError(AttemptEnd.Cancelled, 'cancelled');
	}

	if (!isOpen && connectCodes.has(code)) {
		return new AttemptError(AttemptEnd.NotSent, code, Ran.NotRun);
	}

	if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
		return new AttemptError(AttemptEnd.Silent, message);
	}

	return new AttemptError(AttemptEnd.ConnectionLost, `${code}: ${message}`);
}
