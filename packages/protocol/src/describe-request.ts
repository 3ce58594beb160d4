import {
	FateEventKind, FateOutcome, type Fate, type FateEvent,
} from './request-event.js';
import {Ran} from './refusal.js';

type EntryLivenessCheck = (entryId: string, incarnation: number) => boolean;

/**
Determines the outcome of a request from its recorded events, which may contain duplicates; `undefined` if there are none.

@example
```
describeFate(events, (entryId, incarnation) => isServing(entryId, incarnation))?.summary;
```
*/
export function describeFate(recorded: readonly FateEvent[], isEntryAlive: EntryLivenessCheck): Fate | undefined {
	const events = sortUniqueEvents(recorded);
	const first = events[0];

	if (first === undefined) {
		return undefined;
	}

	const startEvent = findEvent(events, FateEventKind.Begun);
	const endEvent = findEvent(events, FateEventKind.Finished);
	const base = {requestId: first.requestId, organisation: startEvent?.organisation, events};

	if (endEvent !== undefined) {
		const {outcome, ran, code, status} = endEvent;
		const summary = code === undefined ? `${outcome}, status ${status}` : `${outcome}: ${code}, status ${status}, ${ran}`;

		return {
			...base, outcome, ran, summary,
		};
	}

	const isAlive = startEvent !== undefined && isEntryAlive(startEvent.entryId, startEvent.entryIncarnation);
	const wasDispatched = findEvent(events, FateEventKind.Dispatched) !== undefined;
	const lossDescription = wasDispatched ? 'after it was sent to an upstream' : 'before it is known to have been sent to an upstream';

	return isAlive
		? {
			...base, outcome: FateOutcome.Running, ran: Ran.Unknown, summary: 'still running',
		}
		: {
			...base, outcome: FateOutcome.EntryLost, ran: Ran.Unknown, summary: `the entry that served it was lost ${lossDescription}`,
		};
}

function findEvent<Kind extends FateEventKind>(events: readonly FateEvent[], kind: Kind): Extract<FateEvent, {kind: Kind}> | undefined {
	return events.find((event): event is Extract<FateEvent, {kind: Kind}> => event.kind === kind);
}

// Each event may be found in two copies; identical ones are merged.
function sortUniqueEvents(events: readonly FateEvent[]): FateEvent[] {
	const unique = new Map(events.map(event => [JSON.stringify(event), event]));

	return [...unique.values()].toSorted((a, b) => a.atMs - b.atMs);
}
