import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '@fescuestair/core';
import {encodeCrashReport, type CrashReport, type TrialReply} from '@fescuestair/crashes';
import {createLinkCommands, LinkMessageKind, type LinkMessage} from '@fescuestair/protocol';
import {createLogger} from '@fescuestair/runtime';
import {createCrashEvidenceHost} from '../../crash-evidence-host.js';

/** Longer than the span over which changes are gathered. */
const gatherMs = 80;

const openHost = (t: ExecutionContext, {isLeader = true} = {}) => {
	const clock = createManualClock(1000);
	const commands = createLinkCommands({onFault: () => undefined});
	const relayed: LinkMessage[] = [];
	const host = createCrashEvidenceHost({
		linkAddress: 'core', clock, commands, isLeader: () => isLeader, findLeaderAddress: () => undefined,
		links: {call: async () => undefined}, log: createLogger({instance: 'core', isTerminal: false, writeLine: () => true}), metrics: {registerGauge: () => undefined},
		sendToCoordinators(message) {
			relayed.push(message);
		},
		sendToGateways: () => undefined,
	});
	t.teardown(() => {
		host.stop();
	});

	const report = async (evidence: CrashReport) => {
		commands.dispatch({
			kind: LinkMessageKind.CrashReport, from: 'gateway', isRelayed: false, report: encodeCrashReport(evidence, {nowMs: clock.readMonotonicMs()}),
		}, undefined);
		await sleep(gatherMs);
	};

	return {
		clock, commands, host, relayed, report, listHeldBack: () => host.describeQuarantine().quarantined.map(({trait}) => trait),
	};
};

const traits = ['model m', 'part m first', 'part m deadly'];
const crash = (index: number, atMs: number): CrashReport => ({crashes: [{run: `i-${index} 1`, atMs, requests: [{traits: [...traits, `request ${index}`], sentAtMs: atMs - 50}]}]});

test('a coordinator that has just started blames nothing before it can know of the answers', async t => {
	const {clock, host, report, listHeldBack} = openHost(t);
	clock.advance(500);

	// Repeated by gateways after a restart of all coordinators.
	for (let index = 0; index < 5; index++) {
		await report(crash(index, -20_000 + (index * 1000)));
	}

	t.deepEqual(listHeldBack(), []);
	t.true(host.describeQuarantine().suspected.includes('part m first'));
	await report({answers: [{trait: 'model m', atMs: 1400}, {trait: 'part m first', atMs: 1400}]});
	clock.advance(4000);
	await report({answers: [{trait: 'part m first', atMs: 1500}], crashes: crash(9, -30_000).crashes!});
	t.deepEqual(listHeldBack(), ['part m deadly']);
});

test('a report is passed on once, and another coordinator is sent what it lacks', async t => {
	const {clock, host, relayed, report} = openHost(t);
	const other = openHost(t);
	clock.advance(5000);
	other.clock.advance(5000);
	await report(crash(1, 5500));
	await report(crash(1, 5500));
	t.is(relayed.length, 1);
	t.is(host.describeEvidence('other', host.getDigest()), undefined);
	other.host.merge(host.describeEvidence('other', other.host.getDigest())!);
	t.is(other.host.getDigest(), host.getDigest());
});

test('only the leader grants a trial', async t => {
	for (const isLeader of [true, false]) {
		const {clock, commands, report} = openHost(t, {isLeader});
		clock.advance(5000);

		for (let index = 0; index < 3; index++) {
			clock.advance(1000);
			await report(crash(index, clock.readMonotonicMs()));
			await report({answers: [{trait: 'model m', atMs: clock.readMonotonicMs() + 10}, {trait: 'part m first', atMs: clock.readMonotonicMs() + 10}]});
		}

		clock.advance(60_000);
		const replies: unknown[] = [];

		for (let asked = 0; asked < 3; asked++) {
			commands.dispatch({kind: LinkMessageKind.ReserveTrial, traits, isRelayed: true}, reply => {
				replies.push(reply);
			});
		}

		const granted = replies.filter(reply => (reply as {readonly trial?: TrialReply}).trial?.isGranted === true);
		t.is(replies.length, 3);
		t.is(granted.length, isLeader ? 1 : 0);
	}
});
