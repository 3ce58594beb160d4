import {errors, type Agent} from 'undici';
import {
	AttemptEnd, Ran, RefusalCode, headerNames,
} from '@fescuestair/protocol';
import {BaseError} from '@fescuestair/core';
import {createEventReader} from '@fescuestair/transport';

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
	constructor(readonly end: AttemptEnd, detail: string, readonly ran = Ran.Unknown, readonly refusedWith?: RefusalCode) {
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
};

type Call = {
	readonly agent: Agent;
	readonly address: string;
	readonly signal: AbortSignal;
};

const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Starts a run and reads its events. */
export async function * generate({agent, address, signal}: Call, input: GenerateInput): AsyncGenerator<EngineEvent> {
	const body = JSON.stringify(input);

	yield * readRun(async () => agent.request({
		origin: `http://${address}`,
		path: '/v1/generate',
		method: 'POST',
		headers: {'content-type': 'application/json', [headerNames.requestId]: input.requestId, [headerNames.organisation]: input.organisation},
		body,
		signal,
	}), input.fromOffset);
}

type ResumeInput = {
	readonly requestId: string;
	readonly organisation: string;
	readonly fromOffset: number;
};

/** Reads on in a run that the engine still has, over a new connection. */
export async function * resume({agent, address, signal}: Call, {requestId, organisation, fromOffset}: ResumeInput): AsyncGenerator<EngineEvent> {
	yield * readRun(async () => agent.request({
		origin: `http://${address}`,
		path: `/v1/generate/${requestId}?from=${fromOffset}`,
		method: 'GET',
		headers: {[headerNames.organisation]: organisation},
		signal,
		reset: true,
	}), fromOffset);
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

type EngineResponse = Awaited<ReturnType<Agent['request']>>;

async function * readRun(open: () => Promise<EngineResponse>, fromOffset: number): AsyncGenerator<EngineEvent> {
	let isOpen = false;

	try {
		const response = await open();
		isOpen = true;

		if (response.statusCode !== 200) {
			throw await describeRefusal(response);
		}

		yield * readEvents(response.body, fromOffset);
	} catch (error) {
		throw describeFailure(error, isOpen);
	}
}

async function * readEvents(body: AsyncIterable<Uint8Array>, fromOffset: number): AsyncGenerator<EngineEvent> {
	const decoder = new TextDecoder();
	const read = createEventReader();
	let offset = fromOffset;

	for await (const chunk of body) {
		for (const {id, data} of read(decoder.decode(chunk, {stream: true}))) {
			const event = parseEvent(id, data);

			// Late and repeated events end where an earlier one already did.
			if (event === undefined || (event.offset <= offset && event.finishReason === undefined)) {
				continue;
			}

			offset = event.offset;

			yield event;

			if (event.finishReason !== undefined) {
				return;
			}
		}
	}

	throw new AttemptError(AttemptEnd.ConnectionLost, 'the stream ended before the answer was whole');
}

function parseEvent(id: string | undefined, data: string): EngineEvent | undefined {
	if (id === undefined || data === '') {
		return undefined;
	}

	const value = JSON.parse(data) as {readonly text?: string; readonly finishReason?: string};

	return {offset: Number(id), text: value.text ?? '', finishReason: value.finishReason};
}

async function describeRefusal(response: EngineResponse): Promise<AttemptError> {
	const text = await response.body.text();
	const code = readCode(text);

	return new AttemptError(AttemptEnd.Refused, `status ${response.statusCode} ${code}`, Ran.NotRun, response.statusCode === 409 ? RefusalCode.NoUpstream : undefined);
}

function readCode(text: string): string {
	try {
		const value = JSON.parse(text) as {readonly code?: unknown};

		return typeof value.code === 'string' ? value.code : '';
	} catch {
		return '';
	}
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
