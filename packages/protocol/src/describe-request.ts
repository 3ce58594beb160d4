import {
	RequestEventKind, RequestOutcome, type RequestHistory, type RequestEvent,
} from './request-event.js';
import {ExecutionStatus} from './refusal.js';

type EntryLivenessCheck = (entryId: string, incarnation: number) => boolean;

/**
Determines the outcome of a request from its recorded events, which may contain duplicates; `undefined` if there are none.

@example
```
describeRequest(events, (entryId, incarnation) => isServing(entryId, incarnation))?.summary;
```
*/
export function describeRequest(recorded: readonly RequestEvent[], isEntryAlive: EntryLivenessCheck): RequestHistory | undefined {
	const events = sortUniqueEvents(recorded);
	const first = events[0];

	if (first === undefined) {
		return undefined;
	}

	const startEvent = findEvent(events, RequestEventKind.Started);
	const endEvent = findEvent(events, RequestEventKind.Finished);
	const base = {requestId: first.requestId, organisation: startEvent?.organisation, events};

	if (endEvent !== undefined) {
		const {outcome, ran, code, status} = endEvent;
		const summary = code === undefined ? `${outcome}, status ${status}` : `${outcome}: ${code}, status ${status}, ${ran}`;

		return {
			...base, outcome, ran, summary,
		};
	}

	const isAlive = startEvent !== undefined && isEntryAlive(startEvent.entryId, startEvent.entryIncarnation);
	const wasDispatched = findEvent(events, RequestEventKind.Dispatched) !== undefined;
	const lossDescription = wasDispatched ? 'after it was sent to an upstream' : 'before it is known to have been sent to an upstream';

	return isAlive
		? {
			...base, outcome: RequestOutcome.Running, ran: ExecutionStatus.Unknown, summary: 'still running',
		}
		: {
			...base, outcome: RequestOutcome.EntryLost, ran: ExecutionStatus.Unknown, summary: `the entry that served it was lost ${lossDescription}`,
		};
}

function findEvent<Kind extends RequestEventKind>(events: readonly RequestEvent[], kind: Kind): Extract<RequestEvent, {kind: Kind}> | undefined {
	return events.find((event): event is Extract<RequestEvent, {kind: Kind}> => event.kind === kind);
}

// Each event is stored on two replicas, so both copies may be found; identical events are merged.
function sortUniqueEvents(events: readonly RequestEvent[]): RequestEvent[] {
	const unique = new Map(events.map(event => [JSON.stringify(event), event]));

	return [...unique.values()].toSorted((a, b) => a.atMs - b.atMs);
}
