import {type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {invariant} from '@fescuestair/core';
import {
	createChunk, createCompletion, formatEventId, formatRefusal, headerNames, type Refusal,
} from '@fescuestair/protocol';
import {sendJson} from '@fescuestair/transport';
import {type PromptEvent} from './prompt-run.js';

/** Writes the HTTP response of a completion to the caller. */
export type AnswerWriter = {
	/** Returns `false` when the response buffer is full; the caller then awaits `waitForDrain`. */
	readonly write: (event: PromptEvent) => boolean;
	readonly waitForDrain: () => Promise<void>;
	/** Ends an answer whose last event has been written. */
	readonly finish: () => void;
	/** Aborts a response that has started, in a way that clients can distinguish from a complete one. */
	readonly abort: (refusal: Refusal) => void;
	/** Whether the caller has got a part of the answer. */
	readonly hasStarted: () => boolean;
	/** The last event written; `undefined` where there was none. */
	readonly getLastEvent: () => PromptEvent | undefined;
};

export type AnswerWriterOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly model: string;
	readonly isChat: boolean;
	readonly promptTokens: number;
	readonly createdSeconds: number;
	readonly includesUsage: boolean;
};

/** The reason for which an answer breaks off has to be written within this time. */
const abortTimeoutMs = 1000;

/** Creates a writer that streams server-sent events. The id of each event is a position to resume from. */
export function createStreamWriter(input: AnswerWriterOptions): AnswerWriter {
	const {
		response, requestId, model, isChat, createdSeconds, promptTokens, includesUsage,
	} = input;
	let lastEvent: PromptEvent | undefined;

	return {
		write(event) {
			const isFirst = lastEvent === undefined;

			if (isFirst) {
				response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', [headerNames.requestId]: requestId});
			}

			const id = formatEventId(event);
			const chunk = createChunk({
				requestId, model, isChat, createdSeconds, text: event.text, isFirst, finishReason: event.finishReason,
			});
			lastEvent = event;

			return response.write(`id: ${id}\ndata: ${JSON.stringify(chunk)}\n\n`);
		},
		waitForDrain: async () => waitForDrain(response),
		finish() {
			invariant(lastEvent?.finishReason !== undefined, 'an answer is finished after its last event');

			if (includesUsage) {
				const usage = createUsageChunk({
					requestId, model, createdSeconds, isChat, promptTokens, completionTokens: lastEvent.offset,
				});
				response.write(`data: ${JSON.stringify(usage)}\n\n`);
			}

			response.end('data: [DONE]\n\n');
		},
		abort(refusal) {
			if (response.writableEnded) {
				return;
			}

			// The error event gives the reason. The connection is destroyed as well, so that clients that ignore the event do not take the
			// truncated answer for a complete one.
			response.write(`event: error\ndata: ${formatRefusal(refusal, requestId)}\n\n`, () => {
				response.destroy();
			});
			// A caller that does not read gets no reason.
			setTimeout(() => {
				response.destroy();
			}, abortTimeoutMs).unref();
		},
		hasStarted: () => lastEvent !== undefined,
		getLastEvent: () => lastEvent,
	};
}

async function waitForDrain(response: ServerResponse): Promise<void> {
	await Promise.race([once(response, 'drain'), once(response, 'close')]);
}

type UsageInput = {
	readonly requestId: string;
	readonly model: string;
	readonly createdSeconds: number;
	readonly isChat: boolean;
	readonly promptTokens: number;
	readonly completionTokens: number;
};

function createUsageChunk(input: UsageInput): Record<string, unknown> {
	const {choices: _choices, ...rest} = createChunk({
		...input, text: '', isFirst: false, finishReason: undefined,
	});
	const completion = createCompletion({...input, text: '', finishReason: 'stop'});

	return {...rest, choices: [], usage: completion.usage};
}

/** Creates a writer that buffers the answer and sends it as one JSON body. */
export function createBufferedWriter(input: AnswerWriterOptions): AnswerWriter {
	const {
		response, requestId, model, isChat, createdSeconds, promptTokens,
	} = input;
	let text = '';
	let lastEvent: PromptEvent | undefined;

	return {
		write(event) {
			text += event.text;
			lastEvent = event;

			return true;
		},
		waitForDrain: async () => undefined,
		finish() {
			invariant(lastEvent?.finishReason !== undefined, 'an answer is finished after its last event');
			const completion = createCompletion({
				requestId, model, isChat, createdSeconds, text, finishReason: lastEvent.finishReason, promptTokens, completionTokens: lastEvent.offset,
			});
			sendJson(response, 200, completion, {[headerNames.requestId]: requestId});
		},
		abort() {
			response.destroy();
		},
		hasStarted: () => false,
		getLastEvent: () => lastEvent,
	};
}
