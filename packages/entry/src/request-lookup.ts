import {isAliveInIncarnation} from '@fescuestair/membership';
import {describeRequest, RefusalCode} from '@fescuestair/protocol';
import {sendJson} from '@fescuestair/transport';
import {createRefusal, type CallerRequest, type EntryServices} from './request-context.js';

/** Handles `GET /v1/requests/{id}`: returns the history of a request to the organisation that sent it. */
export async function handleRequestLookup(services: EntryServices, {response, organisation}: CallerRequest, requestId: string): Promise<void> {
	const events = await services.findRequestEvents(requestId);
	const fate = describeRequest(events, (entryId, incarnation) => isAliveInIncarnation(services.gossip.getMembership(), entryId, incarnation));

	// A request of another organisation gets the same response as an unknown one, so that its existence is not revealed.
	if (fate?.organisation !== organisation) {
		throw createRefusal(RefusalCode.NotFound, `there is no request ${requestId}`);
	}

	sendJson(response, 200, fate);
}
