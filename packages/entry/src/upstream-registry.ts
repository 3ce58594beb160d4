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
	/** An upstream that has not renewed for this long is taken for dead. */
	readonly leaseMs: number;
};

/** The upstreams that announce themselves to this entry. */
export type UpstreamRegistry = {
	readonly announce: (message: AnnounceMessage) => {readonly renewWithinMs: number};
	readonly withdraw: (id: string) => boolean;
	readonly stop: () => void;
};

const sweepMs = 200;
const renewalsPerLease = 3;
/** Loads spread less often where there are more upstreams, so that what a daemon spends on them stays the same. */
const loadSpreadMsPerUpstream = 25;
const minLoadSpreadMs = 1000;
const maxLoadSpreadMs = 20_000;

/**
Creates the registry of an entry. A renewal spreads only where it changes something. A load spreads as a gauge, where it differs
enough and not too often: an entry learns the loads of the engines that it uses from their responses.

@example
```
const {renewWithinMs} = registry.announce(message);
```
*/
export function createUpstreamRegistry({entryId, clock, gossip, leaseMs}: UpstreamRegistryOptions): UpstreamRegistry {
	const deadlines = new Map<string, number>();
	const spreadDeadlines = new Map<string, number>();

	const publishStatus = (id: string, status: MemberStatus) => {
		const record = gossip.getMembership().held.get(id)?.record;

		if (record !== undefined && record.status !== status) {
			gossip.publish({...record, status, version: record.version + 1});
		}
	};

	const sweep = () => {
		for (const [id, deadlineMs] of deadlines) {
			if (clock.readMonotonicMs() < deadlineMs) {
				continue;
			}

			deadlines.delete(id);
			spreadDeadlines.delete(id);

			// Another entry may have taken it over.
			if (gossip.getMembership().held.get(id)?.record.sponsorId === entryId) {
				publishStatus(id, MemberStatus.Dead);
			}
		}
	};

	const spreadLoad = ({id, load}: AnnounceMessage) => {
		const membership = gossip.getMembership();
		const values = load === undefined ? undefined : encodeLoad(load);
		const isDue = clock.readMonotonicMs() >= (spreadDeadlines.get(id) ?? 0);

		if (values === undefined || !isDue || isSame(values, membership.held.get(id)?.record.gauge?.values)) {
			return;
		}

		spreadDeadlines.set(id, clock.readMonotonicMs() + computeLoadSpreadMs(listServing(membership, RecordKind.Upstream).length));
		gossip.publishGauge(id, values);
	};

	const timer = setInterval(sweep, sweepMs);

	return {
		announce(message) {
			deadlines.set(message.id, clock.readMonotonicMs() + leaseMs);
			const known = gossip.getMembership().held.get(message.id)?.record;
			const record = createRecord(message, entryId, known);

			if (known === undefined || isChanged(known, record)) {
				gossip.publish(record);
			}

			spreadLoad(message);

			return {renewWithinMs: Math.floor(leaseMs / renewalsPerLease)};
		},
		withdraw(id) {
			const isKnown = gossip.getMembership().held.has(id);
			deadlines.delete(id);
			publishStatus(id, MemberStatus.Dead);

			return isKnown;
		},
		stop() {
			clearInterval(timer);
		},
	};
}

function createRecord(message: AnnounceMessage, sponsorId: string, known: MemberRecord | undefined): MemberRecord {
	const {
		id, incarnation, address, availabilityZone, isLeaving, load: _load, ...details
	} = message;
	const isSame = known?.incarnation === incarnation;
	// What leaves, as an announcement or an answer said, does not come back without a new start.
	const hasLeft = isSame && known.status === MemberStatus.Leaving;

	return {
		id,
		kind: RecordKind.Upstream,
		incarnation,
		version: isSame ? known.version + 1 : 1,
		status: isLeaving || hasLeft ? MemberStatus.Leaving : MemberStatus.Alive,
		address,
		availabilityZone,
		sponsorId,
		details: details satisfies UpstreamDetails,
	};
}

function isChanged(known: MemberRecord, record: MemberRecord): boolean {
	return known.incarnation !== record.incarnation
		|| known.status !== record.status
		|| known.sponsorId !== record.sponsorId
		|| known.address !== record.address
		|| JSON.stringify(known.details) !== JSON.stringify(record.details);
}

function isSame(values: readonly number[], known: readonly number[] | undefined): boolean {
	return known?.length === values.length && values.every((value, index) => value === known[index]);
}

/**
Computes how seldom a load spreads among a number of upstreams.

@example
```
computeLoadSpreadMs(12); //=> 1000
```
*/
export function computeLoadSpreadMs(upstreams: number): number {
	return Math.min(maxLoadSpreadMs, Math.max(minLoadSpreadMs, upstreams * loadSpreadMsPerUpstream));
}
