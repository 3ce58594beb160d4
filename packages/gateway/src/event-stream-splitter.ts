import {Buffer} from 'node:buffer';
import {
	EventOrder, RunFault, compareEventIds, isOrderedEventId,
} from '@fescuestair/streams';
import {createByteCollector, createEventCollector, eventDelimiters} from '@fescuestair/transport';

/**
Splits a server-sent event stream at event boundaries, so that another instance can continue it after the last complete event. Checks that a run which
continues a stream goes on behind the events before it.
*/
export type EventStreamSplitter = {
	/** Adds bytes; returns those up to the end of the last complete event, or `undefined` where no event is complete or one does not continue the stream. */
	readonly push: (bytes: Buffer) => Buffer | undefined;
	/** Whether what waits for the end of an event exceeds the size limit, in which case the data is not an event stream. */
	readonly isEventTooLarge: () => boolean;
	/**
	Starts a run, and discards an incomplete event of the one before. It continues the stream after the event with the id; `undefined` where it begins
	the stream. Ids without an order are not compared.
	*/
	readonly startRun: (resumeAfter: string | undefined) => void;
	/**
	Creates the splitter of another run, which may go on beside this one. Only one of the two may return events: it continues the stream from there. Comments
	are held back until the first event of the run if that is asked for, as they are in each run that continues a stream.
	*/
	readonly fork: (resumeAfter: string | undefined, options?: {readonly holdsComments?: boolean}) => EventStreamSplitter;
	/** Why the events of the current run do not continue the stream; none of them is returned from then on. */
	readonly getEventFault: () => RunFault | undefined;
	/** Whether the current run sent an event; in the run that begins the stream a comment counts as well. */
	readonly hasRunEvents: () => boolean;
	/** Whether any run sent an event. */
	readonly hasEvents: () => boolean;
	/** Ids of the first and the last complete event of the current run that have one. */
	readonly getRunIds: () => RunIds;
	/** Id after which another run can continue; `undefined` where no event has one with an order, or events without one followed. */
	readonly getLastEventId: () => string | undefined;
	/** Whether bytes of an event that is not complete were received. */
	readonly isInsideEvent: () => boolean;
	readonly countPartialBytes: () => number;
	/** Memory that is in use for what has not been returned yet, in bytes. */
	readonly countMemoryBytes: () => number;
	/** Returns and removes the bytes after the last complete event, as when the stream ends there. */
	readonly takePartialEvent: () => Buffer | undefined;
};

/** Ids of the events of one run; both are `undefined` where no event has one. */
export type RunIds = {readonly first: string | undefined; readonly last: string | undefined};

const idField = 'id:';
const dataField = 'data';
/** Events hold a few tokens each. An incomplete event beyond this size is rejected before it exhausts the memory. */
const maxEventBytes = 1_000_000;

/**
Creates a splitter without buffered data.

@example
```
const splitter = createEventStreamSplitter();
splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); //=> the first event
splitter.getLastEventId(); //=> '1'
```
*/
export function createEventStreamSplitter(): EventStreamSplitter {
	return createSplitter({
		lastEventsWithId: undefined, hasDataAfterLastId: false, hasEvents: false, hasReturnedBytes: false,
	});
}

/** What the runs before have sent. */
type StreamPosition = {
	readonly lastEventsWithId: Buffer | undefined;
	readonly hasDataAfterLastId: boolean;
	readonly hasEvents: boolean;
	readonly hasReturnedBytes: boolean;
};

function createSplitter(position: StreamPosition): EventStreamSplitter {
	const collector = createEventCollector();
	/** The latest bytes that contain an event id. Ids are parsed only on demand, when a stream is resumed. */
	let {lastEventsWithId, hasDataAfterLastId, hasEvents, hasReturnedBytes} = position;
	let isLaterRun = hasReturnedBytes;
	/** The first bytes of the current run that contain an event id. */
	let firstEventsOfRun: Buffer | undefined;
	/** Comments of a later run that has not sent an event yet. */
	const pendingComments = createByteCollector();
	let hasRunEvents = false;
	/** Id of the event that the next one of a continuing run has to follow; `undefined` in the run that begins the stream. */
	let previousId: string | undefined;
	let eventFault: RunFault | undefined;

	// Returns whether the events continue the stream.
	const checkEvents = (events: Buffer): boolean => {
		for (const {id, hasData} of parseEvents(events)) {
			if (id === undefined) {
				eventFault = hasData && !hasRunEvents ? RunFault.NoEventIds : undefined;
			} else {
				eventFault = findOrderFault(previousId!, id);
				previousId = id;
			}

			if (eventFault !== undefined) {
				return false;
			}

			hasRunEvents ||= hasData || id !== undefined;
		}

		return true;
	};

	return {
		push(bytes) {
			if (eventFault !== undefined) {
				return undefined;
			}

			const completeEvents = collector.push(bytes);

			if (completeEvents === undefined) {
				return undefined;
			}

			if (previousId !== undefined && !checkEvents(completeEvents)) {
				return undefined;
			}

			// Comments of a later run are not sent before its first event: without one, the run is no part of the stream.
			if (isLaterRun && !hasRunEvents && !hasEvent(completeEvents)) {
				pendingComments.push(completeEvents);

				return undefined;
			}

			hasRunEvents = true;
			hasEvents ||= hasEvent(completeEvents);

			if (hasId(completeEvents)) {
				lastEventsWithId = completeEvents;
				hasDataAfterLastId = false;
				firstEventsOfRun ??= completeEvents;
			} else {
				hasDataAfterLastId ||= parseEvents(completeEvents).some(({hasData}) => hasData);
			}

			hasReturnedBytes = true;

			return pendingComments.countBytes() === 0 ? completeEvents : Buffer.concat([pendingComments.take(), completeEvents]);
		},
		isEventTooLarge: () => collector.countBytes() + pendingComments.countBytes() > maxEventBytes,
		startRun(resumeAfter) {
			previousId = resumeAfter !== undefined && isOrderedEventId(resumeAfter) ? resumeAfter : undefined;
			isLaterRun = hasReturnedBytes;
			firstEventsOfRun = undefined;
			hasRunEvents = false;
			eventFault = undefined;
			collector.takePartial();
			pendingComments.take();
		},
		fork(resumeAfter, {holdsComments = false} = {}) {
			const splitter = createSplitter({
				lastEventsWithId, hasDataAfterLastId, hasEvents, hasReturnedBytes: hasReturnedBytes || holdsComments,
			});
			splitter.startRun(resumeAfter);

			return splitter;
		},
		getEventFault: () => eventFault,
		hasRunEvents: () => hasRunEvents,
		hasEvents: () => hasEvents,
		getRunIds: () => firstEventsOfRun === undefined
			? {first: undefined, last: undefined}
			: {first: listIds(firstEventsOfRun).at(0), last: listIds(lastEventsWithId!).at(-1)},
		getLastEventId() {
			if (lastEventsWithId === undefined || hasDataAfterLastId) {
				return undefined;
			}

			const events = parseEvents(lastEventsWithId);
			const index = events.findLastIndex(({id}) => id !== undefined);
			const id = events[index]?.id;
			const hasDataAfterId = events.slice(index + 1).some(({hasData}) => hasData);

			return id !== undefined && isOrderedEventId(id) && !hasDataAfterId ? id : undefined;
		},
		isInsideEvent: () => !collector.isBlank(),
		countPartialBytes: collector.countBytes,
		countMemoryBytes: () => collector.countMemoryBytes() + pendingComments.countMemoryBytes(),
		takePartialEvent: () => collector.countBytes() === 0 ? undefined : collector.takePartial(),
	};
}

/** Whether bytes of a stream end with the end of an event. */
export function isEventEnd(bytes: Buffer): boolean {
	const text = bytes.toString('latin1');

	return eventDelimiters.some(delimiter => text.endsWith(delimiter));
}

function hasId(events: Buffer): boolean {
	return events.includes(`\n${idField}`, 0, 'latin1') || events.subarray(0, idField.length).toString('latin1') === idField;
}

/** Whether complete events are among the bytes; comments are none. */
export function hasEvent(bytes: Buffer): boolean {
	return parseEvents(bytes).some(({id, hasData}) => hasData || id !== undefined);
}

function listIds(events: Buffer): readonly string[] {
	return parseEvents(events).flatMap(({id}) => id ?? []);
}

/** An event, without its data. A comment is an event without id and data. */
type EventOutline = {readonly id: string | undefined; readonly hasData: boolean};

function parseEvents(bytes: Buffer): readonly EventOutline[] {
	return bytes.toString('latin1').replaceAll('\r\n', '\n').split('\n\n').filter(text => text !== '').map(text => {
		const lines = text.split('\n');
		const id = lines.findLast(line => line.startsWith(idField))?.slice(idField.length).trim();

		return {
			id: id === '' ? undefined : id,
			hasData: lines.some(line => line.startsWith(dataField)),
		};
	});
}

function findOrderFault(previousId: string, id: string): RunFault | undefined {
	switch (compareEventIds(previousId, id)) {
		case EventOrder.Before: {
			return RunFault.StartedOver;
		}

		case EventOrder.Same: {
			return RunFault.StoodStill;
		}

		case EventOrder.Unknown: {
			return RunFault.NoEventIds;
		}

		case EventOrder.After: {
			return undefined;
		}
	}
}
