import {EndMark, RunFault, type StreamResult} from '@fescuestair/streams';
import {createEventStreamParser, type ServerSentEvent} from '@fescuestair/transport';
import {tryParseJson} from './parse-json.js';

/** One event of an engine's answer. */
export type EngineEvent = {
	/** Number of tokens generated up to and including this event. */
	readonly offset: number;
	readonly text: string;
	/** Set on the last event. */
	readonly finishReason: string | undefined;
};

/** Receives the events of an answer. `write` returns no promise, since an entry passes on thousands of events per second. */
export type EventSink<Event> = {
	/** Returns `false` when the buffer is full; the stream is then paused until `waitForDrain` resolves. */
	readonly write: (event: Event) => boolean;
	readonly waitForDrain: () => Promise<void>;
};

/** Parses the event stream of one run and passes on to a sink the events that go on behind those that the caller has. */
export type RunEventParser = {
	/** Returns `false` when the sink is full. */
	readonly parseChunk: (chunk: Uint8Array | string) => boolean;
	readonly waitForDrain: () => Promise<void>;
	/** What was wrong with the events; nothing is passed on after it. */
	readonly getFault: () => RunFault | undefined;
	/** Whether the last event of the answer has been passed on. */
	readonly isEnded: () => boolean;
	readonly getResult: () => StreamResult;
};

/** Reasons for which an answer ends, as in OpenAI's interface. Any other says that the run was given up. */
const finishReasons = new Set(['stop', 'length', 'content_filter', 'tool_calls']);
const decimalPattern = /^\d{1,15}$/v;

/**
Creates the parser of one run that has to go on behind an offset.

@example
```
const parser = createRunEventParser(12, {write: event => writer.write(event), waitForDrain: writer.waitForDrain});
parser.parseChunk('id: 13\ndata: {"text":"oil","finishReason":"stop"}\n\n');
parser.getResult().endMark; //=> EndMark.Seen
```
*/
export function createRunEventParser(fromOffset: number, {write, waitForDrain}: EventSink<EngineEvent>): RunEventParser {
	const read = createEventStreamParser({
		onEventTooLarge() {
			fault ??= RunFault.NotAnEvent;
		},
	});
	let offset = fromOffset;
	let hasEvents = false;
	let isEnded = false;
	let fault: RunFault | undefined;

	const forwardEvent = (block: ServerSentEvent): boolean => {
		// Heartbeats have no data; what follows the last event is not a part of the answer.
		if (block.data === '' || isEnded || fault !== undefined) {
			return true;
		}

		const event = parseEvent(block);
		fault = typeof event === 'string' ? event : findOrderFault(offset, event);

		if (typeof event === 'string' || fault !== undefined) {
			return true;
		}

		offset = event.offset;
		hasEvents = true;
		isEnded = event.finishReason !== undefined;

		return write(event);
	};

	return {
		parseChunk(chunk) {
			let canAcceptMore = true;

			for (const block of read(chunk)) {
				canAcceptMore = forwardEvent(block);
			}

			return canAcceptMore;
		},
		waitForDrain,
		getFault: () => fault,
		isEnded: () => isEnded,
		// An event that is cut off is not parsed, so it is missing rather than passed on in part.
		getResult: () => ({hasEvents, isInsideEvent: false, endMark: isEnded ? EndMark.Seen : EndMark.Missing}),
	};
}

// Only an event without text, such as one that just ends the answer, may have the offset of the one before it.
function findOrderFault(offset: number, event: EngineEvent): RunFault | undefined {
	if (event.offset < offset) {
		return RunFault.StartedOver;
	}

	return event.offset === offset && event.text !== '' ? RunFault.StoodStill : undefined;
}

function parseEvent({id, data}: ServerSentEvent): EngineEvent | RunFault {
	if (id === undefined) {
		return RunFault.NoEventIds;
	}

	const value = tryParseJson(data);

	return isEventData(value) && decimalPattern.test(id) ? {offset: Number(id), text: value.text ?? '', finishReason: value.finishReason} : RunFault.NotAnEvent;
}

type EventData = {readonly text?: string; readonly finishReason?: string};

// Checked by hand instead of with a schema, for speed: it runs for each token.
function isEventData(value: unknown): value is EventData {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {text, finishReason} = value as Record<string, unknown>;

	return (text === undefined || typeof text === 'string') && (finishReason === undefined || finishReasons.has(finishReason as string));
}
