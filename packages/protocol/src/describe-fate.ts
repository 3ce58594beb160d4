import {
	FateEventKind, FateOutcome, type Fate, type FateEvent,
} from './fate.js';
import {Ran} from './refusal.js';

type EntryCheck = (entryId: string, incarnation: number) => boolean;

/**
Describes what became of a request from its recorded events, possibly recorded twice; `undefined` where there are none.

@example
```
describeFate(events, (entryId, incarnation) => isServing(entryId, incarnation))?.summary;
```
*/
export function describeFate(recorded: readonly FateEvent[], isEntryAlive: EntryCheck): Fate | undefined {
	const events = sortEvents(recorded);
	const first = events[0];

	if (first === undefined) {
		return undefined;
	}

	const begun = findEvent(events, FateEventKind.Begun);
	const finished = findEvent(events, FateEventKind.Finished);
	const base = {requestId: first.requestId, organisation: begun?.organisation, events};

	if (finished !== undefined) {
		const {outcome, ran, code, status} = finished;
		const summary = code === undefined ? `${outcome}, status ${status}` : `${outcome}: ${code}, status ${status}, ${ran}`;

		return {
			...base, outcome, ran, summary,
		};
	}

	const isAlive = begun !== undefined && isEntryAlive(begun.entryId, begun.entryIncarnation);
	const wasDispatched = findEvent(events, FateEventKind.Dispatched) !== undefined;
	const reached = wasDispatched ? 'after it was sent to an upstream' : 'before it is known to have been sent to an upstream';

	return isAlive
		? {
			...base, outcome: FateOutcome.Running, ran: Ran.Unknown, summary: 'still running',
		}
		: {
			...base, outcome: FateOutcome.EntryLost, ran: Ran.Unknown, summary: `the entry that served it was lost ${reached}`,
		};
}

function findEvent<Kind extends FateEventKind>(events: readonly FateEvent[], kind: Kind): Extract<FateEvent, {kind: Kind}> | undefined {
	return events.find((event): event is Extract<FateEvent, {kind: Kind}> => event.kind === kind);
}

// Two copies of each event may be found; equal ones are one.
function sortEvents(events: readonly FateEvent[]): FateEvent[] {
	const unique = new Map(events.map(event => [JSON.stringify(event), event]));

	return [...unique.values()].toSorted((a, b) => a.atMs - b.atMs);
}
