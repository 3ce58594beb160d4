import test from 'ava';
import fc from 'fast-check';
import {
	decodeCrashReport, decodeQuarantine, encodeCrashReport, encodeQuarantine, findHeldBack, isCrashReportMessage, isQuarantineMessage, isTrialReply, type CrashReport,
	type Quarantine,
} from '../../index.js';

const report: CrashReport = {
	crashes: [{run: 'i-1 17', atMs: 900, requests: [{traits: ['part m a', 'request 7'], sentAtMs: 850}]}],
	answers: [{trait: 'part m b', atMs: 950}],
	trials: [{trait: 'part m a', atMs: 960, count: 2}],
};
const quarantine: Quarantine = {quarantined: new Map([['part m a', {trialAtMs: 5000, crashCount: 3}]]), suspected: new Set(['part m a', 'part m b'])};
const reportMessage = encodeCrashReport(report, {nowMs: 1000, endedRuns: ['i-2 3']});
const quarantineMessage = encodeQuarantine(quarantine, {nowMs: 1000, endedRuns: ['i-2 3'], collectedForMs: 9000});

test('evidence and quarantines survive the way to a daemon with another clock', t => {
	t.deepEqual(decodeCrashReport(reportMessage, 1000), report);
	t.deepEqual(decodeQuarantine(quarantineMessage, 1000), quarantine);
	t.is(findHeldBack(decodeQuarantine(quarantineMessage, 71_000), ['part m a'])!.trialAtMs, 75_000);
});

test('messages with a damaged field are rejected, and no guard throws', t => {
	const messages = [[isCrashReportMessage, reportMessage], [isQuarantineMessage, quarantineMessage], [isTrialReply, {isGranted: true, retryInMs: 10}]] as const;
	const damaged = [Number.NaN, -1e300, Symbol.for('x'), [[]], 'x'.repeat(100_000), null];

	for (const [guard, message] of messages) {
		t.true(guard(message));

		for (const field of Object.keys(message)) {
			for (const value of damaged) {
				t.false(guard({...message, [field]: value}), `field ${field}`);
			}
		}
	}

	t.false(isCrashReportMessage({...reportMessage, crashes: [{...reportMessage.crashes[0], requests: [{traits: ['a'], sentAgeMs: -1}]}]}));
	t.false(isQuarantineMessage({...quarantineMessage, quarantined: [{trait: 5, trialInMs: 0, crashCount: 1}]}));
	t.notThrows(() => {
		fc.assert(fc.property(fc.anything(), value => {
			for (const [guard] of messages) {
				guard(value);
			}
		}), {seed: 34, numRuns: 500});
	});
});
