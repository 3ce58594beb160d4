import {rankByRendezvous} from '@fescuestair/core';
import {listRecords, MemberStatus, RecordKind} from '@fescuestair/membership';
import {
	FateEventKind, LinkKind, type FateEvent, type LinkMessage,
} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';

/** Sends fate events to the instances that keep them. */
export type FateRecorder = {
	readonly record: (event: FateEvent) => void;
};

const copies = 2;
const maxHeld = 20_000;

/**
Creates the recorder. Events leave in the turn of the event loop in which they arise, one message for each home, and all
that stand before a dispatch leave ahead of it: a process that is killed has already handed them to the operating system.

@example
```
recorder.record({kind: FateEventKind.Begun, requestId, atMs, organisation, ...});
```
*/
export function createFateRecorder({gossip, links}: {gossip: GossipHost; links: Links}): FateRecorder {
	let held: FateEvent[] = [];
	let isScheduled = false;

	const flush = () => {
		isScheduled = false;
		const homes = listRecords(gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);

		if (homes.length === 0) {
			// Kept until a home is known again, within bounds.
			held = held.slice(-maxHeld);

			return;
		}

		const addresses = new Map(homes.map(home => [home.id, home.address]));
		const batches = new Map<string, FateEvent[]>();

		for (const event of held) {
			for (const home of rankByRendezvous(event.requestId, [...addresses.keys()]).slice(0, copies)) {
				const batch = batches.get(home) ?? [];
				batch.push(event);
				batches.set(home, batch);
			}
		}

		held = [];

		for (const [home, events] of batches) {
			links.send(addresses.get(home)!, {kind: LinkKind.RecordFates, events} satisfies LinkMessage);
		}
	};

	return {
		record(event) {
			held.push(event);

			if (event.kind === FateEventKind.Dispatched) {
				flush();
			} else if (!isScheduled) {
				isScheduled = true;
				setImmediate(flush);
			}
		},
	};
}
