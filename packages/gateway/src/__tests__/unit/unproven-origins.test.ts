import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord} from '@fescuestair/instances';
import {createPooledInstance} from '../../pooled-instance.js';
import {createUnprovenOrigins} from '../../unproven-origins.js';

const sentTo: InstanceRecord = {
	id: 'i-1', service: 'app', address: '10.0.0.9:8080', availabilityZone: 'north', softwareVersion: 'v1', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
	incarnation: 1, sequence: 1,
};
const openedAtMs = 100_000;
const deadlineMs = openedAtMs + 30_000;

for (const [description, record, heardAfterMs, expected] of [
	['is still open to doubt where its instance was heard only before', sentTo, -500, {doubts: 0, left: 1}],
	['is still open to doubt where the announcement may have been late', sentTo, 1200, {doubts: 0, left: 1}],
	['is certain where its instance is heard long after', sentTo, 5000, {doubts: 0, left: 0}],
	['is certain where its instance is back with the same software', {...sentTo, incarnation: 2}, 300, {doubts: 0, left: 0}],
	['is doubtful where its instance is back with other software', {...sentTo, incarnation: 2, softwareVersion: 'v2'}, 300, {doubts: 1, left: 0}],
	['is doubtful where its instance is back and names no software', {...sentTo, incarnation: 2, softwareVersion: undefined}, 300, {doubts: 1, left: 0}],
	['is still open to doubt where its instance is forgotten', undefined, 0, {doubts: 0, left: 1}],
] as const) {
	test(`what began a stream on a new connection ${description}`, t => {
		const clock = createManualClock(openedAtMs);
		let newest: InstanceRecord | undefined = sentTo;
		let heardAtMs = openedAtMs - 500;
		const doubts: unknown[] = [];
		const unproven = createUnprovenOrigins({
			clock,
			instancePool: {
				get: () => newest && createPooledInstance({
					record: newest, heardAtMs, revision: 1, loadingDeadlineMs: 0,
				}, 1),
			},
			onDoubt: ({streamId}, origin) => doubts.push({streamId, ...origin}),
		});
		unproven.add({
			streamId: 's-1', record: sentTo, openedAtMs, deadlineMs,
		});
		t.is(unproven.count(), 1);
		newest = record;
		heardAtMs = openedAtMs + heardAfterMs;
		unproven.check();
		unproven.check();
		t.deepEqual({doubts: doubts.length, left: unproven.count()}, expected);
		t.deepEqual(doubts, doubts.map(() => ({streamId: 's-1', service: 'app', softwareVersion: undefined})));
		clock.advance(deadlineMs - openedAtMs);
		unproven.check();
		t.is(unproven.count(), 0);
	});
}

test('a stream on a connection that was open long before the announcement is not kept in mind', t => {
	const unproven = createUnprovenOrigins({
		clock: createManualClock(openedAtMs + 6000),
		instancePool: {
			get: () => createPooledInstance({
				record: sentTo, heardAtMs: openedAtMs + 5000, revision: 1, loadingDeadlineMs: 0,
			}, 1),
		},
		onDoubt: () => t.fail(),
	});
	unproven.add({
		streamId: 's-1', record: sentTo, openedAtMs, deadlineMs,
	});
	t.is(unproven.count(), 0);
});
