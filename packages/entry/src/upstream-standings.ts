import {type IncomingHttpHeaders} from 'node:http';
import {parseSeconds, type Clock} from '@fescuestair/core';
import {MemberStatus, type MemberRecord} from '@fescuestair/membership';
import {headerNames} from '@fescuestair/protocol';
import {
	advanceStanding, canSendTo, classifyStanding, createInstanceStanding, isProperRest, StandingEventKind, type InstanceStanding,
} from '@fescuestair/routing';
import {type GossipHost, type Log} from '@fescuestair/runtime';

/** What upstreams say of themselves in their answers: that they leave, and for how long they want nothing from this entry. */
export type UpstreamStandings = {
	/** Takes the head of an answer of an upstream as it was when the request was sent. */
	readonly noteAnswer: (record: MemberRecord, status: number, headers: IncomingHttpHeaders) => void;
	/** Whether requests may go to an upstream now. */
	readonly isOpen: (record: MemberRecord) => boolean;
};

const unavailableStatus = 503;
const leavingValue = '1';

/**
Creates the standings of an entry. What one answer says of leaving is published, so that it binds all entries.

@example
```
const standings = createUpstreamStandings({clock, gossip, log});
standings.noteAnswer(record, 503, {'retry-after': '2.5'});
standings.isOpen(record); //=> false
```
*/
export function createUpstreamStandings({clock, gossip, log}: {
	readonly clock: Clock; readonly gossip: Pick<GossipHost, 'getMembership' | 'publish'>; readonly log: Pick<Log, 'info'>;
}): UpstreamStandings {
	const standings = new Map<string, InstanceStanding>();

	// Membership tells who is alive; announcements have no deadlines here.
	const getStanding = ({id, incarnation}: MemberRecord): InstanceStanding => {
		const known = standings.get(id);

		if (known?.incarnation === incarnation) {
			return known;
		}

		const created = createInstanceStanding({
			incarnation, isLeaving: false, heardAtMs: Number.POSITIVE_INFINITY, loadingDeadlineMs: 0, coldDeadlineMs: 0,
		});
		standings.set(id, created);

		return created;
	};

	const publishLeaving = ({id, incarnation}: MemberRecord) => {
		const held = gossip.getMembership().held.get(id)?.record;

		if (held?.incarnation === incarnation && held.status === MemberStatus.Alive) {
			log.info('an upstream says in an answer that it leaves', {id, incarnation});
			gossip.publish({...held, status: MemberStatus.Leaving, version: held.version + 1});
		}
	};

	return {
		noteAnswer(record, status, headers) {
			// A late answer of an earlier start says nothing of the one that followed, and must not make it forgotten.
			if ((standings.get(record.id)?.incarnation ?? record.incarnation) > record.incarnation) {
				return;
			}

			const askedRest = status === unavailableStatus ? headers[headerNames.retryAfter] : undefined;

			if (headers[headerNames.leaving] === leavingValue) {
				standings.set(record.id, advanceStanding(getStanding(record), {kind: StandingEventKind.LeavingHeard, incarnation: record.incarnation}, clock.readMonotonicMs()));
				publishLeaving(record);
			}

			if (askedRest !== undefined) {
				const askedRestMs = parseSeconds(askedRest);
				log.info(isProperRest(askedRestMs) ? 'an upstream asks for a rest' : 'an upstream asks for a rest that cannot be meant', {id: record.id, askedRest});
				standings.set(record.id, advanceStanding(getStanding(record), {kind: StandingEventKind.TurnedAway, askedRestMs}, clock.readMonotonicMs()));
			}
		},
		isOpen: record => canSendTo(classifyStanding(getStanding(record), {own: 0, nowMs: clock.readMonotonicMs()})),
	};
}
