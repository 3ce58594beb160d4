import {BaseError} from '@fescuestair/core';

/** Identifies one event of a streamed response, so that any entry can resume the stream after it. */
export type EventId = {
	readonly requestId: string;
	readonly upstreamId: string;
	readonly attempt: number;
	/** Number of tokens up to and including this event. */
	readonly offset: number;
};

export class EventIdError extends BaseError {
	constructor() {
		super('event_id', 'Last-Event-ID is not one that this system gave out');
	}
}

/**
Formats the id of a server-sent event.

@example
```
formatEventId({requestId: 'r-1', upstreamId: 'engine-1', attempt: 1, offset: 12}); //=> 'r-1:engine-1:1:12'
```
*/
export function formatEventId({requestId, upstreamId, attempt, offset}: EventId): string {
	return `${requestId}:${upstreamId}:${attempt}:${offset}`;
}

/** Parses an id that `formatEventId` created; throws an `EventIdError` for anything else. */
export function parseEventId(text: string): EventId {
	const match = /^(?<requestId>[\w\-]{1,80}):(?<upstreamId>[\w.\-]{1,80}):(?<attempt>\d{1,4}):(?<offset>\d{1,9})$/v.exec(text);

	if (match?.groups === undefined) {
		throw new EventIdError();
	}

	const {requestId, upstreamId, attempt, offset} = match.groups;

	return {
		requestId: requestId!, upstreamId: upstreamId!, attempt: Number(attempt), offset: Number(offset),
	};
}
