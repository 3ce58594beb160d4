import {
	listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {callAndValidate, LinkMessageKind, type RequestEvent} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';
import {type GossipHost} from './gossip.js';

const callTimeoutMs = 3000;

export type FindRequestEventsOptions = {
	readonly gossip: Pick<GossipHost, 'getMembership'>;
	readonly links: Links;
	/** Name and store of this daemon, if it stores request events itself. */
	readonly local?: {readonly name: string; readonly findEvents: FindRequestEvents};
};

/** Finds the recorded events of a request in the stores of the control replicas. */
export type FindRequestEvents = (requestId: string) => Promise<readonly RequestEvent[]>;

/**
Creates the lookup of request events. It queries every control replica that is not dead: the two that recorded an event ranked first for the request
among the replicas known at that time; since then, others may have joined and these may have left. Replicas that fail to answer are skipped.

@example
```
const events = await createFindRequestEvents({gossip, links})(requestId);
```
*/
export function createFindRequestEvents({gossip, links, local}: FindRequestEventsOptions): FindRequestEvents {
	const findAtMember = async ({id, address}: MemberRecord, requestId: string): Promise<readonly RequestEvent[]> => {
		if (id === local?.name) {
			return local.findEvents(requestId);
		}

		try {
			const reply = await callAndValidate(links, {address, message: {kind: LinkMessageKind.FindRequestEvents, requestId}, timeoutMs: callTimeoutMs});

			return reply.kind === 'fates' ? reply.events : [];
		} catch {
			return [];
		}
	};

	return async requestId => {
		const controlMembers = listRecords(gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);
		const eventsByMember = await Promise.all(controlMembers.map(async member => findAtMember(member, requestId)));

		return eventsByMember.flat();
	};
}
