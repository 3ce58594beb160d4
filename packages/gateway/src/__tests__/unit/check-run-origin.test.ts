import test from 'ava';
import {createManualClock} from '@fescuestair/core';
import {InstanceStage, type InstanceRecord} from '@fescuestair/instances';
import {createLogger} from '@fescuestair/runtime';
import {checkRunOrigin, OriginProof} from '../../check-run-origin.js';
import {createPooledInstance, type PooledInstance} from '../../pooled-instance.js';

const log = createLogger({instance: 'test', isTerminal: false, writeLine: () => true});

const sentTo: InstanceRecord = {
	id: 'i-1', service: 'app', address: '10.0.0.9:8080', availabilityZone: 'north', softwareVersion: 'v1', slots: 6, stage: InstanceStage.Ready, coldLeftMs: 0, models: [],
	incarnation: 1, sequence: 1,
};
const openedAtMs = 100_000;
const announcementIntervalMs = 1200;

/** An announcement of the instance, or of another incarnation of it, and when it is heard. */
type Announcement = {readonly incarnation: number; readonly heardAtMs: number};

const createEntry = ({incarnation, heardAtMs}: Announcement): PooledInstance => createPooledInstance({
	record: {...sentTo, incarnation}, heardAtMs, revision: 1, loadingDeadlineMs: 0,
}, 1);

type Case = {
	readonly announcements: readonly Announcement[];
	readonly report: number | undefined | Error;
	readonly hasEnded?: () => boolean;
};

/** Checks a run that was sent as soon as its connection was open; returns how often the instance was asked as well. */
async function check({announcements, report, hasEnded = () => false}: Case) {
	const clock = createManualClock(openedAtMs);
	let asked = 0;
	const proof = await checkRunOrigin({
		clock,
		instancePool: {
			get() {
				const heard = announcements.findLast(({heardAtMs}) => heardAtMs <= clock.readMonotonicMs());

				return heard && createEntry(heard);
			},
		},
		async fetchIncarnation() {
			asked++;
			clock.advance(1);

			if (report instanceof Error) {
				throw report;
			}

			return report;
		},
		log,
		async wait(delayMs) {
			clock.advance(delayMs);
		},
	}, {record: sentTo, openedAtMs, hasEnded});

	return {proof, asked, tookMs: clock.readMonotonicMs() - openedAtMs};
}

const heardBefore = {incarnation: 1, heardAtMs: openedAtMs - 500};
const heardAgain = {incarnation: 1, heardAtMs: openedAtMs + announcementIntervalMs - 500};
const replaced = {incarnation: 2, heardAtMs: openedAtMs + 300};

for (const [description, options, expected] of [
	['tells that it has not restarted', {announcements: [heardBefore], report: 1}, OriginProof.Report],
	['tells no incarnation, and is announced again', {announcements: [heardBefore, heardAgain], report: undefined}, OriginProof.Announcement],
	['does not answer, and is announced again', {announcements: [heardBefore, heardAgain], report: new Error('timed out')}, OriginProof.Announcement],
	['tells no incarnation, and is not announced again', {announcements: [heardBefore], report: undefined}, OriginProof.None],
	['tells another incarnation, which is announced', {announcements: [heardBefore, replaced], report: 2}, OriginProof.Announcement],
	['tells another incarnation, while only the one before is announced', {announcements: [heardBefore, heardAgain], report: 2}, OriginProof.None],
	['is forgotten, and does not answer', {announcements: [], report: new Error('refused')}, OriginProof.None],
] as const) {
	test(`which incarnation of an instance runs a request, on a connection that is new, where it ${description}: ${expected}`, async t => {
		const {proof, asked} = await check(options);
		t.is(proof, expected);
		t.is(asked, 1);
	});
}

test('an instance is not asked where its connection was open long before it announced itself', async t => {
	t.like(await check({announcements: [{incarnation: 1, heardAtMs: openedAtMs - 5000}], report: 1}), {proof: OriginProof.Report, asked: 1});
	const clock = createManualClock(openedAtMs + 6000);
	const proof = await checkRunOrigin({
		clock,
		instancePool: {get: () => createEntry({incarnation: 1, heardAtMs: openedAtMs + 5000})},
		async fetchIncarnation() {
			t.fail();

			return undefined;
		},
		log,
	}, {record: sentTo, openedAtMs, hasEnded: () => false});
	t.is(proof, OriginProof.Connection);
});

test('the wait for an announcement ends with the run', async t => {
	let checks = 0;
	const {proof, tookMs} = await check({announcements: [heardBefore], report: undefined, hasEnded: () => checks++ > 3});
	t.is(proof, OriginProof.None);
	t.true(tookMs < announcementIntervalMs);
});
