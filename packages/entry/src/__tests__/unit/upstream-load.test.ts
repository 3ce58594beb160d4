import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {
	announceSchema, encodeLoad, decodeLoad, UpstreamKind,
} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {type GossipHost} from '@fescuestair/runtime';
import {createUpstreamLoadTracker} from '../../upstream-load-tracker.js';
import {computeLoadPublishIntervalMs, createUpstreamRegistry} from '../../upstream-registry.js';

const self: MemberRecord = {
	id: 'entry-1', kind: RecordKind.Entry, incarnation: 1, version: 1, status: MemberStatus.Alive, address: 'a:1', availabilityZone: 'z', details: {},
};
const idle = {
	running: 0, waitingShort: 0, waitingLong: 0, longInProgress: 0, slots: 8, queuedShortTokens: 0, queuedLongTokens: 0,
};

function createAnnouncement(change: Record<string, unknown>) {
	return announceSchema.parse({
		id: 'engine-1', incarnation: 1, address: '127.0.0.1:1', availabilityZone: 'z', kind: UpstreamKind.Engine, models: ['assistant'], load: idle, ...change,
	});
}

test('a load is published as a gauge, at a limited rate and only if it differs enough; any other change is published at once', t => {
	const clock = createManualClock();
	let membership: Membership = createMembership({self, nowMs: 0});
	let recordCount = 0;
	let gaugeCount = 0;
	const gossip: GossipHost = {
		receive: () => undefined,
		publish(record) {
			recordCount++;
			membership = stepMembership(membership, {kind: InputKind.Publish, record}, clock.readMonotonicMs()).state;
		},
		publishGauge(id, values) {
			gaugeCount++;
			membership = stepMembership(membership, {kind: InputKind.PublishGauge, id, values}, clock.readMonotonicMs()).state;
		},
		publishSelf: () => undefined,
		getMembership: () => membership,
		stop: () => undefined,
	};
	const registry = createUpstreamRegistry({
		entryId: 'entry-1', clock, gossip, leaseMs: 3000,
	});
	registry.announce(createAnnouncement({}));
	t.deepEqual([recordCount, gaugeCount], [1, 1]);
	clock.advance(500);
	registry.announce(createAnnouncement({load: {...idle, running: 4}}));
	t.deepEqual([recordCount, gaugeCount], [1, 1], 'the interval between two loads has not passed');
	clock.advance(500);
	registry.announce(createAnnouncement({load: {...idle, running: 4}}));
	t.deepEqual([recordCount, gaugeCount], [1, 2]);
	t.is(decodeLoad(membership.held.get('engine-1')!.record.gauge!.values).running, 4);
	clock.advance(1000);
	registry.announce(createAnnouncement({load: {...idle, running: 4, queuedLongTokens: 0.2}}));
	t.deepEqual([recordCount, gaugeCount], [1, 2], 'the encoded load is the same');
	registry.announce(createAnnouncement({load: {...idle, running: 4}, isLeaving: true}));
	t.is(recordCount, 2, 'leaving is published without delay');
	t.is(decodeLoad(membership.held.get('engine-1')!.record.gauge!.values).running, 4, 'a new record keeps the gauge');
	registry.stop();
});

test('an encoded load is decoded to within one rounding step, and loads are published less often the more upstreams there are', t => {
	const load = {
		running: 7, waitingShort: 3, waitingLong: 1, longInProgress: 5, slots: 12, queuedShortTokens: 900, queuedLongTokens: 40_000,
	};
	const roundTripped = decodeLoad(encodeLoad(load));
	t.is(roundTripped.slots, 12);
	t.true(Math.abs(roundTripped.running - load.running) <= 2 && Math.abs(roundTripped.longInProgress - load.longInProgress) <= 2);
	t.true(roundTripped.queuedLongTokens / load.queuedLongTokens > 0.7 && roundTripped.queuedLongTokens / load.queuedLongTokens < 1.42);
	t.deepEqual(decodeLoad(encodeLoad(idle)), idle);
	t.deepEqual([1, 12, 120, 680, 5000].map(count => computeLoadPublishIntervalMs(count)), [1000, 1000, 3000, 17_000, 20_000]);
});

test('a load reported with a response replaces the announced one and the dispatches of this entry before it', t => {
	const clock = createManualClock(1000);
	const table = createUpstreamLoadTracker(clock);
	const record = {
		...self, id: 'engine-1', kind: RecordKind.Upstream, details: {prefillTokensPerSecond: 8000}, gauge: {version: 1, values: encodeLoad(idle)},
	};
	t.is(table.createView(record).waitingLong, 0);
	table.beginDispatch('engine-1', Priority.Long, 5000);
	t.is(table.createView(record).queuedLongTokens, 5000);
	clock.advance(100);
	table.recordLoad('engine-1', {...idle, running: 3, queuedLongTokens: 2000});
	const view = table.createView(record);
	t.is(view.running, 3);
	t.is(view.queuedLongTokens, 2000);
});

test('reported and dispatched work counts as computed after the time that it needs, even if no new report arrives', t => {
	const clock = createManualClock(1000);
	const table = createUpstreamLoadTracker(clock);
	const record = {
		...self, id: 'engine-1', kind: RecordKind.Upstream, details: {prefillTokensPerSecond: 8000}, gauge: {version: 1, values: encodeLoad(idle)},
	};
	t.is(table.createView(record).running, 0);
	const endDispatch = table.beginDispatch('engine-1', Priority.Long, 4000);
	clock.advance(10);
	table.recordLoad('engine-1', {
		...idle, running: 1, longInProgress: 1, queuedShortTokens: 400, queuedLongTokens: 4000,
	});
	clock.advance(1500);
	t.is(table.createView(record).queuedLongTokens, 4000, 'a recent report is used unchanged');
	clock.advance(100);
	const partlyComputed = table.createView(record);
	t.deepEqual([partlyComputed.queuedShortTokens, partlyComputed.queuedLongTokens], [0, 3600], 'short prompts are computed first');
	table.beginDispatch('engine-1', Priority.Long, 1000);
	t.is(table.createView(record).queuedLongTokens, 4600);
	clock.advance(1000);
	endDispatch();
	const afterFirstRequest = table.createView(record);
	t.deepEqual([afterFirstRequest.queuedLongTokens, afterFirstRequest.running, afterFirstRequest.longInProgress], [1000, 0, 1], 'the second request is still in progress');
});
