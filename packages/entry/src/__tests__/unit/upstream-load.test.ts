import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {
	createMembership, InputKind, MemberStatus, RecordKind, stepMembership, type MemberRecord, type Membership,
} from '@fescuestair/membership';
import {announceSchema, UpstreamKind} from '@fescuestair/protocol';
import {Priority} from '@fescuestair/routing';
import {type GossipHost} from '@fescuestair/runtime';
import {createEngineTable} from '../../engine-table.js';
import {createUpstreamRegistry} from '../../upstream-registry.js';

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

test('a change of load spreads seldom, any other change at once', t => {
	const clock = createManualClock();
	let membership: Membership = createMembership({self, nowMs: 0});
	let published = 0;
	const gossip: GossipHost = {
		receive: () => undefined,
		publish(record) {
			published++;
			membership = stepMembership(membership, {kind: InputKind.Publish, record}, clock.readMonotonicMs()).state;
		},
		publishSelf: () => undefined,
		getMembership: () => membership,
		stop: () => undefined,
	};
	const registry = createUpstreamRegistry({
		entryId: 'entry-1', clock, gossip, leaseMs: 3000,
	});
	registry.announce(createAnnouncement({}));

	for (let running = 1; running <= 4; running++) {
		clock.advance(1000);
		registry.announce(createAnnouncement({load: {...idle, running}}));
	}

	t.is(published, 1);
	registry.announce(createAnnouncement({load: {...idle, running: 5}, isLeaving: true}));
	t.is(published, 2, 'leaving does not wait');
	clock.advance(10_000);
	registry.announce(createAnnouncement({load: {...idle, running: 6}, isLeaving: true}));
	t.is(published, 3);
	registry.stop();
});

test('a load that came with a response replaces the announced one, and own dispatches before it', t => {
	const clock = createManualClock(1000);
	const table = createEngineTable(clock);
	const record = {
		...self, id: 'engine-1', kind: RecordKind.Upstream, details: {load: idle, prefillTokensPerSecond: 8000},
	};
	t.is(table.createView(record).waitingLong, 0);
	table.beginDispatch('engine-1', Priority.Long, 5000);
	t.is(table.createView(record).queuedLongTokens, 5000);
	clock.advance(100);
	table.noteLoad('engine-1', {...idle, running: 3, queuedLongTokens: 2000});
	const view = table.createView(record);
	t.is(view.running, 3);
	t.is(view.queuedLongTokens, 2000);
});

test('what was reported or sent is taken for computed after the time it needs, though no new report comes', t => {
	const clock = createManualClock(1000);
	const table = createEngineTable(clock);
	const record = {
		...self, id: 'engine-1', kind: RecordKind.Upstream, details: {load: idle, prefillTokensPerSecond: 8000},
	};
	t.is(table.createView(record).running, 0);
	const end = table.beginDispatch('engine-1', Priority.Long, 4000);
	clock.advance(10);
	table.noteLoad('engine-1', {
		...idle, running: 1, longInProgress: 1, queuedShortTokens: 400, queuedLongTokens: 4000,
	});
	clock.advance(1500);
	t.is(table.createView(record).queuedLongTokens, 4000, 'a fresh report stands');
	clock.advance(100);
	const early = table.createView(record);
	t.deepEqual([early.queuedShortTokens, early.queuedLongTokens], [0, 3600], 'short prompts are computed first');
	table.beginDispatch('engine-1', Priority.Long, 1000);
	t.is(table.createView(record).queuedLongTokens, 4600);
	clock.advance(1000);
	end();
	const late = table.createView(record);
	t.deepEqual([late.queuedLongTokens, late.running, late.longInProgress], [1000, 0, 1], 'the second is still in progress');
});
