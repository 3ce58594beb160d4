import {
	isAliveIn, listRecords, MemberStatus, RecordKind,
} from '@fescuestair/membership';
import {
	describeFate, LinkKind, RefusalCode, type FateEvent, type LinkReply,
} from '@fescuestair/protocol';
import {sendJson, type Links} from '@fescuestair/transport';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

const timeoutMs = 3000;

/** Finds the recorded events of a request at the instances that keep fates. */
export type FindFates = (requestId: string) => Promise<readonly FateEvent[]>;

/** Creates the look-up of an entry. */
export function createFindFates(services: Pick<EntryServices, 'gossip'>, links: Links): FindFates {
	return async requestId => {
		const homes = listRecords(services.gossip.getMembership(), RecordKind.Control).filter(record => record.status !== MemberStatus.Dead);
		const found = await Promise.all(homes.map(async home => {
			try {
				const reply = await links.call(home.address, {kind: LinkKind.FindFates, requestId}, timeoutMs) as LinkReply;

				return reply.kind === 'fates' ? reply.events : [];
			} catch {
				return [];
			}
		}));

		return found.flat();
	};
}

/** Serves `GET /v1/requests/{id}` to the organisation that sent the request. */
export async function handleFate(services: EntryServices, {response, organisation}: CallerRequest, requestId: string): Promise<void> {
	const events = await services.findFates(requestId);
	const fate = describeFate(events, (entryId, incarnation) => isAliveIn(services.gossip.getMembership(), entryId, incarnation));

	// Another organisation's request looks the same as one that never was.
	if (fate?.organisation !== organisation) {
		throw createRefusal(RefusalCode.NotFound, `there is no request ${requestId}`);
	}

	sendJson(response, 200, fate);
}
