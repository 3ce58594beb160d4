import {computeHash, rankByRendezvous, type Step} from '@fescuestair/core';
import {mergeGauges, setGauge, takeGaugeNotes} from './gauges.js';
import {takeRumours} from './rumours.js';
import {
	computeDigests, listOverdue, listParts, mergeRecords, tidyRecords,
} from './records.js';
import {
	GossipKind, InputKind, MemberStatus, OutputKind, RecordKind, type Gossip, type Input, type MemberRecord, type Membership, type Output,
} from './types.js';

// A suspicion must not bring a leaving member back among those that serve.
const suspectedAs: ReadonlyMap<MemberStatus, MemberStatus> = new Map([
	[MemberStatus.Alive, MemberStatus.Suspect],
	[MemberStatus.Leaving, MemberStatus.SuspectLeaving],
]);

type MembershipStep = Step<Membership, Output>;

const relays = 2;
/** Daemons that one daemon watches. */
const watchedPeers = 8;
/** Records that ride on one message. */
const maxRumoursPerMessage = 24;
/** Each record is passed on this many times the logarithm of the number of daemons. */
const rumourFactor = 3;

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
			const measured = mergeGauges(merged.membership, input.gossip.gauges ?? []);
			const answered = answerGossip(measured, input, nowMs);

			return {state: answered.state, effects: [...merged.outputs, ...answered.effects]};
		}
	}
}

function publishSelf(membership: Membership, record: MemberRecord): MembershipStep {
	const held = new Map(membership.held).set(record.id, {record, deadlineMs: undefined});
	const rumours = new Map(membership.rumours).set(record.id, 0);

	return {state: {...membership, held, rumours}, effects: [{kind: OutputKind.Changed, record}]};
}

function toStep(merged: {membership: Membership; outputs: readonly Output[]}): MembershipStep {
	return {state: merged.membership, effects: merged.outputs};
}

function tick(membership: Membership, nowMs: number): MembershipStep {
	const tidy = tidyRecords(membership, nowMs);
	const overdue = toStep(mergeRecords(tidy, listOverdue(tidy, nowMs), nowMs));
	const probed = continueProbe(overdue.state, nowMs);
	const synced = startSync(probed.state, nowMs);

	return {state: synced.state, effects: [...overdue.effects, ...probed.effects, ...synced.effects]};
}

function continueProbe(membership: Membership, nowMs: number): MembershipStep {
	const {probe} = membership;

	if (probe === undefined) {
		return nowMs >= membership.nextProbeMs ? startProbe(membership, nowMs) : {state: membership, effects: []};
	}

	if (nowMs >= probe.failDeadlineMs) {
		return suspectTarget({...membership, probe: undefined}, probe.targetId, nowMs);
	}

	return !probe.isRelayed && nowMs >= probe.relayDeadlineMs ? relayProbe(membership) : {state: membership, effects: []};
}

function listPeers(membership: Membership): readonly MemberRecord[] {
	return [...membership.held.values()]
		.map(held => held.record)
		.filter(record => record.kind !== RecordKind.Upstream && record.id !== membership.selfId && record.status !== MemberStatus.Dead);
}

// Each peer is probed once in a round, in an order that differs between daemons and rounds.
function startProbe(membership: Membership, nowMs: number): MembershipStep {
	const order = membership.probeOrder.length > 0 ? membership.probeOrder : shufflePeers(membership);
	const [targetId, ...rest] = order;
	const target = targetId === undefined ? undefined : membership.held.get(targetId)?.record;
	const moved = {...membership, probeOrder: rest, nextProbeMs: nowMs + membership.timing.probeMs};

	if ((target?.status ?? MemberStatus.Dead) === MemberStatus.Dead) {
		return {state: moved, effects: []};
	}

	return sendProbe(moved, target!, nowMs);
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

// Each daemon watches and talks to a few others only, so that its cost does not grow with their number; who watches
// whom follows from the names, and the graph they make is connected.
function listWatched(membership: Membership): readonly MemberRecord[] {
	const peers = listPeers(membership);

	if (peers.length <= watchedPeers) {
		return peers;
	}

	const chosen = new Set(rankByRendezvous(membership.selfId, peers.map(record => record.id)).slice(0, watchedPeers));

	return peers.filter(record => chosen.has(record.id));
}

function shufflePeers(membership: Membership): readonly string[] {
	return listWatched(membership)
		.map(record => ({id: record.id, weight: computeHash(`${membership.selfId}/${membership.sequence}/${record.id}`)}))
		.toSorted((a, b) => a.weight < b.weight ? -1 : 1)
		.map(entry => entry.id);
}

function relayProbe(membership: Membership): MembershipStep {
	const probe = membership.probe!;
	const helpers = shufflePeers(membership).filter(id => id !== probe.targetId).slice(0, relays);
	let state: Membership = {...membership, probe: {...probe, isRelayed: true}};
	const effects: Output[] = [];

	for (const id of helpers) {
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

	const status = record === undefined ? undefined : suspectedAs.get(record.status);

	return record === undefined || status === undefined
		? {state: membership, effects: []}
		: toStep(mergeRecords(membership, [{...record, status}], nowMs));
}

type GossipInput = Extract<Input, {kind: InputKind.Gossip}>;

function answerGossip(membership: Membership, {gossip, fromAddress}: GossipInput, nowMs: number): MembershipStep {
	switch (gossip.kind) {
		case GossipKind.Ping: {
			return sendGossip(membership, fromAddress, {
				kind: GossipKind.Ack, sequence: gossip.sequence, onBehalfOf: gossip.onBehalfOf, records: [],
			});
		}

		case GossipKind.Ack: {
			return takeAck(membership, gossip);
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
			const parts = own.map((_, part) => part).filter(part => own[part] !== gossip.digests[part]);

			return parts.length === 0 ? {state: membership, effects: []} : replySync(membership, fromAddress, parts);
		}

		case GossipKind.SyncReply: {
			// What the other lacks goes back, once.
			const known = new Map(gossip.records.map(record => [record.id, record]));
			const missing = listParts(membership, gossip.parts).filter(record => isUnknownTo(known, record));

			return missing.length === 0
				? {state: {...membership, nextSyncMs: nowMs + membership.timing.syncMs}, effects: []}
				: {
					state: membership,
					effects: [{kind: OutputKind.Send, address: fromAddress, gossip: {kind: GossipKind.SyncReply, parts: [], records: missing}}],
				};
		}
	}
}

function isUnknownTo(known: ReadonlyMap<string, MemberRecord>, record: MemberRecord): boolean {
	const other = known.get(record.id);

	return other?.incarnation !== record.incarnation || other.version !== record.version || other.status !== record.status;
}

function replySync(membership: Membership, address: string, parts: readonly number[]): MembershipStep {
	const gossip: Gossip = {kind: GossipKind.SyncReply, parts, records: listParts(membership, parts)};

	return {state: membership, effects: [{kind: OutputKind.Send, address, gossip}]};
}

function takeAck(membership: Membership, ack: Extract<Gossip, {kind: GossipKind.Ack}>): MembershipStep {
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
	// Alone, a daemon keeps knocking at its seeds, more often than it would sync.
	const isAlone = peers.length === 0;
	const addresses = isAlone ? membership.seeds : [pickSyncPeer(membership, listWatched(membership), nowMs).address];
	const waitMs = isAlone ? membership.timing.probeMs : membership.timing.syncMs;
	const gossip: Gossip = {kind: GossipKind.Sync, digests: computeDigests(membership), records: [membership.held.get(membership.selfId)!.record]};

	return {
		state: {...membership, nextSyncMs: nowMs + waitMs},
		effects: addresses.map(address => ({kind: OutputKind.Send, address, gossip})),
	};
}

// Every fourth sync goes to a seed, so that two halves that took each other for dead find together again.
function pickSyncPeer(membership: Membership, peers: readonly MemberRecord[], nowMs: number): {readonly address: string} {
	const turn = Number(computeHash(`${membership.selfId}/${Math.floor(nowMs)}`) % 1_000_003n);
	const seed = membership.seeds[turn % Math.max(1, membership.seeds.length)];

	return turn % 4 === 0 && seed !== undefined ? {address: seed} : peers[turn % peers.length]!;
}

// Rumours ride on every message, the least told first, until each has been told often enough.
function sendGossip(before: Membership, address: string, gossip: Gossip): MembershipStep {
	const {membership, notes} = takeGaugeNotes(before);
	const gauges = notes.length === 0 ? undefined : {gauges: notes};

	if (membership.rumours.size === 0) {
		return {state: membership, effects: [{kind: OutputKind.Send, address, gossip: {...gossip, ...gauges}}]};
	}

	const tellings = rumourFactor * Math.ceil(Math.log2(listPeers(membership).length + 2));
	const {ids, rumours} = takeRumours(membership.rumours, {perMessage: maxRumoursPerMessage, tellings});
	const records = ids.flatMap(id => membership.held.get(id)?.record ?? []);

	return {state: {...membership, rumours}, effects: [{kind: OutputKind.Send, address, gossip: {...gossip, ...gauges, records}}]};
}
