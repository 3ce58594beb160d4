import {AttemptEnd} from '@fescuestair/protocol';
import {createEventReader} from '@fescuestair/transport';
import {AttemptError} from './attempt-error.js';
import {parseJson} from './parse-json.js';

/** One piece of an engine's answer. */
export type EngineEvent = {
	/** Tokens up to and including this event. */
	readonly offset: number;
	readonly text: string;
	/** Set on the last event. */
	readonly finishReason: string | undefined;
};

/** Takes the events of an answer. No promise for each: an entry passes thousands a second. */
export type EventSink<Event> = {
	/** Tells whether there is room for more; if not, the stream is held back. */
	readonly write: (event: Event) => boolean;
	readonly waitForDrain: () => Promise<void>;
};

/** Takes pieces of the stream; tells whether the last event has come. */
export type EventStreamParser = {
	/** Tells whether there is room for more. */
	readonly parseChunk: (text: string) => boolean;
	readonly waitForDrain: () => Promise<void>;
	readonly isWhole: () => boolean;
};

/** Creates the taker of one run, from an offset on. */
export function createEventStreamParser(fromOffset: number, {write, waitForDrain}: EventSink<EngineEvent>): EventStreamParser {
	const read = createEventReader();
	let offset = fromOffset;
	let isWhole = false;

	const forwardEvent = (event: EngineEvent | undefined): boolean => {
		// Late and repeated events end where an earlier one already did.
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
