import {rankByRendezvous} from '@fescuestair/core';
import {listRecords, MemberStatus, RecordKind} from '@fescuestair/membership';
import {
	RequestEventKind, LinkMessageKind, type RequestEvent, type LinkMessage,
} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';
import {type Links} from '@fescuestair/transport';

/** Sends request events to the control replicas that store them. */
export type RequestEventRecorder = {
	readonly record: (event: RequestEvent) => void;
};

const copiesPerEvent = 2;
const maxBufferedEvents = 20_000;

/**
Creates the recorder. Events are buffered and sent within the same turn of the event loop, one message per replica. A dispatch flushes the buffer
at once, before the call to the upstream is sent: if the process is killed, the operating system already has the events.

@example
```
recorder.record({kind: RequestEventKind.Started, requestId, atMs, organisation, ...});
```
*/
export function createRequestEventRecorder({gossip, links}: {gossip: GossipHost; links: Links}): RequestEventRecorder {
	let bufferedEvents: RequestEvent[] = [];
	let isFlushScheduled = false;

	const flush = () => {
		isFlushScheduled = false;
		const replicas = listRecords(gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);

		if (replicas.length === 0) {
			// Keeps the newest events until a replica is known.
			bufferedEvents = bufferedEvents.slice(-maxBufferedEvents);

			return;
		}

		const addresses = new Map(replicas.map(replica => [replica.id, replica.address]));
		const batchesByReplica = new Map<string, RequestEvent[]>();

		for (const event of bufferedEvents) {
			for (const replicaId of rankByRendezvous(event.requestId, [...addresses.keys()]).slice(0, copiesPerEvent)) {
				const replicaBatch = batchesByReplica.get(replicaId) ?? [];
				replicaBatch.push(event);
				batchesByReplica.set(replicaId, replicaBatch);
			}
		}

		bufferedEvents = [];

		for (const [replicaId, events] of batchesByReplica) {
			links.send(addresses.get(replicaId)!, {kind: LinkMessageKind.RecordRequestEvents, events} satisfies LinkMessage);
		}
	};

	return {
		record(event) {
			bufferedEvents.push(event);

			if (event.kind === RequestEventKind.Dispatched) {
				flush();
			} else if (!isFlushScheduled) {
				isFlushScheduled = true;
				setImmediate(flush);
			}
		},
	};
}
