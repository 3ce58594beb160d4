import {type IncomingHttpHeaders} from 'node:http';
import {parseSecondsToMs, type Clock} from '@fescuestair/core';
import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {headerNames} from '@fescuestair/protocol';
import {
	applyInstanceEvent, canSendTo, classifyInstance, createInstanceState, isValidBackoff, InstanceEventKind, type InstanceState,
} from '@fescuestair/routing';
import {type GossipHost, type Logger} from '@fescuestair/runtime';

/** What upstreams report about themselves in response headers: that they are leaving, or a back-off during which this entry sends nothing to them. */
export type UpstreamStates = {
	/** Evaluates the head of a response; `record` is that of the upstream at the time when the request was sent. */
	readonly recordResponse: (record: MemberRecord, status: number, headers: IncomingHttpHeaders) => void;
	/** Whether requests may be sent to an upstream now. */
	readonly isAvailable: (record: MemberRecord) => boolean;
};

const serviceUnavailableStatus = 503;
const leavingHeaderValue = '1';

/**
Creates the upstream states of an entry. If a response reports that the upstream is leaving, this is published, so that all entries stop sending to
it.

@example
```
const standings = createUpstreamStates({clock, gossip, log});
standings.recordResponse(record, 503, {'retry-after': '2.5'});
standings.isAvailable(record); //=> false
```
*/
export function createUpstreamStates({clock, gossip, log}: {
	readonly clock: Clock; readonly gossip: Pick<GossipHost, 'getMembership' | 'publish'>; readonly log: Pick<Logger, 'info'>;
}): UpstreamStates {
	const states = new Map<string, InstanceState>();

	// Whether an upstream is alive is decided by the membership, so its announcement never expires here.
	const getInstanceState = ({id, incarnation}: MemberRecord): InstanceState => {
		const knownState = states.get(id);

		if (knownState?.incarnation === incarnation) {
			return knownState;
		}

		const newState = createInstanceState({
			incarnation, isLeaving: false, heardAtMs: Number.POSITIVE_INFINITY, loadingDeadlineMs: 0, coldDeadlineMs: 0,
		});
		states.set(id, newState);

		return newState;
	};

	const publishLeaving = ({id, incarnation}: MemberRecord) => {
		const publishedRecord = gossip.getMembership().held.get(id)?.record;

		if (publishedRecord?.incarnation === incarnation && publishedRecord.status === MemberStatus.Alive) {
			log.info('upstream says in an answer that it is leaving', {id, incarnation});
			gossip.publish({...publishedRecord, status: MemberStatus.Leaving, version: publishedRecord.version + 1});
		}
	};

	return {
		recordResponse(record, status, headers) {
			// A late response of an earlier incarnation says nothing about the current one, and must not replace the state of the current one.
			if ((states.get(record.id)?.incarnation ?? record.incarnation) > record.incarnation) {
				return;
			}

			const askedRest = status === serviceUnavailableStatus ? headers[headerNames.retryAfter] : undefined;

			if (headers[headerNames.leaving] === leavingHeaderValue) {
				states.set(record.id, applyInstanceEvent(getInstanceState(record), {kind: InstanceEventKind.LeavingReported, incarnation: record.incarnation}, clock.readMonotonicMs()));
				publishLeaving(record);
			}

			if (askedRest !== undefined) {
				const askedRestMs = parseSecondsToMs(askedRest);
				log.info(isValidBackoff(askedRestMs) ? 'upstream requested a rest (Retry-After)' : 'upstream requested a rest of invalid length, which is ignored', {id: record.id, askedRest});
				states.set(record.id, applyInstanceEvent(getInstanceState(record), {kind: InstanceEventKind.RequestRejected, askedRestMs}, clock.readMonotonicMs()));
			}
		},
		isAvailable: record => canSendTo(classifyInstance(getInstanceState(record), {own: 0, nowMs: clock.readMonotonicMs()})),
	};
}
