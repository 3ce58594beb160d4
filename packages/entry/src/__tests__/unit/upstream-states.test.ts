import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord,
} from '@fescuestair/membership';
import {announceSchema, UpstreamKind} from '@fescuestair/protocol';
import {createLogger, createRequestLimits, type GossipHost} from '@fescuestair/runtime';
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

	// Two entries that share one membership.
	const openEntry = () => {
		const requestLimits = createRequestLimits({
			clock,
			log,
			onChange(note, {isOwn}) {
				if (isOwn) {
					standings.publishRequestLimit(note);
				}
			},
		});
		const standings = createUpstreamStates({
			clock, gossip, log, requestLimits, permits: {getClosedUntilMs: () => closedUntilMs},
		});

		return {standings, requestLimits};
	};

	let closedUntilMs = Number.NEGATIVE_INFINITY;

	return {
		clock,
		registry,
		getRecord: () => membership.held.get('engine-1')!.record,
		...openEntry(),
		other: openEntry(),
		close(untilMs: number) {
			closedUntilMs = untilMs;
		},
	};
}

test('an upstream that reports in a response that it is leaving is published as leaving until it restarts', t => {
	const {clock, registry, getRecord, standings} = createFixture();
	t.true(standings.isAvailable(getRecord()));
	standings.recordResponse({...getRecord(), incarnation: 0}, {status: 200, headers: {'x-leaving': '1'}, sentAtMs: clock.readMonotonicMs()});
	t.is(getRecord().status, MemberStatus.Alive);
	standings.recordResponse(getRecord(), {status: 200, headers: {'x-leaving': '1'}, sentAtMs: clock.readMonotonicMs()});
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
	standings.recordResponse(getRecord(), {status: 200, headers: {'retry-after': '2.5'}, sentAtMs: clock.readMonotonicMs()});
	t.true(standings.isAvailable(getRecord()));
	standings.recordResponse(getRecord(), {status: 503, headers: {'retry-after': '2.5'}, sentAtMs: clock.readMonotonicMs()});
	clock.advance(2499);
	t.false(standings.isAvailable(getRecord()));
	clock.advance(1);
	t.true(standings.isAvailable(getRecord()));
	registry.stop();
});

test('a late response of an earlier incarnation does not end the back-off that the current one requested', t => {
	const {clock, registry, getRecord, standings} = createFixture();
	const earlierRecord = getRecord();
	registry.announce(createAnnouncement({incarnation: 2}));
	standings.recordResponse(getRecord(), {status: 503, headers: {'retry-after': '2.5'}, sentAtMs: clock.readMonotonicMs()});
	standings.recordResponse(earlierRecord, {status: 200, headers: {'x-leaving': '1'}, sentAtMs: clock.readMonotonicMs()});
	t.false(standings.isAvailable(getRecord()));
	t.is(getRecord().status, MemberStatus.Alive);
	registry.stop();
});

test('a limit that an upstream names in a response reaches the other entries, outlasts announcements and ends for all', t => {
	const {clock, registry, getRecord, standings, requestLimits, other} = createFixture();
	const run = {id: 'engine-1', incarnation: 1};
	standings.recordResponse(getRecord(), {status: 200, headers: {'x-request-limit': '2.5'}, sentAtMs: 0});
	registry.announce(createAnnouncement({load: undefined}));
	t.is(requestLimits.getPerSecond(run), 2.5);
	t.true(other.standings.isAvailable(getRecord()));
	t.is(other.requestLimits.getPerSecond(run), 2.5);
	clock.advance(100);
	// A response to a request from before the limit was known says nothing, nor does a rejection.
	other.standings.recordResponse(getRecord(), {status: 200, headers: {}, sentAtMs: -10});
	other.standings.recordResponse(getRecord(), {status: 503, headers: {}, sentAtMs: clock.readMonotonicMs()});
	t.is(other.requestLimits.getPerSecond(run), 2.5);
	other.standings.recordResponse(getRecord(), {status: 200, headers: {}, sentAtMs: clock.readMonotonicMs()});
	t.is(other.requestLimits.getPerSecond(run), undefined);
	clock.advance(1);
	t.true(standings.isAvailable(getRecord()));
	t.is(requestLimits.getPerSecond(run), undefined);
	registry.stop();
});

test('an upstream whose limit is used up is not available, unless the request can wait until it is again', t => {
	const {clock, registry, getRecord, standings, close} = createFixture();
	close(clock.readMonotonicMs() + 300);
	t.false(standings.isAvailable(getRecord()));
	t.false(standings.isAvailable(getRecord(), {withinMs: 200}));
	t.true(standings.isAvailable(getRecord(), {withinMs: 300}));
	registry.stop();
});
