import {Buffer} from 'node:buffer';
import {type AttemptHead} from './attempt.js';
import {createEventCutter} from './event-cutter.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions} from './forward-options.js';
import {sendAnswerHead} from './send-answer.js';

/** The answer to the caller while it streams; its head is that of the first instance. */
export type CallerStream = {
	/** Passes bytes on; returns false to pause until `onDrain`. */
	readonly push: (bytes: Buffer, head: AttemptHead, onDrain: () => void) => boolean;
	readonly isBegun: () => boolean;
	/** What comes is no stream of events; it would be held without end. */
	readonly isTooLong: () => boolean;
	/** The event after which another instance goes on. */
	readonly getLastId: () => string | undefined;
	/** Drops an event that was cut short. */
	readonly drop: () => void;
	/** Ends a whole answer. */
	readonly finish: () => void;
};

const lastChunk = '0\r\n\r\n';

/** Creates the answer to a caller whose route streams; nothing is sent before the first bytes. */
export function createCallerStream({isLeaving}: Pick<ForwardOptions, 'isLeaving'>, {response, route, caller}: Exchange): CallerStream {
	const cutter = route.isResumable ? createEventCutter() : undefined;
	let isBegun = false;
	let isFramedHere = false;

	const begin = (head: AttemptHead) => {
		isBegun = true;
		sendAnswerHead(response, {head, isLeaving: isLeaving()});
		// One write for each chunk: Node's own framing makes three, and an event is a few dozen bytes.
		isFramedHere = response.chunkedEncoding;
		response.chunkedEncoding = false;
	};

	const formatChunk = (bytes: Buffer) => isFramedHere ? Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]) : bytes;

	return {
		push(bytes, head, onDrain) {
			const whole = cutter === undefined ? bytes : cutter.push(bytes);

			if (whole === undefined || response.destroyed) {
				return true;
			}

			if (!isBegun) {
				begin(head);
			}

			if (response.write(formatChunk(whole))) {
				return true;
			}

			response.once('drain', onDrain);

			return false;
		},
		isBegun: () => isBegun,
		isTooLong: () => cutter?.isTooLong() ?? false,
		getLastId: () => cutter?.getLastId() ?? caller.lastEventId,
		drop() {
			cutter?.reset();
		},
		finish() {
			const rest = cutter?.takeRest();

			if (rest !== undefined) {
				response.write(formatChunk(rest));
			}

			response.end(isFramedHere ? lastChunk : undefined);
		},
	};
}
