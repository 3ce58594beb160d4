import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord,
} from '@fescuestair/membership';
import {announceSchema, UpstreamKind} from '@fescuestair/protocol';
import {createLogger, type GossipHost} from '@fescuestair/runtime';
import {createUpstreamRegistry} from '../../upstream-registry.js';
import {createUpstreamStates} from '../../upstream-states.js';

const self: MemberRecord = {
	id: 'entry-1', kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: 'a:1', availabilityZone: 'z', details: {},
};

function createAnnouncement(change: Record<string, unknown>) {
	return announceSchema.parse({
		id: 'engine-1', incarnation: 1, address: '127.0.0.1:1', availabilityZone: 'z', kind: UpstreamKind.Engine, models: ['assistant'], ...change,
	});
}

function createFixture() {
	const clock = createManualClock();
	const log = createLogger({instance: 'test', isTerminal: false, writeLine: () => true});
	let membership = createMembership({self, nowMs: 0});
	const gossip: GossipHost = {
		receive: () => undefined,
		publish(record) {
			membership = stepMembership(membership, {kind: InputKind.Publish, record}, clock.readMonotonicMs()).state;
		},
		publishGauge: () => undefined,
		publishSelf: () => undefined,
		getMembership: () => membership,
		stop: () => undefined,
	};
	const registry = createUpstreamRegistry({
		entryId: 'entry-1', clock, gossip, leaseMs: 3000,
	});
	registry.announce(createAnnouncement({}));

	return {
		clock, registry, getRecord: () => membership.held.get('engine-1')!.record, standings: createUpstreamStates({clock, gossip, log}),
	};
}

test('an upstream that reports in a response that it is leaving is published as leaving until it restarts', t => {
	const {registry, getRecord, standings} = createFixture();
	t.true(standings.isAvailable(getRecord()));
	standings.recordResponse({...getRecord(), incarnation: 0}, 200, {'x-leaving': '1'});
	t.is(getRecord().status, MemberStatus.Alive);
	standings.recordResponse(getRecord(), 200, {'x-leaving': '1'});
	t.is(getRecord().status, MemberStatus.Leaving);
	t.false(standings.isAvailable(getRecord()));

	registry.announce(createAnnouncement({load: undefined}));
	t.is(getRecord().status, MemberStatus.Leaving);
	registry.announce(createAnnouncement({incarnation: 2}));
	t.is(getRecord().status, MemberStatus.Alive);
	t.true(standings.isAvailable(getRecord()));
	registry.stop();
});

test('an upstream that requests a back-off gets no requests from this entry until the back-off ends', t => {
	const {clock, registry, getRecord, standings} = createFixture();
	standings.recordResponse(getRecord(), 200, {'retry-after': '2.5'});
	t.true(standings.isAvailable(getRecord()));
	standings.recordResponse(getRecord(), 503, {'retry-after': '2.5'});
	clock.advance(2499);
	t.false(standings.isAvailable(getRecord()));
	clock.advance(1);
	t.true(standings.isAvailable(getRecord()));
	registry.stop();
});

test('a late response of an earlier incarnation does not end the back-off that the current one requested', t => {
	const {registry, getRecord, standings} = createFixture();
	const earlierRecord = getRecord();
	registry.announce(createAnnouncement({incarnation: 2}));
	standings.recordResponse(getRecord(), 503, {'retry-after': '2.5'});
	standings.recordResponse(earlierRecord, 200, {'x-leaving': '1'});
	t.false(standings.isAvailable(getRecord()));
	t.is(getRecord().status, MemberStatus.Alive);
	registry.stop();
});
