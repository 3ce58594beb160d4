import test from 'ava';
import fc from 'fast-check';
import {mergeCrashReport, noCrashEvidence, type CrashEvidence} from '../../crash-evidence.js';
import {listCrashEvidence} from '../../messages.js';

const nowMs = 100_000;
const crashes = Array.from({length: 90}, (_, number) => ({
	run: `i-${number} 1`, atMs: number * 137, requests: [{traits: [`part m ${number % 7}`, `request ${number}`], sentAtMs: (number * 137) - 20}],
}));

const mergeAll = (positions: readonly number[]) => {
	let evidence: CrashEvidence = noCrashEvidence;

	for (const position of positions) {
		evidence = mergeCrashReport(evidence, {crashes: [crashes[position]!]}, nowMs);
	}

	return evidence;
};

// Daemons that hear of crashes in different orders drop different ones. Guards against evidence that is passed on without end: the processors of the
// coordinators were busy with it, so that their leader lost its lease.
test('daemons that heard of more crashes than are kept pass nothing on once each has told the others', t => {
	const positions = crashes.map((_crash, position) => position);
	const order = fc.shuffledSubarray(positions, {minLength: positions.length});

	t.notThrows(() => {
		fc.assert(fc.property(fc.tuple(order, order, order), orders => {
			const evidences = orders.map(one => mergeAll(one));

			return evidences.every(evidence => evidences.every(other => mergeCrashReport(evidence, listCrashEvidence(other), nowMs) === evidence));
		}), {seed: 7, numRuns: 50});
	});
});

test('requests that are reported late are added to a crash that is kept', t => {
	const evidence = mergeCrashReport(noCrashEvidence, {crashes: [crashes[0]!]}, nowMs);
	const next = mergeCrashReport(evidence, {crashes: [{...crashes[0]!, requests: [{traits: ['part m 3', 'request 99'], sentAtMs: 1}]}]}, nowMs);
	t.is(next.crashes.get('i-0 1')?.requests.size, 2);
});
