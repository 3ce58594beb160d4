import {type Clock} from '@fescuestair/core';
import {
	listServing, MemberStatus, RecordKind, type MemberRecord,
} from '@fescuestair/membership';
import {encodeLoad, type AnnounceMessage, type UpstreamDetails} from '@fescuestair/protocol';
import {type GossipHost} from '@fescuestair/runtime';

export type UpstreamRegistryOptions = {
	readonly entryId: string;
	readonly clock: Clock;
	readonly gossip: GossipHost;
	/** An upstream whose lease has not been renewed for this long is published as dead. */
	readonly leaseMs: number;
};

/** The registry of the upstreams that announce themselves to this entry. */
export type UpstreamRegistry = {
	/** Starts or renews the lease of an upstream. */
	readonly announce: (message: AnnounceMessage) => {readonly renewWithinMs: number};
	/** Publishes an upstream as dead without waiting for its lease to expire; returns whether the upstream was known. */
	readonly withdraw: (id: string) => boolean;
	readonly stop: () => void;
};

const leaseCheckIntervalMs = 200;
const renewalsPerLease = 3;
/** Each load is published less often the more upstreams there are, so that the cost of load gossip per daemon stays the same. */
const loadPublishIntervalPerUpstreamMs = 25;
const minLoadPublishIntervalMs = 1000;
const maxLoadPublishIntervalMs = 20_000;

/**
Creates the registry of an entry. A renewal is published only if it changes the record. A load is published as a gauge, at a limited rate and only
if its encoded (rounded) values have changed: an entry learns the loads of the engines that it uses from their responses.

@example
```
const {renewWithinMs} = registry.announce(message);
```
*/
export function createUpstreamRegistry({entryId, clock, gossip, leaseMs}: UpstreamRegistryOptions): UpstreamRegistry {
	const leaseDeadlines = new Map<string, number>();
	const nextLoadPublishTimes = new Map<string, number>();

	const publishStatus = (id: string, status: MemberStatus) => {
		const record = gossip.getMembership().held.get(id)?.record;

		if (record !== undefined && record.status !== status) {
			gossip.publish({...record, status, version: record.version + 1});
		}
	};

	const expireLeases = () => {
		for (const [id, deadlineMs] of leaseDeadlines) {
			if (clock.readMonotonicMs() < deadlineMs) {
				continue;
			}

			leaseDeadlines.delete(id);
			nextLoadPublishTimes.delete(id);

			// The upstream may announce itself to another entry by now, which then sponsors it.
			if (gossip.getMembership().held.get(id)?.record.sponsorId === entryId) {
				publishStatus(id, MemberStatus.Dead);
			}
		}
	};

	const publishLoad = ({id, load}: AnnounceMessage) => {
		const membership = gossip.getMembership();
		const values = load === undefined ? undefined : encodeLoad(load);
		const isDue = clock.readMonotonicMs() >= (nextLoadPublishTimes.get(id) ?? 0);

		if (values === undefined || !isDue || hasSameValues(values, membership.held.get(id)?.record.gauge?.values)) {
			return;
		}

		nextLoadPublishTimes.set(id, clock.readMonotonicMs() + computeLoadPublishIntervalMs(listServing(membership, RecordKind.Upstream).length));
		gossip.publishGauge(id, values);
	};

	const timer = setInterval(expireLeases, leaseCheckIntervalMs);

	return {
		announce(message) {
			leaseDeadlines.set(message.id, clock.readMonotonicMs() + leaseMs);
			const knownRecord = gossip.getMembership().held.get(message.id)?.record;
			const record = createRecord(message, entryId, knownRecord);

			if (knownRecord === undefined || hasChanged(knownRecord, record)) {
				gossip.publish(record);
			}

			publishLoad(message);

			return {renewWithinMs: Math.floor(leaseMs / renewalsPerLease)};
		},
		withdraw(id) {
			const isKnown = gossip.getMembership().held.has(id);
			leaseDeadlines.delete(id);
			publishStatus(id, MemberStatus.Dead);

			return isKnown;
		},
		stop() {
			clearInterval(timer);
		},
	};
}

function createRecord(message: AnnounceMessage, sponsorId: string, knownRecord: MemberRecord | undefined): MemberRecord {
	const {
		id, incarnation, address, availabilityZone, isLeaving, load: _load, ...details
	} = message;
	const isSameIncarnation = knownRecord?.incarnation === incarnation;
	// An upstream that an announcement or a response reported as leaving keeps that status until it restarts with a new incarnation.
	const isAlreadyLeaving = isSameIncarnation && knownRecord.status === MemberStatus.Leaving;

	return {
		id,
		kind: RecordKind.Upstream,
		incarnation,
		version: isSameIncarnation ? knownRecord.version + 1 : 1,
		status: isLeaving || isAlreadyLeaving ? MemberStatus.Leaving : MemberStatus.Alive,
		address,
		availabilityZone,
		sponsorId,
		// What entries learned from responses outlasts the announcements of the same incarnation.
		details: {...details, ...(isSameIncarnation && readRequestLimit(knownRecord))} satisfies UpstreamDetails,
	};
}

function readRequestLimit({details}: MemberRecord): Pick<UpstreamDetails, 'requestsPerSecond'> {
	const {requestsPerSecond} = details as UpstreamDetails;

	return requestsPerSecond === undefined ? {} : {requestsPerSecond};
}

function hasChanged(knownRecord: MemberRecord, record: MemberRecord): boolean {
	return knownRecord.incarnation !== record.incarnation
		|| knownRecord.status !== record.status
		|| knownRecord.sponsorId !== record.sponsorId
		|| knownRecord.address !== record.address
		|| JSON.stringify(knownRecord.details) !== JSON.stringify(record.details);
}

function hasSameValues(values: readonly number[], published: readonly number[] | undefined): boolean {
	return published?.length === values.length && values.every((value, index) => value === published[index]);
}

/**
Computes the shortest interval between two publications of the load of one upstream, by the number of upstreams.

@example
```
computeLoadPublishIntervalMs(12); //=> 1000
```
*/
export function computeLoadPublishIntervalMs(upstreams: number): number {
	return Math.min(maxLoadPublishIntervalMs, Math.max(minLoadPublishIntervalMs, upstreams * loadPublishIntervalPerUpstreamMs));
}
