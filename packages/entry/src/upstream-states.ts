import {type IncomingHttpHeaders} from 'node:http';
import {parseDecimal, parseSecondsToMs, type Clock} from '@fescuestair/core';
import {type RequestLimitNote} from '@fescuestair/instances';
import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {headerNames, type UpstreamDetails} from '@fescuestair/protocol';
import {
	applyInstanceEvent, canSendTo, classifyInstance, createInstanceState, isValidBackoff, InstanceEventKind, type InstanceState,
} from '@fescuestair/routing';
import {
	type GossipHost, type Logger, type PermitClient, type RequestLimits,
} from '@fescuestair/runtime';

/**
What upstreams report about themselves in response headers: that they are leaving, a back-off during which this entry sends nothing to them, or a
limit of the requests that they accept from all entries together.
*/
export type UpstreamStates = {
	/** Evaluates the head of a response; `record` is that of the upstream at the time when the request was sent. */
	readonly recordResponse: (record: MemberRecord, response: UpstreamResponse) => void;
	/** Whether requests may be sent to an upstream now, or its limit lets them be sent within a time. */
	readonly isAvailable: (record: MemberRecord, options?: {readonly withinMs: number}) => boolean;
	/** Publishes a limit that a response named, or its end, to the other entries. */
	readonly publishRequestLimit: (note: RequestLimitNote) => void;
};

/** The head of a response. */
export type UpstreamResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** When the request was sent, on the monotonic clock. */
	readonly sentAtMs: number;
};

const firstErrorStatus = 400;
const serviceUnavailableStatus = 503;
const leavingHeaderValue = '1';

/**
Creates the upstream states of an entry. If a response reports that the upstream is leaving, this is published, so that all entries stop sending to
it.

@example
```
const standings = createUpstreamStates({clock, gossip, log, requestLimits, permits});
standings.recordResponse(record, {status: 503, headers: {'retry-after': '2.5'}, sentAtMs});
standings.isAvailable(record); //=> false
```
*/
export function createUpstreamStates({clock, gossip, log, requestLimits, permits}: {
	readonly clock: Clock;
	readonly gossip: Pick<GossipHost, 'getMembership' | 'publish'>;
	readonly log: Pick<Logger, 'info'>;
	readonly requestLimits: RequestLimits;
	readonly permits: Pick<PermitClient, 'getClosedUntilMs'>;
}): UpstreamStates {
	const states = new Map<string, InstanceState>();
	/** Version of the published record from which the limit of an upstream was learned last. */
	const learnedVersions = new Map<string, Pick<MemberRecord, 'incarnation' | 'version'>>();

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

	// Another entry may have published a limit, or its end, that no response has told this one.
	const learnPublishedLimit = ({id, incarnation, version, details}: MemberRecord) => {
		const learned = learnedVersions.get(id);

		if (learned?.incarnation === incarnation && learned.version >= version) {
			return;
		}

		learnedVersions.set(id, {incarnation, version});
		const {requestsPerSecond} = details as UpstreamDetails;

		if (requestsPerSecond !== requestLimits.getPerSecond({id, incarnation})) {
			requestLimits.merge([{
				id, incarnation, ...(requestsPerSecond !== undefined && {perSecond: requestsPerSecond}), ageMs: 0,
			}]);
		}
	};

	return {
		recordResponse(record, {status, headers, sentAtMs}) {
			// A late response of an earlier incarnation says nothing about the current one, and must not replace the state of the current one.
			if ((states.get(record.id)?.incarnation ?? record.incarnation) > record.incarnation) {
				return;
			}

			const requestLimit = headers[headerNames.requestLimit];
			learnPublishedLimit(record);
			requestLimits.recordAnswer(record, {
				perSecond: requestLimit === undefined ? undefined : parseDecimal(String(requestLimit)), hasRun: status < firstErrorStatus, sentAtMs,
			});
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
		publishRequestLimit({id, incarnation, perSecond}) {
			const record = gossip.getMembership().held.get(id)?.record;

			if (record?.incarnation === incarnation) {
				const {requestsPerSecond: _before, ...details} = record.details as UpstreamDetails;
				gossip.publish({...record, details: {...details, ...(perSecond !== undefined && {requestsPerSecond: perSecond})}, version: record.version + 1});
			}
		},
		isAvailable(record, options) {
			learnPublishedLimit(record);
			const limitedUntilMs = permits.getClosedUntilMs(record) - (options?.withinMs ?? 0);

			return canSendTo(classifyInstance(getInstanceState(record), {own: 0, limitedUntilMs, nowMs: clock.readMonotonicMs()}));
		},
	};
}
