import {computeHash, rankByRendezvous, type Step} from '@fescuestair/core';
import {mergeGauges, setGauge, takeGaugeUpdates} from './gauges.js';
import {takeUpdates} from './pending-updates.js';
import {
	computeDigests, expireRecords, listBucketRecords, listTimedOut, mergeRecords,
} from './records.js';
import {
	GossipKind, InputKind, MemberStatus, OutputKind, RecordKind, type Gossip, type Input, type MemberRecord, type Membership, type Output,
} from './types.js';

// A suspicion must not make a leaving member available for new work again.
const suspectStatuses: ReadonlyMap<MemberStatus, MemberStatus> = new Map([
	[MemberStatus.Alive, MemberStatus.Suspect],
	[MemberStatus.Leaving, MemberStatus.SuspectLeaving],
]);

type MembershipStep = Step<Membership, Output>;

/** Peers that are asked to probe a target that did not answer. */
const relayCount = 2;
/** Peers that a daemon probes and syncs with. */
const watchedPeerCount = 8;
/** Records piggybacked on one message. */
const maxUpdatesPerMessage = 24;
/** Each daemon transmits a record this factor times the binary logarithm of the number of daemons. */
const retransmitFactor = 3;

/**
Advances the membership by one input. Pure.

@example
```
const {state, effects} = stepMembership(membership, {kind: InputKind.Tick}, nowMs);
```
*/
export function stepMembership(membership: Membership, input: Input, nowMs: number): MembershipStep {
	switch (input.kind) {
		case InputKind.Tick: {
			return tick(membership, nowMs);
		}

		case InputKind.Publish: {
			return toStep(mergeRecords(membership, [input.record], nowMs));
		}

		case InputKind.PublishGauge: {
			return {state: setGauge(membership, input.id, input.values), effects: []};
		}

		case InputKind.PublishSelf: {
			return publishSelf(membership, input.record);
		}

		case InputKind.Gossip: {
			const merged = mergeRecords(membership, input.gossip.records, nowMs);
			const withGauges = mergeGauges(merged.membership, input.gossip.gauges ?? []);
			const handled = handleGossip(withGauges, input, nowMs);

			return {state: handled.state, effects: [...merged.outputs, ...handled.effects]};
		}
	}
}

function publishSelf(membership: Membership, record: MemberRecord): MembershipStep {
	const held = new Map(membership.held).set(record.id, {record, deadlineMs: undefined});
	const pendingUpdates = new Map(membership.pendingUpdates).set(record.id, 0);

	return {state: {...membership, held, pendingUpdates}, effects: [{kind: OutputKind.Changed, record}]};
}

function toStep(merged: {membership: Membership; outputs: readonly Output[]}): MembershipStep {
	return {state: merged.membership, effects: merged.outputs};
}

function tick(membership: Membership, nowMs: number): MembershipStep {
	const current = expireRecords(membership, nowMs);
	const timedOut = toStep(mergeRecords(current, listTimedOut(current, nowMs), nowMs));
	const probed = continueProbe(timedOut.state, nowMs);
	const synced = startSync(probed.state, nowMs);

	return {state: synced.state, effects: [...timedOut.effects, ...probed.effects, ...synced.effects]};
}

function continueProbe(membership: Membership, nowMs: number): MembershipStep {
	const {probe} = membership;

	if (probe === undefined) {
		return nowMs >= membership.nextProbeMs ? startProbe(membership, nowMs) : {state: membership, effects: []};
	}

	if (nowMs >= probe.failDeadlineMs) {
		return suspectTarget({...membership, probe: undefined}, probe.targetId, nowMs);
	}

	return !probe.isRelayed && nowMs >= probe.relayDeadlineMs ? requestIndirectProbes(membership) : {state: membership, effects: []};
}

function listPeers(membership: Membership): readonly MemberRecord[] {
	return [...membership.held.values()]
		.map(held => held.record)
		.filter(record => record.kind !== RecordKind.Upstream && record.id !== membership.selfId && record.status !== MemberStatus.Dead);
}

// Probes each watched peer once a round, in an order that differs between daemons and rounds.
function startProbe(membership: Membership, nowMs: number): MembershipStep {
	const targetIds = membership.probeOrder.length > 0 ? membership.probeOrder : shufflePeerIds(membership);
	const [targetId, ...rest] = targetIds;
	const target = targetId === undefined ? undefined : membership.held.get(targetId)?.record;
	const advanced = {...membership, probeOrder: rest, nextProbeMs: nowMs + membership.timing.probeIntervalMs};

	if ((target?.status ?? MemberStatus.Dead) === MemberStatus.Dead) {
		return {state: advanced, effects: []};
	}

	return sendProbe(advanced, target!, nowMs);
}

function sendProbe(membership: Membership, target: MemberRecord, nowMs: number): MembershipStep {
	const sequence = membership.sequence + 1;
	const probe = {
		targetId: target.id,
		sequence,
		relayDeadlineMs: nowMs + membership.timing.probeTimeoutMs,
		failDeadlineMs: nowMs + (3 * membership.timing.probeTimeoutMs),
		isRelayed: false,
	};

	return sendGossip({...membership, sequence, probe}, target.address, {kind: GossipKind.Ping, sequence, records: []});
}

// Each daemon probes and syncs with a few peers only, so that its cost does not grow with their number. Rendezvous
// hashing of the ids selects them; the resulting graph is connected.
function listWatchedPeers(membership: Membership): readonly MemberRecord[] {
	const peers = listPeers(membership);

	if (peers.length <= watchedPeerCount) {
		return peers;
	}

	const watchedIds = new Set(rankByRendezvous(membership.selfId, peers.map(record => record.id)).slice(0, watchedPeerCount));

	return peers.filter(record => watchedIds.has(record.id));
}

function shufflePeerIds(membership: Membership): readonly string[] {
	return listWatchedPeers(membership)
		.map(record => ({id: record.id, weight: computeHash(`${membership.selfId}/${membership.sequence}/${record.id}`)}))
		.toSorted((a, b) => a.weight < b.weight ? -1 : 1)
		.map(peer => peer.id);
}

function requestIndirectProbes(membership: Membership): MembershipStep {
	const probe = membership.probe!;
	const relayIds = shufflePeerIds(membership).filter(id => id !== probe.targetId).slice(0, relayCount);
	let state: Membership = {...membership, probe: {...probe, isRelayed: true}};
	const effects: Output[] = [];

	for (const id of relayIds) {
		const sent = sendGossip(state, state.held.get(id)!.record.address, {
			kind: GossipKind.PingRequest, sequence: probe.sequence, targetId: probe.targetId, records: [],
		});
		state = sent.state;
		effects.push(...sent.effects);
	}

	return {state, effects};
}

function suspectTarget(membership: Membership, targetId: string, nowMs: number): MembershipStep {
	const record = membership.held.get(targetId)?.record;

	const status = record === undefined ? undefined : suspectStatuses.get(record.status);

	return record === undefined || status === undefined
		? {state: membership, effects: []}
		: toStep(mergeRecords(membership, [{...record, status}], nowMs));
}

type GossipInput = Extract<Input, {kind: InputKind.Gossip}>;

function handleGossip(membership: Membership, {gossip, fromAddress}: GossipInput, nowMs: number): MembershipStep {
	switch (gossip.kind) {
		case GossipKind.Ping: {
			return sendGossip(membership, fromAddress, {
				kind: GossipKind.Ack, sequence: gossip.sequence, onBehalfOf: gossip.onBehalfOf, records: [],
			});
		}

		case GossipKind.Ack: {
			return handleAck(membership, gossip);
		}

		case GossipKind.PingRequest: {
			const target = membership.held.get(gossip.targetId)?.record;

			return target === undefined
				? {state: membership, effects: []}
				: sendGossip(membership, target.address, {
					kind: GossipKind.Ping, sequence: gossip.sequence, onBehalfOf: fromAddress, records: [],
				});
		}

		case GossipKind.Sync: {
			const own = computeDigests(membership);
			const buckets = own.map((_, bucket) => bucket).filter(bucket => own[bucket] !== gossip.digests[bucket]);

			return buckets.length === 0 ? {state: membership, effects: []} : sendSyncReply(membership, fromAddress, buckets);
		}

		case GossipKind.SyncReply: {
			// Sends back, once, the records that the peer lacks or has in another version.
			const received = new Map(gossip.records.map(record => [record.id, record]));
			const missing = listBucketRecords(membership, gossip.parts).filter(record => isMissingOrDifferent(received, record));

			return missing.length === 0
				? {state: {...membership, nextSyncMs: nowMs + membership.timing.syncIntervalMs}, effects: []}
				: {
					state: membership,
					effects: [{kind: OutputKind.Send, address: fromAddress, gossip: {kind: GossipKind.SyncReply, parts: [], records: missing}}],
				};
		}
	}
}

function isMissingOrDifferent(received: ReadonlyMap<string, MemberRecord>, record: MemberRecord): boolean {
	const other = received.get(record.id);

	return other?.incarnation !== record.incarnation || other.version !== record.version || other.status !== record.status;
}

function sendSyncReply(membership: Membership, address: string, buckets: readonly number[]): MembershipStep {
	const gossip: Gossip = {kind: GossipKind.SyncReply, parts: buckets, records: listBucketRecords(membership, buckets)};

	return {state: membership, effects: [{kind: OutputKind.Send, address, gossip}]};
}

function handleAck(membership: Membership, ack: Extract<Gossip, {kind: GossipKind.Ack}>): MembershipStep {
	if (ack.onBehalfOf !== undefined) {
		return sendGossip(membership, ack.onBehalfOf, {kind: GossipKind.Ack, sequence: ack.sequence, records: []});
	}

	const isAnswered = membership.probe?.sequence === ack.sequence;

	return {state: isAnswered ? {...membership, probe: undefined} : membership, effects: []};
}

function startSync(membership: Membership, nowMs: number): MembershipStep {
	if (nowMs < membership.nextSyncMs) {
		return {state: membership, effects: []};
	}

	const peers = listPeers(membership);
	// Without peers, a daemon contacts all its seeds, more often than it would sync.
	const hasNoPeers = peers.length === 0;
	const addresses = hasNoPeers ? membership.seeds : [pickSyncPeer(membership, listWatchedPeers(membership), nowMs).address];
	const waitMs = hasNoPeers ? membership.timing.probeIntervalMs : membership.timing.syncIntervalMs;
	const gossip: Gossip = {kind: GossipKind.Sync, digests: computeDigests(membership), records: [membership.held.get(membership.selfId)!.record]};

	return {
		state: {...membership, nextSyncMs: nowMs + waitMs},
		effects: addresses.map(address => ({kind: OutputKind.Send, address, gossip})),
	};
}

// About every fourth sync goes to a seed, so that the two sides of a network partition, which have declared each other dead, merge
// once it heals.
function pickSyncPeer(membership: Membership, peers: readonly MemberRecord[], nowMs: number): {readonly address: string} {
	const hash = Number(computeHash(`${membership.selfId}/${Math.floor(nowMs)}`) % 1_000_003n);
	const seed = membership.seeds[hash % Math.max(1, membership.seeds.length)];

	return hash % 4 === 0 && seed !== undefined ? {address: seed} : peers[hash % peers.length]!;
}

// Piggybacks pending updates on the message, the least transmitted first.
function sendGossip(before: Membership, address: string, gossip: Gossip): MembershipStep {
	const {membership, notes: gaugeUpdates} = takeGaugeUpdates(before);
	const gauges = gaugeUpdates.length === 0 ? undefined : {gauges: gaugeUpdates};

	if (membership.pendingUpdates.size === 0) {
		return {state: membership, effects: [{kind: OutputKind.Send, address, gossip: {...gossip, ...gauges}}]};
	}

	const maxTransmissions = retransmitFactor * Math.ceil(Math.log2(listPeers(membership).length + 2));
	const {ids, pending} = takeUpdates(membership.pendingUpdates, {maxPerMessage: maxUpdatesPerMessage, maxTransmissions});
	const records = ids.flatMap(id => membership.held.get(id)?.record ?? []);

	return {state: {...membership, pendingUpdates: pending}, effects: [{kind: OutputKind.Send, address, gossip: {...gossip, ...gauges, records}}]};
}
