import {
	listRecords, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {callChecked, LinkKind, type FateEvent} from '@fescuestair/protocol';
import {type Links} from '@fescuestair/transport';
import {type GossipHost} from './gossip.js';

const timeoutMs = 3000;

export type FindFatesOptions = {
	readonly gossip: Pick<GossipHost, 'getMembership'>;
	readonly links: Links;
	/** This daemon, where it keeps fates itself. */
	readonly local?: {readonly name: string; readonly findEvents: FindFates};
};

/** Finds the recorded events of a request at the instances that keep fates. */
export type FindFates = (requestId: string) => Promise<readonly FateEvent[]>;

/**
Creates the look-up of a daemon. Every instance is asked: the two that hold a request's fate may be others by now, or be
gone.

@example
```
const events = await createFindFates({gossip, links})(requestId);
```
*/
export function createFindFates({gossip, links, local}: FindFatesOptions): FindFates {
	const findAt = async ({id, address}: MemberRecord, requestId: string): Promise<readonly FateEvent[]> => {
		if (id === local?.name) {
			return local.findEvents(requestId);
		}

		try {
			const reply = await callChecked(links, {address, message: {kind: LinkKind.FindFates, requestId}, timeoutMs});

			return reply.kind === 'fates' ? reply.events : [];
		} catch {
			return [];
		}
	};

	return async requestId => {
		const homes = listRecords(gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);
		const found = await Promise.all(homes.map(async home => findAt(home, requestId)));

		return found.flat();
	};
}
