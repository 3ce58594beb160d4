import {isAliveIn} from '@fescuestair/membership';
import {describeFate, RefusalCode} from '@fescuestair/protocol';
import {sendJson} from '@fescuestair/transport';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

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
