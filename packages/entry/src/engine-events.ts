import {AttemptOutcome} from '@fescuestair/protocol';
import {createEventStreamParser} from '@fescuestair/transport';
import {AttemptError} from './attempt-error.js';
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

/** Parses the event stream of one run, passes its events to a sink and detects a truncated stream. */
export type RunEventParser = {
	/** Returns `false` when the sink is full. */
	readonly parseChunk: (text: string) => boolean;
	readonly waitForDrain: () => Promise<void>;
	/** Whether the last event has been received. */
	readonly isWhole: () => boolean;
};

/** Creates the parser of one run; events up to the offset are dropped. */
export function createRunEventParser(fromOffset: number, {write, waitForDrain}: EventSink<EngineEvent>): RunEventParser {
	const read = createEventStreamParser();
	let offset = fromOffset;
	let isWhole = false;

	const forwardEvent = (event: EngineEvent | undefined): boolean => {
		// Events whose offset is not past the last one are late or repeated and are dropped, except the one that ends the answer.
		if (event === undefined || isWhole || (event.offset <= offset && event.finishReason === undefined)) {
			return true;
		}

		offset = event.offset;
		isWhole = event.finishReason !== undefined;

		return write(event);
	};

	return {
		parseChunk(text) {
			let canAcceptMore = true;

			for (const {id, data} of read(text)) {
				canAcceptMore = forwardEvent(parseEvent(id, data));
			}

			return canAcceptMore;
		},
		waitForDrain,
		isWhole: () => isWhole,
	};
}

function parseEvent(id: string | undefined, data: string): EngineEvent | undefined {
	if (id === undefined || data === '') {
		return undefined;
	}

	const offset = Number(id);
	const value = tryParseJson(data);

	if (!isEventData(value) || !Number.isSafeInteger(offset)) {
		throw new AttemptError(AttemptOutcome.ConnectionLost, 'the engine sent what is no event');
	}

	return {offset, text: value.text ?? '', finishReason: value.finishReason};
}

type EventData = {readonly text?: string; readonly finishReason?: string};

// Checked by hand instead of with a schema, for speed: it runs for each token.
function isEventData(value: unknown): value is EventData {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {text, finishReason} = value as Record<string, unknown>;

	return (text === undefined || typeof text === 'string') && (finishReason === undefined || typeof finishReason === 'string');
}
