import {Buffer} from 'node:buffer';
import {
	BodyFraming, EndMark, findContinuationObstacle, RunFault, type BegunAnswer, type ContinuationObstacle, type StreamOrigin, type StreamResult,
} from '@fescuestair/streams';
import {maxDelimiterBytes} from '@fescuestair/transport';
import {type ResponseHead} from './attempt.js';
import {
	createEventStreamSplitter, hasEvent, isEventEnd, type EventStreamSplitter, type RunIds,
} from './event-stream-splitter.js';
import {type Exchange} from './exchange.js';
import {type ForwardOptions} from './forward-options.js';
import {sendResponseHead} from './send-response.js';

/** A streamed response to the caller. Its status and headers are those of the first instance that sent data. */
export type CallerStream = {
	readonly hasStarted: () => boolean;
	/** What the caller has got; `undefined` before the stream has started. */
	readonly getBegun: () => BegunAnswer | undefined;
	/**
	Starts the run of an instance, also beside others. The run continues the stream after the event with the id; `undefined` where it begins the stream.
	*/
	readonly startRun: (resumeAfter: string | undefined, options: StreamRunOptions) => StreamRun;
	/** Id of the event after which another instance continues the stream; `undefined` where the request is run from its beginning. */
	readonly getLastEventId: () => string | undefined;
	/** Finds out why a run may not continue the stream; `undefined` where it may, or where nothing has begun it, without a look at the run. */
	readonly findObstacle: (getSuccessor: () => StreamOrigin) => ContinuationObstacle | undefined;
	/** Whether another run can follow: no event was sent to the caller, or it is known where the run has to continue. */
	readonly canContinue: () => boolean;
};

export type CallerStreamOptions = Pick<ForwardOptions, 'isLeaving'> & {
	/** The stream that the caller takes up again. */
	readonly takenUp?: {readonly origin: StreamOrigin | undefined};
	/** Called with what begins a stream of this request, and again once that is no longer certain. */
	readonly onBegin?: (origin: StreamOrigin) => void;
};

export type StreamRunOptions = {
	/** Tells what writes the events of the run, as far as it is known by now. */
	readonly getOrigin: () => StreamOrigin;
	/** Whether another run is under way. */
	readonly isBeside?: boolean;
	/** Called when the run begins the stream. */
	readonly onBegin?: () => void;
	/** Called when an event of the run is forwarded, so that no other run may continue the stream from where it was. */
	readonly onForward?: () => void;
};

/**
What the run of one instance contributes to a stream. Of runs beside each other, the first one that sends a complete event continues the stream; nothing
of the others is forwarded from then on.
*/
export type StreamRun = {
	/** Forwards bytes to the caller; returns false to pause until `onDrain` is called. */
	readonly write: (bytes: Buffer, head: ResponseHead, onDrain: () => void) => boolean;
	/** Whether other runs have begun the stream and this one has not contributed to it, so that its software has to be known. */
	readonly isContinuation: () => boolean;
	/** Whether another run has continued the stream since this one started, or since it last did itself. */
	readonly isSuperseded: () => boolean;
	/** What the caller has got, where this run is the last one; `undefined` before the stream has started. */
	readonly getBegun: () => BegunAnswer | undefined;
	/** Why the run cannot be part of the stream; nothing of it is forwarded from then on. */
	readonly getEventFault: () => RunFault | undefined;
	/** How the bytes that the run has sent so far end. */
	readonly getResult: () => StreamResult;
	/** Ids of the first and the last event that the run sent; unknown where the stream cannot be resumed. */
	readonly getIds: () => RunIds;
	/** Whether the incomplete event exceeds the size limit: the data is not an event stream, and would be buffered without bound. */
	readonly isEventTooLarge: () => boolean;
	/** Memory that is in use for what has not been forwarded, in bytes. */
	readonly countMemoryBytes: () => number;
	/** Checks once more, at the end of the run, what wrote its events: its instance may have been announced anew meanwhile. */
	readonly checkOrigin: () => void;
	/** Ends a complete response; first sends the blank lines after the last event, if any. */
	readonly finish: () => void;
};

const lastChunk = '0\r\n\r\n';

/** Creates the streamed response to a caller. Nothing is sent, not even the headers, before the first bytes of the body. */
export function createCallerStream({isLeaving, takenUp, onBegin = () => undefined}: CallerStreamOptions, {response, route, caller}: Exchange): CallerStream {
	let begunBy = takenUp;
	/** Splits the events of the run that the caller got the latest event of, or of the first run. */
	let latestSplitter: EventStreamSplitter | undefined;
	/** The last bytes that were forwarded as they came, enough to recognise the end of an event. */
	let lastBytes: Buffer = Buffer.alloc(0);
	let begunHead: ResponseHead | undefined;
	let isChunked = false;
	let announcedBytes: number | undefined;
	let sentBytes = 0;
	let forwardedCount = 0;
	let startedCount = 0;
	let hasExceededLength = false;

	// A caller that was told a length takes the answer for complete with its last byte, before the last run has proved it.
	const hasLength = !route.isResumable;
	// Runs have to tell their end as firmly as the first one would have; the caller gets chunks either way.
	const getPromisedFraming = (head: ResponseHead) => head.framing === BodyFraming.Length && !hasLength ? BodyFraming.Chunks : head.framing;

	const start = (head: ResponseHead) => {
		begunHead = head;
		sendResponseHead(response, {head, isLeaving: isLeaving(), hasLength});
		isChunked = response.chunkedEncoding;
		announcedBytes = head.framing === BodyFraming.Length ? Number(head.headers['content-length']) : undefined;
		// Frames chunks here, with one write per chunk: Node's chunked encoding makes three, and an event is only a few dozen bytes.
		response.chunkedEncoding = false;
	};

	const formatChunk = (bytes: Buffer) => isChunked ? Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]) : bytes;

	const send = (bytes: Buffer) => {
		sentBytes += bytes.length;

		return response.write(formatChunk(bytes));
	};

	const describeBegun = (splitter: EventStreamSplitter | undefined): BegunAnswer | undefined => begunHead && {
		status: begunHead.status, framing: getPromisedFraming(begunHead), missingBytes: announcedBytes === undefined ? undefined : announcedBytes - sentBytes - (splitter?.countPartialBytes() ?? 0),
	};

	// Comments alone do not move the position in a stream.
	const hasEvents = () => begunHead !== undefined && latestSplitter?.hasEvents() !== false;

	const findHeadFault = (head: ResponseHead): RunFault | undefined => {
		if (begunHead === undefined || begunHead === head) {
			return undefined;
		}

		if (head.status !== begunHead.status) {
			return RunFault.Status;
		}

		return getFormat(head) === getFormat(begunHead) ? undefined : RunFault.Format;
	};

	const findObstacle = (getSuccessor: () => StreamOrigin) => begunBy === undefined ? undefined : findContinuationObstacle(begunBy.origin, getSuccessor());

	const startRun = (resumeAfter: string | undefined, {getOrigin, isBeside = false, onBegin: onOwnBegin = () => undefined, onForward = () => undefined}: StreamRunOptions): StreamRun => {
		startedCount++;
		const splitter = route.isResumable ? latestSplitter?.fork(resumeAfter, {holdsComments: isBeside}) ?? createEventStreamSplitter() : undefined;
		let headFault: RunFault | undefined;
		let originFault: RunFault | undefined;
		/** What was known of the run's software when its first bytes were forwarded. */
		let joinedAs: StreamOrigin | undefined;
		let isLengthExceeded = false;
		let seenCount = forwardedCount;

		if (latestSplitter === undefined) {
			splitter?.startRun(resumeAfter);
			latestSplitter = splitter;
		}

		const isSuperseded = () => seenCount !== forwardedCount;

		// Asked at the last moment: since the instance was chosen, another run may have begun the stream, or other software may run there.
		const joinStream = () => {
			const origin = getOrigin();

			if (findObstacle(() => origin) !== undefined) {
				originFault = RunFault.SoftwareVersion;

				return;
			}

			joinedAs = origin;

			if (begunBy === undefined) {
				begunBy = {origin};
				onBegin(origin);
				onOwnBegin();
			}
		};

		return {
			write(bytes, head, onDrain) {
				headFault ??= findHeadFault(head);

				if (headFault !== undefined || originFault !== undefined || isLengthExceeded || isSuperseded()) {
					return true;
				}

				if (splitter === undefined) {
					lastBytes = Buffer.concat([lastBytes, bytes.subarray(-maxDelimiterBytes)]).subarray(-maxDelimiterBytes);
				}

				const completeBytes = splitter === undefined ? bytes : splitter.push(bytes);

				if (completeBytes === undefined || response.destroyed || response.writableEnded) {
					return true;
				}

				if (joinedAs === undefined) {
					joinStream();
				}

				if (originFault !== undefined) {
					return true;
				}

				if (begunHead === undefined) {
					start(head);
				}

				if (announcedBytes !== undefined && sentBytes + completeBytes.length > announcedBytes) {
					isLengthExceeded = true;
					hasExceededLength = true;

					return true;
				}

				// Comments do not move the position in a stream.
				if (startedCount === 1 || hasEvent(completeBytes)) {
					latestSplitter = splitter;
					forwardedCount++;
					seenCount = forwardedCount;
					onForward();
				}

				if (send(completeBytes)) {
					return true;
				}

				response.once('drain', onDrain);

				return false;
			},
			isContinuation: () => begunBy !== undefined && joinedAs === undefined && !isSuperseded(),
			isSuperseded,
			getBegun: () => describeBegun(splitter),
			getEventFault: () => isLengthExceeded ? RunFault.OtherLength : headFault ?? originFault ?? splitter?.getEventFault(),
			getResult: () => ({
				hasEvents: splitter === undefined ? lastBytes.length > 0 : splitter.hasRunEvents(),
				isInsideEvent: splitter === undefined ? lastBytes.length > 0 && !isEventEnd(lastBytes) : splitter.isInsideEvent(),
				endMark: EndMark.None,
			}),
			getIds: () => splitter?.getRunIds() ?? {first: undefined, last: undefined},
			isEventTooLarge: () => splitter?.isEventTooLarge() ?? false,
			countMemoryBytes: () => splitter?.countMemoryBytes() ?? 0,
			checkOrigin() {
				const origin = getOrigin();

				if (joinedAs !== undefined && joinedAs.softwareVersion !== origin.softwareVersion) {
					begunBy = {origin};
					onBegin(origin);
				}
			},
			finish() {
				const partialEvent = splitter?.takePartialEvent();

				if (partialEvent !== undefined) {
					send(partialEvent);
				}

				response.end(isChunked ? lastChunk : undefined);
			},
		};
	};

	return {
		hasStarted: () => begunHead !== undefined,
		getBegun: () => describeBegun(latestSplitter),
		startRun,
		findObstacle,
		getLastEventId: () => hasEvents() ? latestSplitter?.getLastEventId() : caller.lastEventId,
		canContinue: () => !hasEvents() || (!hasExceededLength && latestSplitter?.getLastEventId() !== undefined),
	};
}

/** Describes the representation of a body: events of one can only be joined to events of the same. */
function getFormat({headers}: ResponseHead): string {
	const mediaType = headers['content-type']?.split(';')[0]!.trim().toLowerCase() ?? '';

	return `${mediaType} ${headers['content-encoding'] ?? ''}`;
}
